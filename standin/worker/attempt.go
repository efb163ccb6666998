package worker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"turmericgap/history"
	"turmericgap/job"
	"turmericgap/worker"
)

// All functions of this file except runTimer and changes require the worker's lock.

func (w *Worker) doStart(s *worker.Start, now time.Time) (*worker.Report, error) {
	if r := w.knownReport(s.Attempt); r != nil {
		return r, nil
	}
	if err := w.validate(s); err != nil {
		return nil, err
	}
	w.checkViolations(s)
	w.epoch = max(w.epoch, s.Epoch)
	w.everStarted.add(s.Attempt, worker.Running, now)
	w.starts++
	a := &attempt{start: *s, state: worker.Running, startedAt: now, checkpoint: s.Checkpoint}
	a.start.Payload = nil
	w.attempts[s.Attempt] = a
	w.used = w.used.Plus(s.Resources)
	w.record(history.Started, s.Attempt, a, now)
	w.markChanged(a)
	w.schedule(s, a, now)
	return w.report(s.Attempt, a), nil
}

// schedule sets the timers for the end of the attempt, the expiry of its lease and its usage report.
func (w *Worker) schedule(s *worker.Start, a *attempt, now time.Time) {
	w.renewLease(s.Attempt, a, s.LeaseMillis, now)
	if w.fault.FailAll {
		w.finish(s.Attempt, a, worker.Ended, failedExitCode, now)
		return
	}
	if !s.Service {
		remaining := w.runTime(s) - checkpointProgress(s.Checkpoint)
		a.endsAt = now.Add(remaining)
		a.endTimer = time.AfterFunc(remaining, func() { w.runTimer(func(now time.Time) { w.endIfDue(s.Attempt, a, now) }) })
	}
	a.usageDue = now.Add(w.opts.UsageLag)
	time.AfterFunc(w.opts.UsageLag, func() { w.runTimer(func(now time.Time) { w.reportUsageIfDue(s.Attempt, a, now) }) })
}

func (w *Worker) reportUsageIfDue(id string, a *attempt, now time.Time) {
	if a.state == worker.Running && w.attempts[id] == a && !a.usageDue.IsZero() && !now.Before(a.usageDue) {
		a.usage, a.usageDue = w.usage(a), time.Time{}
		w.markChanged(a)
	}
}

