package front

import (
	"sync"
	"time"
)

const (
	// unknownRetention is how long a call without an answer may still take effect: the platform executes calls up
	// to twelve seconds late.
	unknownRetention = 15 * time.Second
	// maxUnknownIDs limits the IDs that are kept; the oldest are evicted first.
	maxUnknownIDs = 4096
)

// unknownIDs holds the IDs of submissions whose callers were told that the outcome is unknown. If such a submission
// is repeated, it must not be refused: a refusal means that the work never runs, but the first submission may have
// been accepted.
type unknownIDs struct {
	mu         sync.Mutex
	recordedAt map[string]time.Time
	order      []string
}

// add records an ID.
func (u *unknownIDs) add(id string, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.recordedAt == nil {
		u.recordedAt = make(map[string]time.Time)
	}
	u.evict(now)
	if _, known := u.recordedAt[id]; !known {
		u.order = append(u.order, id)
	}
	u.recordedAt[id] = now
}

// contains reports whether an earlier submission with the ID may still take effect.
func (u *unknownIDs) contains(id string, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, known := u.recordedAt[id]
	return known && now.Sub(at) < unknownRetention
}

// remove drops an ID whose work was accepted.
func (u *unknownIDs) remove(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.recordedAt, id)
}

// evict drops the IDs that are too old or exceed the limit.
func (u *unknownIDs) evict(now time.Time) {
	for len(u.order) > 0 {
		at, known := u.recordedAt[u.order[0]]
		if known && now.Sub(at) < unknownRetention && len(u.order) < maxUnknownIDs {
			return
		}
		delete(u.recordedAt, u.order[0])
		u.order = u.order[1:]
	}
}
