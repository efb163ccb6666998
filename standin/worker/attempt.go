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

// All functions of this file run under the worker's lock.

func (w *Worker) doStart(s *worker.Start, now time.Time) (*worker.Report, error) {
	if r := w.known(s.Attempt); r != nil {
		return r, nil
	}
	if err := w.guard(s); err != nil {
		return nil, err
	}
	w.judge(s)
	w.epoch = max(w.epoch, s.Epoch)
	w.ever.add(s.Attempt, worker.Running, now)
	w.starts++
	a := &attempt{start: *s, state: worker.Running, began: now, checkpoint: s.Checkpoint}
	a.start.Payload = nil
	w.attempts[s.Attempt] = a
	w.used = w.used.Plus(s.Each)
	w.record(history.Started, s.Attempt, a, now)
	w.touch(a)
	w.schedule(s, a, now)
	return w.report(s.Attempt, a), nil
}

// schedule sets when the attempt ends, lapses and tells its usage.
func (w *Worker) schedule(s *worker.Start, a *attempt, now time.Time) {
	w.renewOne(s.Attempt, a, s.LeaseMillis, now)
	if w.fault.FailAll {
		w.finish(s.Attempt, a, worker.Ended, noAnswerExit, now)
		return
	}
	if !s.Service {
		left := w.runTime(s) - elapsed(s.Checkpoint)
		a.ends = now.Add(left)
		a.end = time.AfterFunc(left, func() { w.locked(func(now time.Time) { w.endIfDue(s.Attempt, a, now) }) })
	}
	a.usageDue = now.Add(w.opts.UsageLag)
	time.AfterFunc(w.opts.UsageLag, func() { w.locked(func(now time.Time) { w.tellUsageIfDue(s.Attempt, a, now) }) })
}

func (w *Worker) tellUsageIfDue(id string, a *attempt, now time.Time) {
	if a.state == worker.Running && w.attempts[id] == a && !a.usageDue.IsZero() && !now.Before(a.usageDue) {
		a.usage, a.usageDue = w.usage(a), time.Time{}
		w.touch(a)
	}
}

func (w *Worker) locked(f func(now time.Time)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fault.Frozen && !w.closed {
		f(time.Now())
	}
}

// known gives the report of an attempt that this boot has met, or nil.
func (w *Worker) known(id string) *worker.Report {
	if a, ok := w.attempts[id]; ok {
		return w.report(id, a)
	}
	if state, ok := w.forgotten.state[id]; ok {
		return &worker.Report{Attempt: id, State: state}
	}
	return nil
}

func (w *Worker) guard(s *worker.Start) error {
	switch {
	case !w.opts.RejectInvalid:
		return nil
	case s.Epoch < w.epoch:
		return fmt.Errorf("%w: epoch %d is older than %d", worker.ErrRefused, s.Epoch, w.epoch)
	case !w.used.Plus(s.Each).Fits(w.opts.Info.Has):
		return fmt.Errorf("%w: attempt %s does not fit", worker.ErrRefused, s.Attempt)
	}
	return nil
}

