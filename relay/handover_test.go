package relay

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/rpc"
	"turmericgap/worker"
)

// definiteErrors are the errors of a start order that prove that it has no effect.
func definiteErrors() []error {
	return []error{
		worker.ErrUnhealthy, worker.ErrNotSent, worker.ErrReplaced, &worker.Refusal{Reason: worker.ReasonNoCapacity},
		&worker.Refusal{Reason: worker.ReasonPermit}, &worker.Refusal{Reason: worker.ReasonExpired},
		&worker.Refusal{Reason: worker.ReasonInvalid}, &worker.Refusal{Reason: worker.ReasonStaleRun},
	}
}

// isDefinite reports whether an error proves that an order has no effect.
func isDefinite(err error) bool {
	var refused *worker.Refusal
	return errors.As(err, &refused) || errors.Is(err, worker.ErrUnhealthy) || errors.Is(err, worker.ErrNotSent) ||
		errors.Is(err, worker.ErrReplaced)
}

// Guards against ending a run because its start was declined directly, while the relay that was given up may still send
// the order. The outcome of the whole call is then unknown, unless the direct call succeeds or is fenced.
func TestDirectRefusalAfterHandover(t *testing.T) {
	for _, refusal := range append(definiteErrors(), nil, &worker.Refusal{Reason: worker.ReasonFenced}) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			err := launchViaLostRelay(t, refusal, false, func() { sent.Add(1) })
			is.Equal(sent.Load(), int64(1)) // the relay had the order
			var refused *worker.Refusal
			if refusal == nil || errors.As(refusal, &refused) && refused.Reason == worker.ReasonFenced {
				is.True(errors.Is(err, refusal))
				return
			}
			is.True(err != nil)
			is.True(!isDefinite(err))
		})
	}
}

// Guards against keeping a worker's capacity charged for an order that was not handed to the relay that was given up:
// the direct answer is then the only one.
func TestDirectRefusalWithoutHandover(t *testing.T) {
	for _, refusal := range definiteErrors() {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			err := launchViaLostRelay(t, refusal, true, func() { sent.Add(1) })
			is.Equal(sent.Load(), int64(0))
			is.True(errors.Is(err, refusal))
		})
	}
}

// launchViaLostRelay starts a run through a relay that is given up after a while, or cannot be connected to. The direct
// call returns directErr.
func launchViaLostRelay(t *testing.T, directErr error, unreachable bool, onRelayed func()) error {
	v := newVMs(1, "north")
	v.servers["north0"].direct = func(worker.Info) *worker.Agent {
		return &worker.Agent{Launch: func(ctx context.Context, _ *worker.Launch) (time.Duration, error) {
			onRelayed()
			<-ctx.Done()
			return 0, ctx.Err()
		}}
	}
	r := v.newRelays()
	r.opts.MaxDirect = 0
	r.opts.DirectAgent = func(worker.Info) *worker.Agent { return fakeAgent("self", directErr) }
	if unreachable {
		r.opts.NewClient = func(address string) *rpc.Client {
			return rpc.NewClient(address, rpc.Dial(func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}))
		}
	}
	a := r.Agent(worker.Info{ID: "w", Zone: "north"})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	answered := make(chan error)
	go func() {
		_, err := a.Launch(ctx, &worker.Launch{})
		answered <- err
	}()
	time.Sleep(connectTimeout / 2)
	r.mu.Lock()
	links := slices.Collect(maps.Values(r.links))
	r.mu.Unlock()
	for _, k := range links {
		k.fail(errRelayUnreliable)
		k.cancel()
	}
	err := <-answered
	v.close(r)
	return err
}
