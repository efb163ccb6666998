package dispatch

import (
	"context"
	"sync"
	"time"

	"turmericgap/worker"
)

const (
	// maxConcurrentCalls is how many calls to workers are begun and not answered at a time: what a weak VM makes in the
	// time that others wait for its answer to a ping.
	maxConcurrentCalls = 32
	// callSlotTimeout is how long a call without an answer keeps its turn, many times the way of an answer. Workers that are
	// cut off would else hold up the calls to all others.
	callSlotTimeout = 30 * time.Millisecond
	// relaySlack is how much longer a call by way of another VM may take: two exchanges with it, and its own work.
	relaySlack = 150 * time.Millisecond
)

// callLimiter lets few calls to workers begin at a time. A burst of starts, or the first calls of a new owner to all
// workers, would keep the processor for so long that other VMs take this one for dead.
type callLimiter chan struct{}

func newCallLimiter() callLimiter { return make(callLimiter, maxConcurrentCalls) }

// acquire waits for a turn, which ends with done or after callSlotTimeout; false means that ctx has ended.
func (c callLimiter) acquire(ctx context.Context) (done func(), ok bool) {
	select {
	case c <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	give := sync.OnceFunc(func() { <-c })
	timer := time.AfterFunc(callSlotTimeout, give)
	return func() {
		timer.Stop()
		give()
	}, true
}

// call makes a call to a worker, in its turn if this VM makes it itself.
func (t *term) call(ctx context.Context, agent *worker.Agent, within time.Duration, do func(context.Context) error) error {
	if agent.IsRelayed() {
		within += relaySlack
	} else {
		done, ok := t.callLimiter.acquire(ctx)
		if !ok {
			return ctx.Err()
		}
		defer done()
	}
	ctx, cancel := context.WithTimeout(ctx, within+t.lag.slack())
	defer cancel()
	return do(ctx)
}
