package floor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// mostEnds is how many ends one answer lists.
const mostEnds = 500

var errNoAnswer = errors.New("no answer")

type runKey struct {
	task worker.Task
	run  int64
}

type running struct {
	key        runKey
	does       Behaviour
	record     *Run
	timer      *time.Timer
	checkpoint string
	working    bool
}

// Faults are what goes wrong between one worker and its callers.
type Faults struct {
	// Unreachable makes the worker unreachable; DropReplies lets orders through and loses their answers.
	Unreachable, DropReplies bool
	// LaunchDelay holds back the next launches that long and gives no answer.
	LaunchDelay time.Duration
	// Unwell makes the worker decline calls.
	Unwell bool
	// StallRuns makes new runs stand still for good, while the worker answers every call.
	StallRuns bool
	// FailRuns makes all new runs fail at once.
	FailRuns bool
	// DropHoldReplyEvery takes the answer from each hold of so many, which is carried out; zero from none.
	DropHoldReplyEvery int
}

// failsAfter is how long a run takes to fail on a worker that fails everything.
const failsAfter = 30 * time.Millisecond

// Worker is one lifetime of a worker.
type Worker struct {
	floor    *Cluster
	info     worker.Info
	born     time.Time
	fence    int64
	runs     map[runKey]*running
	highest  map[worker.Task]int64
	ended    []worker.End
	records  []*Run // of ended, in the same order
	last     int64
	until    time.Duration
	lapse    *time.Timer
	changed  chan struct{}
	dead     bool
	replaced bool
	faults   Faults
	holds    int
}

// Info tells about the worker.
func (w *Worker) Info() worker.Info { return w.info }

// Clock gives the worker's clock.
func (w *Worker) Clock() time.Duration { return w.clock() }

// SetFaults changes the faults.
func (w *Worker) SetFaults(f Faults) {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	w.faults = f
}

// Crash ends the lifetime: all that runs is gone. With replaced set a new lifetime answers at the same
// address, so that calls meant for this one are refused for certain.
func (w *Worker) Crash(replaced bool) {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	w.dead, w.replaced = true, replaced
	for _, r := range w.runs {
		w.end(r, worker.EndingLapsed)
	}
	w.ended = nil
}

// ActiveRuns counts the runs present.
func (w *Worker) ActiveRuns() int {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	return len(w.runs)
}

func gone() *worker.Agent {
	return &worker.Agent{
		Launch: func(context.Context, *worker.Launch) (time.Duration, error) { return 0, worker.ErrNotSent },
		Halt:   func(context.Context, *worker.Halt) (time.Duration, error) { return 0, worker.ErrNotSent },
		Hold:   func(context.Context, *worker.Hold) (*worker.Held, error) { return nil, worker.ErrNotSent },
	}
}

func (w *Worker) client() *worker.Agent {
	return &worker.Agent{
		Launch: func(ctx context.Context, l *worker.Launch) (time.Duration, error) {
			if late := w.takeLate(); late > 0 {
				time.AfterFunc(late, func() { _, _ = w.locked(func() error { return w.launch(l) }) })
				<-ctx.Done()
				return 0, errNoAnswer
			}
			return w.order(ctx, func() error { return w.launch(l) })
		},
		Halt: func(ctx context.Context, h *worker.Halt) (time.Duration, error) {
			return w.order(ctx, func() error { return w.halt(h) })
		},
		Hold: w.hold,
	}
}

func (w *Worker) takeLate() time.Duration {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	return w.faults.LaunchDelay
}

