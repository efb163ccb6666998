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

// accepted is the answer to a submission, or the way to it.
type accepted struct {
	status job.Status
	fault  *rpc.Fault
	// wait is set while the job's record is under way.
	wait chan error
	// moved is the zone that the job goes to once wait is done.
	moved string
}

func movedTo(zone string) *rpc.Fault {
	return &rpc.Fault{Code: rpc.CodeMoved, Reason: "the job belongs to zone " + zone, Zone: zone}
}

// submit accepts a job: its record is durable before the caller hears of it.
func (t *term) submit(ctx context.Context, spec *job.Submission, parent string) (*job.Status, error) {
	id := route.JobID(t.o.Zone, spec.Key)
	a, err := ask(ctx, t, func() accepted { return t.accept(id, spec, parent, time.Now()) })
	if err != nil {
		// The loop may have taken the question and still accept the job.
		return nil, &rpc.Fault{Code: rpc.CodeUnknown, Reason: "ask again with the same key", RetryAfter: t.o.RetryAfter}
	}
	if a.wait != nil {
		if fault := t.awaitRecord(ctx, id, a.wait); fault != nil {
			return nil, fault
		}
		if a.moved != "" {
			return nil, movedTo(a.moved)
		}
		return t.status(ctx, id)
	}
	if a.fault != nil {
		return nil, a.fault
	}
	return &a.status, nil
}

// awaitRecord waits until the job's record is durable, or surely never will be. One that the store
// does not take soon is taken back, so that its caller hears at once that it was not run.
func (t *term) awaitRecord(ctx context.Context, id string, wait chan error) *rpc.Fault {
	slow := time.NewTimer(t.o.MaxCommitDelay)
	defer slow.Stop()
	for {
		select {
		case err := <-wait:
			return t.recordFault(err)
		case <-slow.C:
			if taken, err := ask(ctx, t, func() bool { return t.takeBack(id) }); err == nil && taken {
				return rpc.Refused(t.o.RetryAfter, "the store does not take records now")
			}
		case <-ctx.Done():
			return t.recordFault(ctx.Err())
		case <-t.closing:
			return t.recordFault(errTermClosed)
		}
	}
}

// recordFault says what a caller may conclude from how its job's record ended.
func (t *term) recordFault(err error) *rpc.Fault {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errTakenBack):
		return rpc.Refused(t.o.RetryAfter, "the store does not take records now")
	case errors.Is(err, record.ErrFenced), errors.Is(err, record.ErrClosed):
		return rpc.Refused(t.o.RetryAfter, "the zone changes its owner")
	}
	return &rpc.Fault{Code: rpc.CodeUnknown, Reason: "the job's record is under way; ask again with the same key", RetryAfter: t.o.RetryAfter}
}

var errTakenBack = errors.New("record taken back")

// takeBack runs on the loop: it withdraws a job whose record has not begun its way to the store.
func (t *term) takeBack(id string) bool {
	e := t.jobs[id]
	if e == nil || e.saved == nil || !e.ticket.Cancel() {
		return false
	}
	delete(t.jobs, id)
	for range waitersMost {
		select {
		case e.saved <- errTakenBack: // others wait for the same key
		default:
			return true
		}
	}
	return true
}

// accept runs on the loop.
func (t *term) accept(id string, spec *job.Submission, parent string, now time.Time) accepted {
	if e := t.jobs[id]; e != nil {
		return t.repeat(e, spec)
	}
	if m, ok := t.moved[id]; ok {
		return accepted{fault: movedTo(m.Zone)}
	}
	if _, ok := t.moving[id]; ok {
		return accepted{fault: rpc.Refused(t.o.RetryAfter, "the job is on its way to another zone")}
	}
	if fault := t.mayAccept(); fault != nil {
		return accepted{fault: fault}
	}
	d := t.planner.Admit(now, &planner.Job{ID: id, Spec: spec, Accepted: now})
	if d.Infeasible && spec.Zone == "" {
		if zone := t.zoneFor(spec); zone != "" {
			return t.move(id, zone, now)
		}
		d.RefusalReason = "it fits into no zone of the cell, even if empty"
	}
	if d.RefusalReason != "" {
		t.refused(spec, d, now)
		return accepted{fault: rpc.Refused(d.RetryAfter, "rule %s: %s", d.Rule, d.RefusalReason)}
	}
	e := newEntry(id, jobRecord{Spec: *spec, Accepted: now.UTC(), Parent: parent})
	e.durable, e.decision = false, d
	wait := make(chan error, waitersMost)
	ticket, err := t.journal.AppendCancelable([]record.Record{encode(kindJob, id, e.jobRecord)}, func(err error) {
		if err != nil {
			wait <- err
			t.fail(err)
			return
		}
		t.post(func() { t.accepted(e, wait) })
	})
	if err != nil {
		return accepted{fault: rpc.Refused(t.o.RetryAfter, "the store takes no records now")}
	}
	t.jobs[id] = e
	e.saved, e.ticket = wait, ticket
	return accepted{wait: wait}
}