// runTimer runs the callback of a timer, unless the VM is frozen or the worker is closed.
func (w *Worker) runTimer(f func(now time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fault.Frozen && !w.closed {
		f(time.Now())
	}
}

// knownReport returns the report of an attempt, or nil if the attempt is unknown since the last restart.
func (w *Worker) knownReport(id string) *worker.Report {
	if a, ok := w.attempts[id]; ok {
		return w.report(id, a)
	}
	if state, ok := w.forgotten.states[id]; ok {
		return &worker.Report{Attempt: id, State: state}
	}
	return nil
}

func (w *Worker) validate(s *worker.Start) error {
	switch {
	case !w.opts.RejectInvalid:
		return nil
	case s.Epoch < w.epoch:
		return fmt.Errorf("%w: epoch %d is older than %d", worker.ErrRefused, s.Epoch, w.epoch)
	case !w.used.Plus(s.Resources).FitsIn(w.opts.Info.Has):
		return fmt.Errorf("%w: attempt %s does not fit", worker.ErrRefused, s.Attempt)
	}
	return nil
}

// checkViolations records the violations that a start causes.
func (w *Worker) checkViolations(s *worker.Start) {
	if used := w.used.Plus(s.Resources); !used.FitsIn(w.opts.Info.Has) {
		w.addViolation(fmt.Sprintf("overfilled by %s: %+v of %+v", s.Attempt, used, w.opts.Info.Has))
	}
	if _, ok := w.everStarted.states[s.Attempt]; ok {
		w.addViolation("attempt ran twice: " + s.Attempt)
	}
	if w.opts.TaskOf == nil {
		return
	}
	task := w.opts.TaskOf(s.Attempt)
	for id, a := range w.attempts {
		if a.state == worker.Running && w.opts.TaskOf(id) == task {
			w.addViolation("two attempts of one task at a time: " + id + " and " + s.Attempt)
		}
	}
}

func (w *Worker) runTime(s *worker.Start) time.Duration {
	if d, ok := w.opts.ClassRunTimes[s.Class]; ok {
		return d
	}
	if s.RunSeconds > 0 {
		return time.Duration(s.RunSeconds) * time.Second
	}
	return w.opts.RunTime
}

// usage returns the actual usage of the attempt, limited by its throttle.
func (w *Worker) usage(a *attempt) job.Resources {
	u := w.opts.Usage(&a.start)
	if a.millicores > 0 {
		u.Millicores = min(u.Millicores, a.millicores)
	}
	return u
}

func (w *Worker) endIfDue(id string, a *attempt, now time.Time) {
	if a.state == worker.Running && w.attempts[id] == a && !a.endsAt.IsZero() && !now.Before(a.endsAt) {
		w.finish(id, a, worker.Ended, 0, now)
	}
}

func (w *Worker) expireIfDue(id string, a *attempt, now time.Time) {
	if a.state == worker.Running && w.attempts[id] == a && !a.leaseEnd.IsZero() && !now.Before(a.leaseEnd) {
		// A frozen VM notices the expiry late, but the attempt did not run after it.
		w.finish(id, a, worker.Stopped, 0, a.leaseEnd)
	}
}

// finish sets the final state of the attempt, and its answer if it ended by itself.
func (w *Worker) finish(id string, a *attempt, state worker.State, exit int, at time.Time) {
	w.stopTimers(a)
	a.state = state
	w.used = w.used.Minus(a.start.Resources)
	if state == worker.Ended {
		answer := job.NewAnswer(exit, w.opts.Answer(&a.start, exit))
		a.answer = &answer
	}
	w.record(history.Ended, id, a, at)
	w.markChanged(a)
}

func (w *Worker) doAct(act *worker.Act, now time.Time) (*worker.Report, error) {
	if w.opts.RejectInvalid && act.Epoch < w.epoch {
		return nil, fmt.Errorf("%w: epoch %d is older than %d", worker.ErrRefused, act.Epoch, w.epoch)
	}
	r := w.knownReport(act.Attempt)
	switch {
	case r == nil && act.Verb == worker.Stop:
		a := &attempt{start: worker.Start{Attempt: act.Attempt}, state: worker.Forbidden}
		w.attempts[act.Attempt] = a
		w.markChanged(a)
		return w.report(act.Attempt, a), nil
	case r == nil:
		return nil, fmt.Errorf("%w: attempt %s is not known", worker.ErrRefused, act.Attempt)
	case r.State != worker.Running:
		return r, nil
	}
	w.actOnRunning(act, w.attempts[act.Attempt], now)
	return w.report(act.Attempt, w.attempts[act.Attempt]), nil
}

func (w *Worker) actOnRunning(act *worker.Act, a *attempt, now time.Time) {
	switch act.Verb {
	case worker.Stop:
		w.finish(act.Attempt, a, worker.Stopped, 0, now)
	case worker.Throttle:
		a.millicores = act.Millicores
		a.usage = w.usage(a)
		w.markChanged(a)
	case worker.Checkpoint:
		progress := now.Sub(a.startedAt) + checkpointProgress(a.start.Checkpoint)
		a.checkpoint = strconv.AppendInt(nil, progress.Milliseconds(), 10)
		w.markChanged(a)
	}
}

// checkpointProgress returns the run time that a checkpoint covers.
func checkpointProgress(checkpoint []byte) time.Duration {
	ms, err := strconv.ParseInt(string(checkpoint), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// renew renews the leases of all attempts and forgets those whose end the owner has stored.
func (w *Worker) renew(h *worker.Heartbeat, now time.Time) {
	for id, a := range w.attempts {
		if a.state == worker.Running {
			w.expireIfDue(id, a, now)
			w.renewLease(id, a, h.LeaseMillis, now)
		}
	}
	for _, id := range h.Forget {
		if a, ok := w.attempts[id]; ok && a.state != worker.Running {
			w.forgotten.add(id, a.state, now)
			delete(w.attempts, id)
		}
	}
}

// renewLease extends the lease of a running attempt. A lease of zero leaves it unchanged.
func (w *Worker) renewLease(id string, a *attempt, leaseMillis int64, now time.Time) {
	if leaseMillis <= 0 || a.state != worker.Running {
		return
	}
	lease := time.Duration(leaseMillis) * time.Millisecond
	a.leaseEnd = now.Add(lease)
	if a.leaseTimer == nil {
		a.leaseTimer = time.AfterFunc(lease, func() { w.runTimer(func(now time.Time) { w.expireIfDue(id, a, now) }) })
		return
	}
	a.leaseTimer.Reset(lease)
}

// changes returns the changes after the cursor, or nil while the VM is frozen, and the channel to wait on.
func (w *Worker) changes(cursor int64) (reply *worker.HeartbeatReply, changed, thawed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.Frozen {
		return nil, nil, w.thawed
	}
	reply = &worker.HeartbeatReply{Boot: w.boot, Cursor: w.seq, Full: cursor < w.firstSeq || cursor > w.seq}
	answerBytes := 0
	for _, id := range w.changedAfter(cursor, reply.Full) {
		a := w.attempts[id]
		if a.answer != nil && answerBytes >= MaxReplyBytes {
			w.deferEnd(reply, id, a)
			continue
		}
		r := w.report(id, a)
		if r.Answer != nil {
			answerBytes += len(r.Answer.Body)
		}
		reply.Reports = append(reply.Reports, *r)
	}
	return reply, w.changed, nil
}

// deferEnd leaves an end to a later reply by setting the cursor before it. A full reply still lists the attempt, as
// running, since the worker holds it and its answer has not been reported.
//
// Without this, answers that accumulate at a worker during an outage of the store make the full reply to a new
// owner exceed the owner's limit. The owner would reject each such reply forever, while each heartbeat renews all
// leases.
func (w *Worker) deferEnd(reply *worker.HeartbeatReply, id string, a *attempt) {
	reply.Cursor = min(reply.Cursor, a.seq-1)
	if reply.Full {
		reply.Reports = append(reply.Reports, worker.Report{Attempt: id, State: worker.Running, Usage: a.usage})
	}
}

// changedAfter returns the attempts that changed after the cursor, or all attempts, by time of their last change.
func (w *Worker) changedAfter(cursor int64, all bool) []string {
	var ids []string
	for id, a := range w.attempts {
		if all || a.seq > cursor {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(w.attempts[a].seq, w.attempts[b].seq) })
	return ids
}

func (w *Worker) report(id string, a *attempt) *worker.Report {
	r := &worker.Report{Attempt: id, State: a.state, Usage: a.usage, Checkpoint: a.checkpoint}
	if a.answer == nil {
		return r
	}
	answer := *a.answer
	if w.fault.Truncate > 0 {
		w.fault.Truncate--
		answer.Body = answer.Body[:len(answer.Body)/2]
	}
	r.Answer = &answer
	return r
}
