package scheduler

import (
	"context"
	"errors"
	"reflect"
	"time"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/record"
	"turmericgap/route"
	"turmericgap/rpc"
	"turmericgap/worker"
)

// submitResult is the answer to a submission, or the channel that reports when the job's record is committed.
type submitResult struct {
	status job.Status
	fault  *rpc.Fault
	// wait is set while the job's record is being committed.
	wait chan error
	// moved is the zone that takes the job once wait is done.
	moved string
}

func movedFault(zone string) *rpc.Fault {
	return &rpc.Fault{Code: rpc.CodeMoved, Reason: "the job belongs to zone " + zone, Zone: zone}
}

// submit accepts a job and returns once its record is durable.
func (t *term) submit(ctx context.Context, spec *job.Submission, parent string) (*job.Status, error) {
	id := route.JobID(t.o.Zone, spec.Key)
	a, err := callLoop(ctx, t, func() submitResult { return t.accept(id, spec, parent, time.Now()) })
	if err != nil {
		// The loop may have received the submission and may still accept the job.
		return nil, &rpc.Fault{Code: rpc.CodeUnknown, Reason: "ask again with the same key", RetryAfter: t.o.RetryAfter}
	}
	if a.wait != nil {
		if fault := t.awaitCommit(ctx, id, a.wait); fault != nil {
			return nil, fault
		}
		if a.moved != "" {
			return nil, movedFault(a.moved)
		}
		return t.status(ctx, id)
	}
	if a.fault != nil {
		return nil, a.fault
	}
	return &a.status, nil
}

// awaitCommit waits until the job's record is durable or has certainly failed. If the store does not take the
// record within MaxCommitDelay, the record is withdrawn, so that the caller learns at once that the job was not
// run.
func (t *term) awaitCommit(ctx context.Context, id string, wait chan error) *rpc.Fault {
	slow := time.NewTimer(t.o.MaxCommitDelay)
	defer slow.Stop()
	for {
		select {
		case err := <-wait:
			return t.commitFault(err)
		case <-slow.C:
			if taken, err := callLoop(ctx, t, func() bool { return t.withdraw(id) }); err == nil && taken {
				return rpc.Refused(t.o.RetryAfter, "the store does not take records now")
			}
		case <-ctx.Done():
			return t.commitFault(ctx.Err())
		case <-t.closing:
			return t.commitFault(errTermClosed)
		}
	}
}

// commitFault maps the result of committing a job's record to the fault that the caller gets.
func (t *term) commitFault(err error) *rpc.Fault {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errWithdrawn):
		return rpc.Refused(t.o.RetryAfter, "the store does not take records now")
	case errors.Is(err, record.ErrFenced), errors.Is(err, record.ErrClosed):
		return rpc.Refused(t.o.RetryAfter, "the zone changes its owner")
	}
	return &rpc.Fault{Code: rpc.CodeUnknown, Reason: "the job's record is under way; ask again with the same key", RetryAfter: t.o.RetryAfter}
}

var errWithdrawn = errors.New("record withdrawn before it was sent to the store")

// withdraw removes a job whose record has not yet been sent to the store. It runs on the loop.
func (t *term) withdraw(id string) bool {
	e := t.jobs[id]
	if e == nil || e.committed == nil || !e.ticket.Cancel() {
		return false
	}
	delete(t.jobs, id)
	for range maxWaiters {
		select {
		case e.committed <- errWithdrawn: // other callers that submitted the same key
		default:
			return true
		}
	}
	return true
}

// accept decides on a submission and appends the record of an accepted job. It runs on the loop.
func (t *term) accept(id string, spec *job.Submission, parent string, now time.Time) submitResult {
	if e := t.jobs[id]; e != nil {
		return t.resubmit(e, spec)
	}
	if m, ok := t.moved[id]; ok {
		return submitResult{fault: movedFault(m.Zone)}
	}
	if _, ok := t.moving[id]; ok {
		return submitResult{fault: rpc.Refused(t.o.RetryAfter, "the job is on its way to another zone")}
	}
	if fault := t.checkAdmission(); fault != nil {
		return submitResult{fault: fault}
	}
	d := t.planner.Admit(now, &planner.Job{ID: id, Spec: spec, Accepted: now})
	if d.Infeasible && spec.Zone == "" {
		if zone := t.fittingZone(spec); zone != "" {
			return t.move(id, zone, now)
		}
		d.RefusalReason = "it fits into no zone of the cell, even if empty"
	}
	if d.RefusalReason != "" {
		t.recordRefusal(spec, d, now)
		return submitResult{fault: rpc.Refused(d.RetryAfter, "rule %s: %s", d.Rule, d.RefusalReason)}
	}
	e := newEntry(id, jobRecord{Spec: *spec, Accepted: now.UTC(), Parent: parent})
	e.durable, e.decision = false, d
	wait := make(chan error, maxWaiters)
	ticket, err := t.journal.AppendCancelable([]record.Record{encode(kindJob, id, e.jobRecord)}, func(err error) {
		if err != nil {
			wait <- err
			t.fail(err)
			return
		}
		t.post(func() { t.onAccepted(e, wait) })
	})
	if err != nil {
		return submitResult{fault: rpc.Refused(t.o.RetryAfter, "the store takes no records now")}
	}
	t.jobs[id] = e
	e.committed, e.ticket = wait, ticket
	return submitResult{wait: wait}
}

