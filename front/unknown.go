package front

import (
	"sync"
	"time"
)

const (
	// openFor is how long a try of unknown outcome may still take effect: the platform carries out calls
	// up to twelve seconds late.
	openFor = 15 * time.Second
	// openMost bounds the IDs that are remembered; beyond it the oldest go first.
	openMost = 4096
)

// openIDs remembers the submissions of which a caller was told that their outcome is open. A refusal of a
// repeat would say that the work never runs, though the first try may have been accepted.
type openIDs struct {
	mu    sync.Mutex
	since map[string]time.Time
	order []string
}

// note remembers an ID.
func (o *openIDs) note(id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == nil {
		o.since = make(map[string]time.Time)
	}
	o.forget(now)
	if _, known := o.since[id]; !known {
		o.order = append(o.order, id)
	}
	o.since[id] = now
}

// has reports whether an earlier try with the ID may still take effect.
func (o *openIDs) has(id string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, known := o.since[id]
	return known && now.Sub(at) < openFor
}

// settle drops an ID whose work is accepted.
func (o *openIDs) settle(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.since, id)
}

// forget drops what is too old or too much.
func (o *openIDs) forget(now time.Time) {
	for len(o.order) > 0 {
		at, known := o.since[o.order[0]]
		if known && now.Sub(at) < openFor && len(o.order) < openMost {
			return
		}
		delete(o.since, o.order[0])
		o.order = o.order[1:]
	}
}