// judge records what a start breaks.
func (w *Worker) judge(s *worker.Start) {
	if used := w.used.Plus(s.Each); !used.Fits(w.opts.Info.Has) {
		w.violate(fmt.Sprintf("overfilled by %s: %+v of %+v", s.Attempt, used, w.opts.Info.Has))
	}
	if _, ok := w.ever.state[s.Attempt]; ok {
		w.violate("attempt ran twice: " + s.Attempt)
	}
	if w.opts.TaskOf == nil {
		return
	}
	task := w.opts.TaskOf(s.Attempt)
	for id, a := range w.attempts {
		if a.state == worker.Running && w.opts.TaskOf(id) == task {
			w.violate("two attempts of one task at a time: " + id + " and " + s.Attempt)
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

// usage is what the attempt truly uses, under its throttle.
func (w *Worker) usage(a *attempt) job.Resources {
	u := w.opts.Usage(&a.start)
	if a.millicores > 0 {
		u.Millicores = min(u.Millicores, a.millicores)
	}
	return u
}

func (w *Worker) endIfDue(id string, a *attempt, now time.Time) {
	if a.state == worker.Running && w.attempts[id] == a && !a.ends.IsZero() && !now.Before(a.ends) {
		w.finish(id, a, worker.Ended, 0, now)
	}
}

func (w *Worker) lapseIfDue(id string, a *attempt, now time.Time) {
	if a.state == worker.Running && w.attempts[id] == a && !a.expires.IsZero() && !now.Before(a.expires) {
		// A frozen VM learns late that the lease has lapsed, but nothing ran in the meantime.
		w.finish(id, a, worker.Stopped, 0, a.expires)
	}
}

// finish gives the attempt its last state, and its answer if it ended by itself.
func (w *Worker) finish(id string, a *attempt, state worker.State, exit int, at time.Time) {
	w.stopTimers(a)
	a.state = state
	w.used = w.used.Minus(a.start.Each)
	if state == worker.Ended {
		answer := job.NewAnswer(exit, w.opts.Answer(&a.start, exit))
		a.answer = &answer
	}
	w.record(history.Ended, id, a, at)
	w.touch(a)
}

func (w *Worker) doAct(act *worker.Act, now time.Time) (*worker.Report, error) {
	if w.opts.RejectInvalid && act.Epoch < w.epoch {
		return nil, fmt.Errorf("%w: epoch %d is older than %d", worker.ErrRefused, act.Epoch, w.epoch)
	}
	r := w.known(act.Attempt)
	switch {
	case r == nil && act.Verb == worker.Stop:
		a := &attempt{start: worker.Start{Attempt: act.Attempt}, state: worker.Forbidden}
		w.attempts[act.Attempt] = a
		w.touch(a)
		return w.report(act.Attempt, a), nil
	case r == nil:
		return nil, fmt.Errorf("%w: attempt %s is not known", worker.ErrRefused, act.Attempt)
	case r.State != worker.Running:
		return r, nil
	}
	w.doRunning(act, w.attempts[act.Attempt], now)
	return w.report(act.Attempt, w.attempts[act.Attempt]), nil
}

func (w *Worker) doRunning(act *worker.Act, a *attempt, now time.Time) {
	switch act.Verb {
	case worker.Stop:
		w.finish(act.Attempt, a, worker.Stopped, 0, now)
	case worker.Throttle:
		a.millicores = act.Millicores
		a.usage = w.usage(a)
		w.touch(a)
	case worker.Checkpoint:
		done := now.Sub(a.began) + elapsed(a.start.Checkpoint)
		a.checkpoint = strconv.AppendInt(nil, done.Milliseconds(), 10)
		w.touch(a)
	}
}

// elapsed reads how much of the run a checkpoint has behind it.
func elapsed(checkpoint []byte) time.Duration {
	ms, err := strconv.ParseInt(string(checkpoint), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// renew renews every attempt and drops those whose end its owner has made durable.
func (w *Worker) renew(h *worker.Heartbeat, now time.Time) {
	for id, a := range w.attempts {
		if a.state == worker.Running {
			w.lapseIfDue(id, a, now)
			w.renewOne(id, a, h.LeaseMillis, now)
		}
	}
	for _, id := range h.Forget {
		if a, ok := w.attempts[id]; ok && a.state != worker.Running {
			w.forgotten.add(id, a.state, now)
			delete(w.attempts, id)
		}
	}
}

// renewOne sets when the attempt's lease lapses; zero milliseconds set nothing.
func (w *Worker) renewOne(id string, a *attempt, leaseMillis int64, now time.Time) {
	if leaseMillis <= 0 || a.state != worker.Running {
		return
	}
	lease := time.Duration(leaseMillis) * time.Millisecond
	a.expires = now.Add(lease)
	if a.lapse == nil {
		a.lapse = time.AfterFunc(lease, func() { w.locked(func(now time.Time) { w.lapseIfDue(id, a, now) }) })
		return
	}
	a.lapse.Reset(lease)
}

// changes gives what changed after the cursor, or nil while the VM is frozen, and what to wait for.
func (w *Worker) changes(cursor int64) (reply *worker.HeartbeatReply, changed, thawed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.Frozen {
		return nil, nil, w.thawed
	}
	reply = &worker.HeartbeatReply{Boot: w.boot, Cursor: w.seq, Whole: cursor < w.firstSeq || cursor > w.seq}
	told := 0
	for _, id := range w.changedAfter(cursor, reply.Whole) {
		a := w.attempts[id]
		if a.answer != nil && told >= MaxReplyBytes {
			w.putOff(reply, id, a)
			continue
		}
		r := w.report(id, a)
		if r.Answer != nil {
			told += len(r.Answer.Body)
		}
		reply.Reports = append(reply.Reports, *r)
	}
	return reply, w.changed, nil
}

// putOff leaves an end to a later reply, by a cursor that stands before it. A whole reply still names
// the attempt, as running: it is here, and its answer has not been told.
//
// Failure: answers pile up at a worker while the store is out, and a new owner asks for all of them.
// Symptom: a reply beyond the owner's bound, for ever, while each heartbeat renews all leases.
func (w *Worker) putOff(reply *worker.HeartbeatReply, id string, a *attempt) {
	reply.Cursor = min(reply.Cursor, a.seq-1)
	if reply.Whole {
		reply.Reports = append(reply.Reports, worker.Report{Attempt: id, State: worker.Running, Usage: a.usage})
	}
}

// changedAfter lists the attempts that changed after the cursor, or all, the oldest change first.
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
