package dispatch

import (
	"time"

	"turmericgap/aging"
	"turmericgap/evacuation"
	"turmericgap/job"
	"turmericgap/presence"
	"turmericgap/rule"
	"turmericgap/speed"
	"turmericgap/worker"
	"turmericgap/workrecord"
)

// entry is a work that has not ended, with its progress.
type entry struct {
	work *job.Work
	// queue is the newest configuration of the work's queue.
	queue *job.Queue
	// effect is the effect of the operators' rules on the work.
	effect rule.Effect
	// state is the decided state; durableState is the last one that was made durable and may be reported.
	state, durableState job.WorkState
	// lastRun is the highest run number used.
	lastRun int64
	// occurrencesBegun counts the occurrences that have begun; occurrences holds those that have not ended.
	occurrencesBegun int
	occurrences      []*occurrence
	// activeRuns counts the runs that may hold capacity on a worker.
	activeRuns int
	// started is true once a worker has confirmed a start; until then the work counts as waiting.
	started bool
	// endQueued is true once the record of the end is in a commit, where it replaces the work.
	endQueued bool
	// size is the work's resource use in core-seconds. class is its size class when this term added it, for the log
	// only: scheduling uses the current class, because the first works that a new owner sees are the large ones that
	// waited.
	size  float64
	class aging.Class
	// surplus is true if the submission exceeded the rate of its client account.
	surplus bool
	// refusedFor is how long before the work was accepted its ID was first refused; it is ordered as if it had come then.
	refusedFor time.Duration
	// weight is the weight of its account.
	weight float64
	// failure is why the work failed; empty unless it did.
	failure workrecord.Failure
	// outcomeCounted is true once the outcome of the work has been counted.
	outcomeCounted bool
	// remainingAfter is, for each step, the estimated duration of the longest chain of steps after it.
	remainingAfter []time.Duration
	// objective is how long after its due time an occurrence should be done.
	objective time.Duration
	// room is how far the record of its progress may grow. commitAfter is when the next one may be sent.
	room        workrecord.Room
	commitAfter time.Time
	// commitAlone is true if the next commit of the entry must hold no other. unwritable is true once the store has rejected
	// its record; what remains to be written is its end.
	commitAlone, unwritable bool
	// needsCreate is true while the work itself is not durable: the next commit of the entry creates it.
	needsCreate bool
	// wasRefused is true if the creation must delete the record of an earlier refusal.
	wasRefused bool
	// createdElsewhere is true if an entry VM has written the work to the store itself.
	createdElsewhere bool
	// waiters are notified if the work is withdrawn before it was sent to the store.
	waiters []chan error
	// pendingSave holds changes that wait for a commit, inFlight those of the commit in flight; either may be nil.
	pendingSave, inFlight *pendingSave
}

type occurrence struct {
	number int
	stages []*stage
	// tasksLeft counts the tasks that are not done.
	tasksLeft int
	// started is true once any task has been started.
	started bool
}

// stage is one step of one occurrence.
type stage struct {
	entry      *entry
	occurrence *occurrence
	index      int
	spec       *job.Step
	tasks      []task
	// waiting and done count the tasks in the respective phase. begun is true once any task has run.
	waiting, done int
	begun         bool
	// failures counts the failed runs of a gang; gang is its run in flight.
	failures int
	gang     *gangRun
	// unresolved holds ended runs of the gang that a worker may still report as failed.
	unresolved []unresolvedRun
	// ready is true once the preceding steps are done; readySince is when its tasks began to wait.
	ready      bool
	readySince time.Time
	permits
	// waitReason is why a gang did not start in the latest pass.
	waitReason gangWaitReason
	// waitsForCap is true if the cap of its account allowed no start in the latest pass.
	waitsForCap bool
	// reservedCapacity is the capacity reserved for the gang in the latest pass.
	reservedCapacity []allocation
	// preempted holds the workers on which runs were stopped for its tasks.
	preempted []preempted
	// suspects holds the tasks that were lost with a worker, by index.
	suspects map[int]*suspect
	// expectedRun is how long its tasks will probably run on a typical worker, zero until the stage was first examined.
	expectedRun time.Duration
	// runTimes holds the run times of the stage's tasks, to learn the speed of their workers.
	runTimes speed.Step
	// mostFailures is the largest number of failures of one of its tasks that are no gang.
	mostFailures int
	// failuresByWorker counts the failures of the stage's tasks by worker ID.
	failuresByWorker map[string]int
}

type task struct {
	phase      workrecord.Phase
	run        *run
	number     int64 // of the latest run
	failures   int
	checkpoint string
}

// gangRun is one run of all tasks of a gang.
type gangRun struct {
	presence.Gang
	number      int64
	membersLeft int // whose ends are not known yet
	// aborted is true once a member has ended without success and the others are being stopped.
	aborted bool
	failed  bool
	done    bool
}

// run is one start of a task. It holds capacity from its intent until its end is known.
type run struct {
	presence.Run
	stage  *stage
	index  int
	number int64
	node   *node
	need   job.Resources
	// decidedAt is when the start was decided, sentAt when the order was sent, and confirmedAt when the worker was
	// known to have the run. For a run of a former owner, decidedAt is zero and sentAt is the start of this term.
	decidedAt, sentAt, confirmedAt time.Time
	// undelivered is true if the start order certainly did not reach the worker.
	undelivered bool
	// exclusive is true if nothing else may be placed on the worker until the run has ended.
	exclusive bool
	// stopping is true once the run was ordered to stop; haltedAt is when that order was last sent.
	stopping bool
	haltedAt time.Time
	ended    bool
	// seenAt is when the worker last reported the run.
	seenAt time.Time
	// percent is the last reported progress; progressAt is when it last changed.
	percent    int
	progressAt time.Time
	// evacuation is what its reports show of its remaining time, and the decision on it if its worker leaves.
	evacuation evacuation.Record
}