// checkAdmission refuses a submission that could not be made durable soon.
func (t *term) checkAdmission() *rpc.Fault {
	switch {
	case t.draining:
		return rpc.Refused(t.o.RetryAfter, "this scheduler is stopping")
	case len(t.live) >= t.o.MaxLiveJobs:
		return rpc.Refused(t.o.RetryAfter, "the zone has %d live jobs, its limit", len(t.live))
	case t.journal.Stats().Pending > t.o.MaxCommitDelay:
		return rpc.Refused(t.o.RetryAfter, "the store does not take records now")
	case !t.ownsZone():
		return rpc.Refused(t.o.RetryAfter, "this scheduler does not hold its zone now")
	default:
		return nil
	}
}

// onAccepted adds a job whose record is durable to the live jobs. It runs on the loop.
func (t *term) onAccepted(e *entry, wait chan error) {
	e.durable = true
	t.live[e.id] = e
	e.decision = t.planner.Add(time.Now(), &planner.Job{ID: e.id, Spec: &e.Spec, Accepted: e.Accepted})
	t.o.Metrics.Counter("job.accepted").Inc(1)
	t.needsPlacement = true
	e.committed = nil
	close(wait)
}

// resubmit answers a submission whose key is already in use. It returns the status of the existing job if both
// submissions are equal, and a conflict otherwise.
func (t *term) resubmit(e *entry, spec *job.Submission) submitResult {
	if !reflect.DeepEqual(e.Spec, *spec) {
		l := finding.List{{Path: "key", Reason: "was used for another submission, job " + e.id}}
		return submitResult{fault: &rpc.Fault{Code: rpc.CodeConflict, Reason: l.Error(), Findings: l}}
	}
	if e.committed != nil {
		return submitResult{wait: e.committed}
	}
	return submitResult{status: e.status(t.o.Zone)}
}

// cancelJob commits a cancellation. The tasks are stopped once it is durable.
func (t *term) cancelJob(id, reason string, now time.Time) (*rpc.Fault, chan struct{}) {
	e := t.jobs[id]
	switch {
	case e == nil || !e.durable:
		return notFound(id), nil
	case e.pendingCancel != nil:
		return nil, e.cancelDone
	case e.cancel != nil || e.final():
		done := make(chan struct{})
		close(done)
		return nil, done
	}
	done := make(chan struct{})
	c := cancelRecord{Reason: reason, At: now.UTC()}
	err := t.journal.Append([]record.Record{encode(kindCancel, id, c)}, func(err error) {
		if err != nil {
			t.fail(err)
			return
		}
		t.post(func() { t.onCancelled(e, c, done) })
	})
	if err != nil {
		return rpc.Refused(t.o.RetryAfter, "the store takes no records now"), nil
	}
	e.pendingCancel, e.cancelDone = &c, done
	return nil, done
}

func (t *term) onCancelled(e *entry, c cancelRecord, done chan struct{}) {
	now := time.Now()
	e.cancel, e.pendingCancel = &c, nil
	t.planner.DropPending(e.id)
	for i := range e.tasks {
		t.cancelTask(e, i, now)
	}
	close(done)
}

// cancelTask ends a task that has no attempt at a worker. For any other task it asks the worker to stop the
// attempt.
func (t *term) cancelTask(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	if k.saving || k.report != nil {
		return // handled when the record is durable
	}
	switch k.Phase {
	case pending:
		next := k.taskRecord
		t.endUnstarted(e, &next, now)
		t.save([]change{{e, i, next}}, func() { t.closeJob(e) })
	case intended:
		k.stopReason = "cancelled"
		t.sendAct(e, i, worker.Stop, now)
	case final:
	}
}

func notFound(id string) *rpc.Fault {
	return &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no job " + id + " is known here; finished ones are forgotten after a time"}
}
