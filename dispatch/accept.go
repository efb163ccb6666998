package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/admission"
	"turmericgap/job"
	"turmericgap/rpc"
)

const (
	// unsentMost is how long a new work waits unsent while the store does not answer, before its caller
	// is told that it never runs. The answer of a store that is only slow comes within it.
	unsentMost = 350 * time.Millisecond
	// retryStore is when a caller may come again whose work the store could not take. Outages last some
	// seconds: who comes each second is served within a second of the end.
	retryStore = time.Second
)

// accept takes a new work and makes it durable together with what else is due; done is closed then, or
// tells why the work was given up unsent. Whether the ID is new is certain only while the term knows all
// work, also that which has ended.
func (t *term) accept(w *job.Work) (taken bool, done chan error) {
	if !t.endedRead {
		return false, nil
	}
	done = make(chan error, 1)
	if _, over := t.ended[w.ID]; over {
		close(done)
		return true, done
	}
	e := t.entries[w.ID]
	if e == nil {
		if t.commits.stuck(time.Now()) {
			return false, nil
		}
		if since, failing := t.o.StoreFailing(); failing && time.Since(since) > unsentMost {
			done <- errStoreFailing
			return true, done
		}
		if reason := t.hopeless(w); reason != "" {
			done <- rpc.Refused(0, "%s", reason)
			return true, done
		}
		t.add(w)
		e = t.entries[w.ID]
		e.unwritten = true
		t.unsent = append(t.unsent, e)
	} else if !e.unwritten && !e.writing {
		close(done)
		return true, done
	}
	e.waiters = append(e.waiters, done)
	t.save(e, func() { close(done) })
	return true, done
}

// knowsWorkers is how long the list of workers must have been whole before an owner says that none can run a
// work: a new owner's list may come late, and entries that lapsed in an outage are back two seconds after it.
const knowsWorkers = 5 * time.Second

// hopeless tells why a work can never start, empty if it can.
func (t *term) hopeless(w *job.Work) string {
	if _, failing := t.o.StoreFailing(); failing || time.Since(t.since) < knowsWorkers || time.Since(t.unlistedAt) < knowsWorkers {
		return ""
	}
	return admission.InfeasibleReason(w.Queue.Pool, w.Steps, func(yield func(admission.Worker) bool) {
		for _, n := range t.nodes {
			if !yield(admission.Worker{Pool: n.listing.Pool, Labels: n.listing.Labels, Capacity: n.listing.Has}) {
				return
			}
		}
	})
}

// errStoreFailing tells a caller that its work was not sent to a store that does not answer.
var errStoreFailing = rpc.Refused(retryStore, "the store does not answer the owner of the cell")

// sendable reports whether an entry may be in a commit now.
func (t *term) sendable(e *entry, now time.Time) bool {
	return !e.writing && !e.joins(now) && !t.holdsBack(e)
}

// holdsBack reports whether an entry must not be sent now. What is sent to a store that does not answer
// has an open outcome: its caller could neither be told that the work is accepted nor that it never runs,
// and may not hand it in again. Changes of works that are known go on, since nobody waits to be told.
func (t *term) holdsBack(e *entry) bool {
	if !e.unwritten {
		return false
	}
	_, failing := t.o.StoreFailing()
	return failing
}

// joinMost is how long a new work waits for the permits of its first steps before it is made durable without
// their starts. A short question takes about twenty milliseconds.
const joinMost = 40 * time.Millisecond

// joins reports whether a new work should wait, so that one commit makes it durable together with its first
// starts. A second commit for these must wait for the first: at a slow store a check would spend most of what it has
// to spare before its start.
func (e *entry) joins(now time.Time) bool {
	if !e.unwritten || e.saving == nil || now.Sub(e.saving.since) >= joinMost {
		return false
	}
	for _, o := range e.live {
		for _, s := range o.stages {
			if s.asking > 0 && s.answers == nil {
				return true
			}
		}
	}
	return false
}

// withdrawUnsent gives up the new works that were not sent in time, while the store does not answer.
func (t *term) withdrawUnsent(now time.Time) {
	left := t.unsent[:0]
	for _, e := range t.unsent {
		switch {
		case !e.unwritten && !e.writing || t.entries[e.work.ID] != e:
		case t.holdsBack(e) && !e.state.Final() && now.Sub(e.work.Accepted) > unsentMost:
			t.withdraw(e)
		default:
			left = append(left, e)
		}
	}
	clear(t.unsent[len(left):])
	t.unsent = left
}

// withdraw forgets a new work that was not sent. Nothing of it has begun, since an intent is sent with its
// work or after it.
func (t *term) withdraw(e *entry) {
	t.log.Info("dispatch: work given up unsent", zap.String("id", e.work.ID))
	e.state = job.WorkCancelled
	delete(t.entries, e.work.ID)
	delete(t.timed, e)
	for _, o := range e.live {
		for _, s := range o.stages {
			delete(t.stages, s)
			t.letGo(s)
			s.dropRuns()
		}
	}
	t.commits.queue = slices.DeleteFunc(t.commits.queue, func(s *saving) bool { return s.e == e })
	e.saving = nil
	t.dirty = true
	for _, done := range e.waiters {
		done <- errStoreFailing
	}
}

// dropRuns gives back the room of runs that were decided and not sent.
func (s *stage) dropRuns() {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && !r.ended {
			r.ended = true
			r.n.give(r)
			if r.n.trial == r {
				r.n.trial = nil
			}
			s.e.held--
		}
	}
}
