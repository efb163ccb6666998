package worker

import (
	"context"
	"sync"
	"time"
)

const (
	// maxConcurrentCalls limits the calls to workers in flight. A weak VM can make this many within the time that other
	// VMs wait for its answer to a ping.
	maxConcurrentCalls = 32
	// callSlotTimeout is how long a call without an answer keeps its slot, many times the duration of a round trip.
	// Without it, calls to workers that are cut off would block the calls to all others.
	callSlotTimeout = 30 * time.Millisecond
)

// CallLimiter limits concurrent calls to workers. A burst of starts, or the first calls of a new owner to all workers,
// would otherwise use the CPU for so long that other VMs take this one for dead.
type CallLimiter chan struct{}

// NewCallLimiter returns a CallLimiter with all slots free.
func NewCallLimiter() CallLimiter { return make(CallLimiter, maxConcurrentCalls) }

// Acquire waits for a slot, which is freed by done or after callSlotTimeout. It returns false if ctx has ended.
func (c CallLimiter) Acquire(ctx context.Context) (done func(), ok bool) {
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
