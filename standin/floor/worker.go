package floor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// maxEnds is the maximum number of ends in one reply.
const maxEnds = 500

// timerRounding covers the rounding of times on a slow clock, so that a timer does not fire before its time is reached.
const timerRounding = time.Microsecond

var errNoAnswer = errors.New("no answer")

type runKey struct {
	task worker.Task
	run  int64
}

type activeRun struct {
	key        runKey
	behaviour  Behaviour
	record     *Run
	timer      *time.Timer
	checkpoint string
	started    bool
	// resumed is the progress that the run has taken over from a checkpoint.
	resumed time.Duration
}

// Faults define how calls to one worker, and its runs, fail.
type Faults struct {
	// Unreachable keeps all calls from reaching the worker. DropReplies executes calls and drops their replies.
	Unreachable, DropReplies bool
	// ResetConnections makes all calls fail at once, also those that wait at the worker. Delayed launches still arrive.
	ResetConnections bool
	// LaunchDelay executes launches after this delay and drops their replies; zero is no fault.
	LaunchDelay time.Duration
	// Unwell makes the worker reject all calls with worker.ErrUnhealthy.
	Unwell bool
	// StallRuns makes new runs neither progress nor end by themselves, while the worker still answers all calls.
	StallRuns bool
	// FailRuns makes all new runs fail after failureDelay.
	FailRuns bool
	// DropHoldReplyEvery drops the reply to every n-th hold, which is still executed; zero drops none.
	DropHoldReplyEvery int
	// TransitOf returns how the network treats the n-th call of a kind; nil is no fault.
	TransitOf func(kind CallKind, n int) Transit
}

// failureDelay is the run time under Faults.FailRuns.
const failureDelay = 30 * time.Millisecond

// Worker is one instance of a worker, from its start to its crash.
type Worker struct {
	cluster     *Cluster
	info        worker.Info
	startedAt   time.Time
	fence       int64
	runs        map[runKey]*activeRun
	maxRun      map[worker.Task]int64
	pendingEnds []worker.EndedRun
	pendingRuns []*Run // the runs of pendingEnds, in the same order
	lastEnd     int64
	leaseEnd    time.Duration
	leaseTimer  *time.Timer
	changed     chan struct{}
	crashed     bool
	replaced    bool
	// next is the instance that has taken the worker's place under its ID; nil if there is none.
	next      *Worker
	faults    Faults
	holdCount int
	calls     map[CallKind]int
	// formerCapacity is the capacity until capacityChangedAt.
	formerCapacity    job.Resources
	capacityChangedAt time.Time
}

// Info returns the description of the worker.
func (w *Worker) Info() worker.Info {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	return w.info
}

// Clock returns the time since the instance started.
func (w *Worker) Clock() time.Duration { return w.clock() }

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.faults = f
	if f.ResetConnections {
		w.wakeHolds()
	}
}

// wakeHolds ends the wait of all pending holds.
func (w *Worker) wakeHolds() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// SetCapacity changes the worker's capacity. Runs that are present go on.
func (w *Worker) SetCapacity(has job.Resources) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.formerCapacity, w.capacityChangedAt = w.info.Has, time.Now()
	w.info.Has = has
}

// Crash ends the instance and all its runs. If replaced is set, a new instance has the same address, and calls to
// this one are rejected with worker.ErrReplaced.
func (w *Worker) Crash(replaced bool) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.crash(replaced)
}

func (w *Worker) crash(replaced bool) {
	w.crashed, w.replaced = true, replaced
	for _, r := range w.runs {
		r.record.Crashed = true
	}
	for _, r := range w.runs {
		w.endRun(r, worker.OutcomeLeaseExpired)
	}
	w.pendingEnds = nil
}

// Reborn ends the instance and all its runs, and returns a new instance under the same ID. The new one knows no run and no
// fencing token, and its clock and the numbers of its ends begin again. Calls that were sent to the earlier instance and
// have not been carried out, or are made by its clients, reach the new one.
func (w *Worker) Reborn() *Worker {
	c := w.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	w.crash(false)
	info := w.info
	info.Born = max(info.Born+1, time.Now().UnixMilli())
	w.next = c.add(info)
	w.wakeHolds()
	return w.next
}

// present returns the latest instance under the worker's ID.
func (w *Worker) present() *Worker {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	for w.next != nil {
		w = w.next
	}
	return w
}

// crashUnder crashes the worker unless the run has ended.
func (w *Worker) crashUnder(r *activeRun) {
	w.cluster.mu.Lock()
	present := w.runs[r.key] == r
	if present {
		w.crash(false)
	}
	w.cluster.mu.Unlock()
	if present && w.cluster.OnCrash != nil {
		w.cluster.OnCrash(w)
	}
}