// mayAccept refuses at once what could not be made durable soon.
func (t *term) mayAccept() *rpc.Fault {
	switch {
	case t.draining:
		return rpc.Refused(t.o.RetryAfter, "this scheduler is stopping")
	case len(t.live) >= t.o.MaxLiveJobs:
		return rpc.Refused(t.o.RetryAfter, "the zone has %d live jobs, its limit", len(t.live))
	case t.journal.Stats().Pending > t.o.MaxCommitDelay:
		return rpc.Refused(t.o.RetryAfter, "the store does not take records now")
	case !t.valid():
		return rpc.Refused(t.o.RetryAfter, "this scheduler does not hold its zone now")
	default:
		return nil
	}
}

// accepted runs on the loop when a job's record is durable.
func (t *term) accepted(e *entry, wait chan error) {
	e.durable = true
	t.live[e.id] = e
	e.decision = t.planner.Add(time.Now(), &planner.Job{ID: e.id, Spec: &e.Spec, Accepted: e.Accepted})
	t.o.Metrics.Counter("job.accepted").Inc(1)
	t.dirty = true
	e.saved = nil
	close(wait)
}

// repeat answers a submission whose key is known: with the first job if it says the same.
func (t *term) repeat(e *entry, spec *job.Submission) accepted {
	if !reflect.DeepEqual(e.Spec, *spec) {
		l := finding.List{{Place: "key", Reason: "was used for another submission, job " + e.id}}
		return accepted{fault: &rpc.Fault{Code: rpc.CodeConflict, Reason: l.Error(), Findings: l}}
	}
	if e.saved != nil {
		return accepted{wait: e.saved}
	}
	return accepted{status: e.status(t.o.Zone)}
}

// cancelJob makes a cancellation durable and then stops what it finds.
func (t *term) cancelJob(id, reason string, now time.Time) (*rpc.Fault, chan struct{}) {
	e := t.jobs[id]
	switch {
	case e == nil || !e.durable:
		return notFound(id), nil
	case e.cancelling != nil:
		return nil, e.cancelled
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
		t.post(func() { t.cancelled(e, c, done) })
	})
	if err != nil {
		return rpc.Refused(t.o.RetryAfter, "the store takes no records now"), nil
	}
	e.cancelling, e.cancelled = &c, done
	return nil, done
}

func (t *term) cancelled(e *entry, c cancelRecord, done chan struct{}) {
	now := time.Now()
	e.cancel, e.cancelling = &c, nil
	t.planner.DropPending(e.id)
	for i := range e.tasks {
		t.cancelTask(e, i, now)
	}
	close(done)
}

// cancelTask ends a task that is nowhere, and asks the worker of any other to stop it.
func (t *term) cancelTask(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	if k.saving || k.report != nil {
		return // Goes on when its record is durable.
	}
	switch k.Phase {
	case pending:
		next := k.taskRecord
		t.endUnstarted(e, &next, now)
		t.save([]change{{e, i, next}}, func() { t.closeJob(e) })
	case intended:
		k.stop = "cancelled"
		t.sendAct(e, i, worker.Stop, now)
	case final:
	}
}

func notFound(id string) *rpc.Fault {
	return &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no job " + id + " is known here; finished ones are forgotten after a time"}
}