func (r *run) task() worker.Task {
	return worker.Task{Work: r.stage.entry.work.ID, Occurrence: r.stage.occurrence.number, Step: r.stage.index, Index: r.index}
}

func newEntry(w *job.Work) *entry {
	e := &entry{work: w, queue: &w.Queue, state: job.WorkQueued, durableState: job.WorkQueued, size: w.CoreSeconds()}
	e.updateObjective()
	return e
}

// assumedPermitWorkers is the number of workers per permit request that a step's objective allows for.
const assumedPermitWorkers = 30

// updateObjective computes the objective from the caller's estimates along the longest chain of steps, including one
// permit request per step.
func (e *entry) updateObjective() {
	e.objective = time.Duration(e.queue.SlackFactor*float64(e.longestChain())) + e.queue.Objective
}

// deadline is when an occurrence should be done.
func (o *occurrence) deadline(e *entry) time.Time { return e.work.DueAt(o.number).Add(e.objective) }

// lastDue returns the deadline of the last occurrence of a work.
func (e *entry) lastDue() time.Time {
	return e.work.DueAt(e.work.NumOccurrences() - 1).Add(e.objective)
}

// expiry is when the result of an occurrence becomes worthless.
func (o *occurrence) expiry(e *entry) time.Time {
	return e.work.DueAt(o.number).Add(expiryFactor * e.objective)
}

// expiryFactor times the objective is when the result of late work becomes worthless.
const expiryFactor = 3

// longestChain returns the duration of the longest chain of steps and records what follows each step.
func (e *entry) longestChain() time.Duration {
	steps := e.work.Steps
	var permitTime time.Duration
	if p := e.queue.Permit; p != nil {
		permitTime = p.Base + assumedPermitWorkers*p.PerWorker
	}
	e.remainingAfter = make([]time.Duration, len(steps))
	var longest time.Duration
	for i := len(steps) - 1; i >= 0; i-- {
		chain := permitTime + steps[i].Estimate + e.remainingAfter[i]
		for _, before := range steps[i].DependsOn {
			e.remainingAfter[before] = max(e.remainingAfter[before], chain)
		}
		longest = max(longest, chain)
	}
	return longest
}

// openOccurrence adds an occurrence with all its tasks waiting.
func (e *entry) openOccurrence(number int) *occurrence {
	o := &occurrence{number: number}
	for i := range e.work.Steps {
		spec := &e.work.Steps[i]
		o.stages = append(o.stages, &stage{
			entry: e, occurrence: o, index: i, spec: spec, tasks: make([]task, spec.Tasks), waiting: spec.Tasks,
		})
		o.tasksLeft += spec.Tasks
	}
	e.occurrences = append(e.occurrences, o)
	e.occurrencesBegun = max(e.occurrencesBegun, number+1)
	return o
}

// predecessorsDone reports whether the steps that a stage depends on are done.
func (s *stage) predecessorsDone() bool {
	for _, i := range s.spec.DependsOn {
		before := s.occurrence.stages[i]
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// toProgress returns the durable form of the entry in a store that takes values of maxBytes. Checkpoints may be left out:
// their tasks then start anew under another owner.
func (e *entry) toProgress(maxBytes int, withCheckpoints bool) *workrecord.Progress {
	p := &workrecord.Progress{State: e.state, Runs: e.lastRun, Begun: e.occurrencesBegun, Failure: e.failure}
	compact := workrecord.IsCompact(e.work.NumTasks()*len(e.occurrences), maxBytes)
	for _, o := range e.occurrences {
		or := workrecord.Occurrence{Number: o.number}
		for _, s := range o.stages {
			or.Steps = append(or.Steps, s.toRecord(compact, withCheckpoints))
		}
		p.Live = append(p.Live, or)
	}
	return p
}

// toRecord returns the durable form of a stage.
func (s *stage) toRecord(compact, withCheckpoints bool) workrecord.Stage {
	sr := workrecord.Stage{Fails: s.failures, Failing: s.gang != nil && s.gang.failed, Crashes: s.recordsOfCrashes()}
	for _, u := range s.unresolved {
		sr.Unresolved = append(sr.Unresolved, workrecord.Unresolved{Run: u.number, Worker: u.node.id})
	}
	switch {
	case compact && !s.begun:
		sr.Tasks = workrecord.Same(workrecord.Task{}, len(s.tasks))
		return sr
	case compact && s.done == len(s.tasks):
		sr.Tasks = workrecord.Same(workrecord.Task{Phase: workrecord.Done, Run: 1}, len(s.tasks))
		return sr
	case !compact:
		sr.Tasks = make(workrecord.Tasks, 0, len(s.tasks))
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		tr := workrecord.Task{Phase: t.phase, Run: t.number, Fails: t.failures}
		if withCheckpoints {
			tr.Checkpoint = t.checkpoint
		}
		if t.run != nil {
			tr.Worker, tr.Born, tr.LostWith = t.run.node.id, t.run.Born, t.run.LostWith
		}
		sr.Tasks.Append(tr, compact)
	}
	return sr
}

// removeOccurrence removes an occurrence that has ended.
func (e *entry) removeOccurrence(o *occurrence) {
	for i := range e.occurrences {
		if e.occurrences[i] == o {
			e.occurrences = append(e.occurrences[:i], e.occurrences[i+1:]...)
			return
		}
	}
}