// ActiveRuns returns the number of present runs.
func (w *Worker) ActiveRuns() int {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	return len(w.runs)
}

func unreachableAgent() *worker.Agent {
	return &worker.Agent{
		Launch: func(context.Context, *worker.Launch) (time.Duration, error) { return 0, worker.ErrNotSent },
		Halt:   func(context.Context, *worker.Halt) (time.Duration, error) { return 0, worker.ErrNotSent },
		Hold:   func(context.Context, *worker.Hold) (*worker.HoldReply, error) { return nil, worker.ErrNotSent },
	}
}

func (w *Worker) client() *worker.Agent {
	return &worker.Agent{
		Launch: func(ctx context.Context, l *worker.Launch) (time.Duration, error) {
			if delay := w.present().launchDelay(); delay > 0 {
				time.AfterFunc(delay, func() {
					p := w.present()
					_, _ = p.withLock(func() error { return p.launch(l, true) })
				})
				<-ctx.Done()
				return 0, errNoAnswer
			}
			return w.transmit(ctx, CallLaunch, func(p *Worker, late bool) error { return p.launch(l, late) })
		},
		Halt: func(ctx context.Context, h *worker.Halt) (time.Duration, error) {
			return w.transmit(ctx, CallHalt, func(p *Worker, _ bool) error { return p.halt(h) })
		},
		Hold: func(ctx context.Context, h *worker.Hold) (*worker.HoldReply, error) { return w.present().hold(ctx, h) },
	}
}

func (w *Worker) launchDelay() time.Duration {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	return w.faults.LaunchDelay
}

// call executes a call and drops its reply under Faults.DropReplies.
func (w *Worker) call(ctx context.Context, do func() error) (time.Duration, error) {
	if err := w.checkReachable(ctx); err != nil {
		return 0, err
	}
	clock, err := w.withLock(do)
	if w.dropsReplies() {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return clock, err
}

func (w *Worker) withLock(do func() error) (time.Duration, error) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if w.crashed {
		return 0, errNoAnswer
	}
	err := do()
	return w.clock(), err
}

func (w *Worker) dropsReplies() bool {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	return w.faults.DropReplies
}

func (w *Worker) dropsHoldReply() bool {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.holdCount++
	return w.faults.DropHoldReplyEvery > 0 && w.holdCount%w.faults.DropHoldReplyEvery == 0
}

func (w *Worker) clock() time.Duration {
	return time.Duration(w.cluster.ClockRate * float64(time.Since(w.startedAt)))
}

// checkReachable applies the faults that keep a call from reaching the worker.
func (w *Worker) checkReachable(ctx context.Context) error {
	w.cluster.mu.Lock()
	unreachable, crashed, replaced, unwell := w.faults.Unreachable, w.crashed, w.replaced, w.faults.Unwell
	reset := w.faults.ResetConnections || w.next != nil
	w.cluster.mu.Unlock()
	switch {
	case replaced:
		return worker.ErrReplaced
	case reset:
		return errNoAnswer
	case unreachable || crashed:
		<-ctx.Done()
		return errNoAnswer
	case unwell:
		return worker.ErrUnhealthy
	}
	return nil
}

// checkFence rejects a call with an older fencing token and stores a newer one.
func (w *Worker) checkFence(fence int64) error {
	if fence < w.fence {
		return &worker.Refusal{Reason: worker.ReasonFenced}
	}
	w.fence = fence
	return nil
}

// launch carries out a start order; late is true if the network held it back.
func (w *Worker) launch(l *worker.Launch, late bool) error {
	if err := w.checkFence(l.Fence); err != nil {
		return err
	}
	key := runKey{l.Task, l.Run}
	if w.runs[key] != nil {
		return nil
	}
	if l.Run <= w.maxRun[l.Task] {
		w.extendLease(l.Until)
		return &worker.Refusal{Reason: worker.ReasonStaleRun}
	}
	if l.Until < w.clock() {
		return &worker.Refusal{Reason: worker.ReasonExpired}
	}
	w.extendLease(l.Until)
	behaviour := w.cluster.BehaviourOf(l.Task, l.Run)
	record := &Run{Task: l.Task, Number: l.Run, Worker: w.info.ID, Started: time.Now(), Late: late, gang: behaviour.GangSize, maxAttempts: behaviour.MaxAttempts, crashesWorker: behaviour.CrashesWorker}
	w.cluster.history = append(w.cluster.history, record)
	r := &activeRun{key: key, behaviour: behaviour, record: record}
	w.cluster.resume(r, l.Checkpoint)
	w.runs[key] = r
	w.checkCapacity()
	w.cluster.checkCap(r)
	if w.faults.StallRuns {
		return nil
	}
	if w.faults.FailRuns {
		r.behaviour.Duration, r.behaviour.Ending = failureDelay, worker.OutcomeFailed
		w.startWork(r)
		return nil
	}
	if behaviour.GangSize == 0 {
		r.behaviour.Duration = scale(behaviour.Duration, w.slowness())
		w.startWork(r)
		return nil
	}
	r.timer = time.AfterFunc(w.cluster.GangTimeout, func() { w.finishRun(r, worker.OutcomeGangIncomplete) })
	w.cluster.startGang(r.key, behaviour.GangSize)
	return nil
}

