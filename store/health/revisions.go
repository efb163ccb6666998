package health

import (
	"sync"
	"time"
)

const (
	// revisionSpacing is the minimum time between two observations that are kept, and revisionWindow the time for which
	// they are kept: longer than a list may be old before it is not used any more.
	revisionSpacing = 20 * time.Millisecond
	revisionWindow  = 10 * time.Second
)

// Revisions records which revisions the store's answers have shown and when, so that a follower of a prefix can tell for
// how long the store has been ahead of it.
type Revisions struct {
	mu sync.Mutex
	// seen is ordered by time and by revision.
	seen []seenRevision
}

type seenRevision struct {
	at       time.Time
	revision int64
}

// Record records that the store has reached a revision, as shown by the answer to a call that was sent at that time.
func (r *Revisions) Record(revision int64, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.seen); n > 0 {
		last := r.seen[n-1]
		if revision <= last.revision || sent.Sub(last.at) < revisionSpacing {
			return
		}
	}
	r.seen = append(r.seen, seenRevision{sent, revision})
	old := 0
	for sent.Sub(r.seen[old].at) > revisionWindow {
		old++
	}
	r.seen = r.seen[old:]
}

// Ahead returns for how long the store is known to have been ahead of a revision, or 0 if it is not known to be.
func (r *Revisions) Ahead(revision int64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.seen {
		if s := &r.seen[i]; s.revision > revision {
			return max(time.Since(s.at), 1)
		}
	}
	return 0
}