// order carries an order out, and loses its answer where the faults say so.
func (w *Worker) order(ctx context.Context, do func() error) (time.Duration, error) {
	if err := w.reach(ctx); err != nil {
		return 0, err
	}
	clock, err := w.locked(do)
	if w.silent() {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	return clock, err
}

func (w *Worker) locked(do func() error) (time.Duration, error) {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	if w.dead {
		return 0, errNoAnswer
	}
	err := do()
	return w.clock(), err
}

func (w *Worker) silent() bool {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	return w.faults.DropReplies
}

func (w *Worker) losesHold() bool {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	w.holds++
	return w.faults.DropHoldReplyEvery > 0 && w.holds%w.faults.DropHoldReplyEvery == 0
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

// reach is the way of a call to the worker.
func (w *Worker) reach(ctx context.Context) error {
	w.floor.mu.Lock()
	cut, dead, replaced, unwell := w.faults.Unreachable, w.dead, w.replaced, w.faults.Unwell
	w.floor.mu.Unlock()
	switch {
	case replaced:
		return worker.ErrReplaced
	case cut || dead:
		<-ctx.Done()
		return errNoAnswer
	case unwell:
		return worker.ErrUnwell
	}
	return nil
}

func (w *Worker) raise(fence int64) error {
	if fence < w.fence {
		return &worker.Refusal{Reason: worker.ReasonFenced}
	}
	w.fence = fence
	return nil
}

func (w *Worker) launch(l *worker.Launch) error {
	if err := w.raise(l.Fence); err != nil {
		return err
	}
	key := runKey{l.Task, l.Run}
	if w.runs[key] != nil {
		return nil
	}
	if l.Run <= w.highest[l.Task] {
		return &worker.Refusal{Reason: worker.ReasonOld}
	}
	if l.Until < w.clock() {
		return &worker.Refusal{Reason: worker.ReasonLate}
	}
	w.extend(l.Until)
	does := w.floor.BehaviourOf(l.Task, l.Run)
	record := &Run{Task: l.Task, Number: l.Run, Worker: w.info.ID, Started: time.Now(), gang: does.GangSize, attempt: does.MaxAttempts}
	w.floor.history = append(w.floor.history, record)
	r := &running{key: key, does: does, record: record}
	w.runs[key] = r
	w.check()
	if w.faults.StallRuns {
		return nil
	}
	if w.faults.FailRuns {
		r.does.Duration, r.does.Ending = failsAfter, worker.EndingFailed
		w.work(r)
		return nil
	}
	if does.GangSize == 0 {
		w.work(r)
		return nil
	}
	r.timer = time.AfterFunc(w.floor.GangTimeout, func() { w.finish(r, worker.EndingAlone) })
	w.floor.gather(r.key, does.GangSize)
	return nil
}

// check notes a worker that holds more than it has.
func (w *Worker) check() {
	var sum job.Resources
	for _, r := range w.runs {
		sum = sum.Plus(r.does.Resources)
	}
	if !sum.Fits(w.info.Has) {
		w.floor.faults = append(w.floor.faults, fmt.Sprintf("too much on worker %s: %v of %v", w.info.ID, sum, w.info.Has))
	}
}

func (w *Worker) work(r *running) {
	r.working = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(r.does.Duration, func() { w.finish(r, r.does.Ending) })
}

func (w *Worker) finish(r *running, how worker.Ending) {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	if w.runs[r.key] == r {
		w.end(r, how)
	}
}

// end lists the end of a run; those of its gang end with it.
func (w *Worker) end(r *running, how worker.Ending) {
	delete(w.runs, r.key)
	if r.timer != nil {
		r.timer.Stop()
	}
	r.record.Ended, r.record.Ending = time.Now(), how
	w.highest[r.key.task] = max(w.highest[r.key.task], r.key.run)
	w.last++
	w.ended = append(w.ended, worker.End{Number: w.last, Task: r.key.task, Run: r.key.run, How: how, Checkpoint: r.checkpoint})
	w.records = append(w.records, r.record)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.does.GangSize > 0 {
		w.floor.endGang(r.key, how)
	}
}

func (w *Worker) halt(h *worker.Halt) error {
	if err := w.raise(h.Fence); err != nil {
		return err
	}
	w.highest[h.Task] = max(w.highest[h.Task], h.Run)
	if r := w.runs[runKey{h.Task, h.Run}]; r != nil {
		w.end(r, worker.EndingStopped)
	}
	return nil
}

func (w *Worker) extend(until time.Duration) {
	if until <= w.until {
		return
	}
	w.until = until
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(until-w.clock(), w.lapsed)
}

func (w *Worker) lapsed() {
	w.floor.mu.Lock()
	defer w.floor.mu.Unlock()
	if w.clock() < w.until {
		return
	}
	for _, r := range w.runs {
		w.end(r, worker.EndingLapsed)
	}
	// What was not taken note of before the lapse is not held against a later start.
	w.records = make([]*Run, len(w.records))
}

func (r *Run) name() string {
	return fmt.Sprintf("%s.%d.%d.%d run %d on %s", r.Task.Work, r.Task.Occurrence, r.Task.Step, r.Task.Index, r.Number, r.Worker)
}