// slowness returns how many times longer than usual runs take on the worker.
func (w *Worker) slowness() float64 {
	if w.cluster.SlownessOf == nil {
		return 1
	}
	return w.cluster.SlownessOf(w.info)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// checkCapacity records a violation if the runs use more than the worker has.
func (w *Worker) checkCapacity() {
	var sum job.Resources
	for _, r := range w.runs {
		sum = sum.Plus(r.behaviour.Resources)
	}
	inGrace := time.Since(w.capacityChangedAt) < w.cluster.ShrinkGrace && sum.FitsIn(w.formerCapacity)
	if !sum.FitsIn(w.info.Has) && !inGrace {
		w.cluster.violations = append(w.cluster.violations, fmt.Sprintf("too much on worker %s: %v of %v", w.info.ID, sum, w.info.Has))
	}
}

func (w *Worker) startWork(r *activeRun) {
	r.started = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(r.behaviour.Duration-r.resumed, func() {
		if r.behaviour.CrashesWorker {
			w.crashUnder(r)
			return
		}
		w.finishRun(r, r.behaviour.Ending)
	})
}

func (w *Worker) finishRun(r *activeRun, ending worker.RunOutcome) {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if w.runs[r.key] == r {
		w.endRun(r, ending)
	}
}

// endRun records the end of a run and ends the other members of its gang.
func (w *Worker) endRun(r *activeRun, ending worker.RunOutcome) {
	delete(w.runs, r.key)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.cluster.saveProgress(r)
	r.record.Ended, r.record.Ending = time.Now(), ending
	w.maxRun[r.key.task] = max(w.maxRun[r.key.task], r.key.run)
	w.lastEnd++
	w.pendingEnds = append(w.pendingEnds, worker.EndedRun{Number: w.lastEnd, Task: r.key.task, Run: r.key.run, Outcome: ending, Checkpoint: r.checkpoint})
	w.pendingRuns = append(w.pendingRuns, r.record)
	w.wakeHolds()
	if r.behaviour.GangSize > 0 {
		w.cluster.endGang(r.key, ending)
	}
}

func (w *Worker) halt(h *worker.Halt) error {
	if err := w.checkFence(h.Fence); err != nil {
		return err
	}
	w.maxRun[h.Task] = max(w.maxRun[h.Task], h.Run)
	r := w.runs[runKey{h.Task, h.Run}]
	switch {
	case r == nil:
	case r.behaviour.StopTime > 0:
		time.AfterFunc(r.behaviour.StopTime, func() { w.finishRun(r, worker.OutcomeStopped) })
	default:
		w.endRun(r, worker.OutcomeStopped)
	}
	return nil
}

func (w *Worker) extendLease(until time.Duration) {
	if most := w.cluster.MaxLease; most > 0 {
		until = min(until, w.clock()+most)
	}
	if until <= w.leaseEnd {
		return
	}
	w.leaseEnd = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	left := time.Duration(float64(until-w.clock()) / w.cluster.ClockRate)
	w.leaseTimer = time.AfterFunc(left+timerRounding, w.expireLease)
}

func (w *Worker) expireLease() {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	if w.clock() < w.leaseEnd {
		return
	}
	for _, r := range w.runs {
		w.endRun(r, worker.OutcomeLeaseExpired)
	}
	// Ends that were not acknowledged before the lease expired are not violations when the task starts again.
	w.pendingRuns = make([]*Run, len(w.pendingRuns))
}

func (r *Run) describe() string {
	return fmt.Sprintf("%s.%d.%d.%d run %d on %s", r.Task.Work, r.Task.Occurrence, r.Task.Step, r.Task.Index, r.Number, r.Worker)
}
