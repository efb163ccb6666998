package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/admission"
	"turmericgap/job"
	"turmericgap/rpc"
)

const (
	// unsentTimeout is how long a new work may wait unsent while the store is failing before its caller is told
	// that it will never run. A slow store answers within this time.
	unsentTimeout = 350 * time.Millisecond
	// storeRetryAfter is the retry hint for a caller whose work the store could not take. Outages last a few seconds,
	// so a caller that retries every second is served within a second of recovery.
	storeRetryAfter = time.Second
)

// accept adds a new work and makes it durable with the next commit. done is closed once it is durable, or receives the
// reason why it was refused, or withdrawn unsent. The term can be sure that an ID is new only once it knows all works,
// including those that have ended, and accepts nothing before that.
func (t *term) accept(w *job.Work) (accepted bool, done chan error) {
	if !t.endedLoaded {
		return false, nil
	}
	done = make(chan error, 1)
	if end, ended := t.ended[w.ID]; ended {
		answerRepeated(w, end.Account, done)
		return true, done
	}
	e := t.entries[w.ID]
	if e != nil && e.work.Account != w.Account {
		done <- ErrOtherAccount
		return true, done
	}
	if e == nil {
		if t.committer.streams.IsStuck(time.Now(), commitStuckAfter) {
			return false, nil
		}
		if since, failing := t.o.StoreFailing(); failing && time.Since(since) > unsentTimeout {
			done <- errStoreUnavailable
			return true, done
		}
		if reason := cmp.Or(t.exceedsCapReason(w), t.infeasibleReason(w)); reason != "" {
			t.countRefused(w)
			done <- rpc.Refused(0, "%s", reason)
			return true, done
		}
		if e = t.newEntry(w); t.refuseIfNeeded(e, done) {
			return true, done
		}
		e.refusedFor = t.gate.RecordAccepted(time.Now(), w.ID)
		t.addEntry(e)
		_, e.wasRefused = t.refusals.writtenAt[w.ID]
		e.needsCreate = true
		t.unsent = append(t.unsent, e)
	} else if !e.needsCreate && e.inFlight == nil {
		close(done)
		return true, done
	}
	e.waiters = append(e.waiters, done)
	t.save(e, func() { close(done) })
	return true, done
}

// ErrOtherAccount is returned for a submission whose ID is that of a work of another account.
var ErrOtherAccount = &rpc.Fault{Code: rpc.CodeConflict, Reason: "the ID belongs to a work of another account"}

// answerRepeated answers the submission of a work that has ended.
func answerRepeated(w *job.Work, account string, done chan error) {
	if account != w.Account {
		done <- ErrOtherAccount
		return
	}
	close(done)
}

// workerListSettleTime is how long the worker list must have been complete before the owner reports that no worker can
// run a work: a new owner's list may arrive late, and entries that expired in an outage return two seconds after it.
const workerListSettleTime = 5 * time.Second

// infeasibleReason returns why a work can never start, or "" if it may start.
func (t *term) infeasibleReason(w *job.Work) string {
	if _, failing := t.o.StoreFailing(); failing || time.Since(t.startedAt) < workerListSettleTime ||
		time.Since(t.unlistedAt) < workerListSettleTime {
		return ""
	}
	return admission.InfeasibleReason(w.Queue.Pool, w.Steps, t.eachWorker)
}

// eachWorker yields the workers for package admission.
func (t *term) eachWorker(yield func(admission.Worker) bool) {
	for _, n := range t.nodes {
		if !yield(admission.Worker{Pool: n.listing.Pool, Labels: n.listing.Labels, Capacity: n.listing.Has}) {
			return
		}
	}
}

// errStoreUnavailable is returned to a caller whose work was not sent because the store is failing.
var errStoreUnavailable = rpc.Refused(storeRetryAfter, "the store does not answer the owner of the cell")

// canCommit reports whether an entry may be part of a commit now.
func (t *term) canCommit(e *entry, now time.Time) bool {
	return e.inFlight == nil && !now.Before(e.commitAfter) && !e.awaitsPermits(now) && !t.isHeldBack(e) && (!e.unwritable || e.isRemovable())
}

// isHeldBack reports whether an entry must not be sent now. A request to a failing store may have an unknown outcome:
// the caller could be told neither that the work is accepted nor that it will never run, and could not safely resubmit
// it. Changes of known works are still sent, since no caller waits for them.
func (t *term) isHeldBack(e *entry) bool {
	if !e.needsCreate {
		return false
	}
	_, failing := t.o.StoreFailing()
	return failing
}

// permitJoinTimeout is how long a new work waits for the permits of its first steps before it is made durable without
// their starts. A short permit request takes about 20 ms.
const permitJoinTimeout = 40 * time.Millisecond

// awaitsPermits reports whether a new work should wait so that a single commit makes it durable together with its first
// starts. A second commit would have to wait for the first: with a slow store that would use up most of the time that a
// check can spare before its start.
func (e *entry) awaitsPermits(now time.Time) bool {
	if !e.needsCreate || e.pendingSave == nil || now.Sub(e.pendingSave.since) >= permitJoinTimeout {
		return false
	}
	for _, o := range e.occurrences {
		for _, s := range o.stages {
			if s.openRequests > 0 && s.tickets == nil {
				return true
			}
		}
	}
	return false
}

// withdrawUnsent withdraws new works that were not sent in time while the store is failing.
func (t *term) withdrawUnsent(now time.Time) {
	left := t.unsent[:0]
	for _, e := range t.unsent {
		switch {
		case !e.needsCreate && e.inFlight == nil || t.entries[e.work.ID] != e:
		case t.isHeldBack(e) && !e.state.Final() && now.Sub(e.work.Accepted) > unsentTimeout:
			t.withdraw(e, errStoreUnavailable)
		default:
			left = append(left, e)
		}
	}
	clear(t.unsent[len(left):])
	t.unsent = left
}

// withdraw removes a new work that is not durable and tells its callers the cause. None of its tasks has started, since an
// intent is sent together with its work or later.
func (t *term) withdraw(e *entry, cause error) {
	t.log.Info("dispatch: work given up unsent", zap.String("id", e.work.ID))
	e.state = job.WorkCancelled
	delete(t.entries, e.work.ID)
	t.memory.Remove(e.work.ID)
	delete(t.timed, e)
	for _, o := range e.occurrences {
		for _, s := range o.stages {
			delete(t.waitingStages, s)
			t.releaseSetAside(s)
			t.releaseUnsentRuns(s)
		}
	}
	t.committer.queue = slices.DeleteFunc(t.committer.queue, func(s *pendingSave) bool { return s.entry == e })
	e.pendingSave = nil
	t.passNeeded = true
	for _, done := range e.waiters {
		done <- cause
	}
}

// releaseUnsentRuns releases the capacity of runs that were decided but not sent.
func (t *term) releaseUnsentRuns(s *stage) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && !r.ended {
			r.ended = true
			r.node.release(r)
			t.accounts.ledger.Release(s.entry.work.Account, s.spec.TaskResources)
			if r.node.trial == r {
				r.node.trial = nil
			}
			s.entry.activeRuns--
		}
	}
}
