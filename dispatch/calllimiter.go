package dispatch

import (
	"context"
	"sync"
	"time"

	"turmericgap/worker"
)

const (
	// maxConcurrentCalls limits the calls to workers in flight. A weak VM can make this many within the time that other
	// VMs wait for its answer to a ping.
	maxConcurrentCalls = 32
	// callSlotTimeout is how long a call without an answer keeps its slot, many times the duration of a round trip.
	// Without it, calls to workers that are cut off would block the calls to all others.
	callSlotTimeout = 30 * time.Millisecond
	// relaySlack is the additional timeout of a call through a relay: two exchanges with the relay, and its own work.
	relaySlack = 150 * time.Millisecond
)

// callLimiter limits concurrent calls to workers. A burst of starts, or the first calls of a new owner to all workers,
// would otherwise use the CPU for so long that other VMs take this one for dead.
type callLimiter chan struct{}

func newCallLimiter() callLimiter { return make(callLimiter, maxConcurrentCalls) }

// acquire waits for a slot, which is freed by done or after callSlotTimeout. It returns false if ctx has ended.
func (c callLimiter) acquire(ctx context.Context) (done func(), ok bool) {
	select {
	case c <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	release := sync.OnceFunc(func() { <-c })
	timer := time.AfterFunc(callSlotTimeout, release)
	return func() {
		timer.Stop()
		release()
	}, true
}

// call calls a worker. A direct call waits for a slot first; a call through a relay does not, as the relay makes it.
func (t *term) call(ctx context.Context, agent *worker.Agent, timeout time.Duration, do func(context.Context) error) error {
	if agent.IsRelayed() {
		timeout += relaySlack
	} else {
		done, ok := t.callLimiter.acquire(ctx)
		if !ok {
			return ctx.Err()
		}
		defer done()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+t.lag.slack())
	defer cancel()
	return do(ctx)
}
