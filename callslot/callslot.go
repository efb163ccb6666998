package callslot

import (
	"context"
	"sync"
	"time"
)

const (
	// maxConcurrent limits the calls to workers in flight. A weak VM can make this many within the time that other
	// VMs wait for its answer to a ping.
	maxConcurrent = 32
	// slotTimeout is how long a call without an answer keeps its slot, many times the duration of a round trip.
	// Without it, calls to workers that are cut off would block the calls to all others.
	slotTimeout = 30 * time.Millisecond
)

// Limiter limits concurrent calls to workers. A burst of starts, or the first calls of a new owner to all workers,
// would otherwise use the CPU for so long that other VMs take this one for dead.
type Limiter chan struct{}

// New returns a Limiter with all slots free.
func New() Limiter { return make(Limiter, maxConcurrent) }

// Acquire waits for a slot, which is freed by done or after slotTimeout. It returns false if ctx has ended.
func (c Limiter) Acquire(ctx context.Context) (done func(), ok bool) {
	select {
	case c <- struct{}{}:
	case <-ctx.Done():
		return nil, false
	}
	release := sync.OnceFunc(func() { <-c })
	timer := time.AfterFunc(slotTimeout, release)
	return func() {
		timer.Stop()
		release()
	}, true
}
