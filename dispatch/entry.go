package dispatch

import (
	"time"

	"turmericgap/aging"
	"turmericgap/job"
	"turmericgap/rule"
	"turmericgap/worker"
)

// entry is a live Work.
type entry struct {
	work *job.Work
	// queue is the newest configuration of its queue.
	queue *job.Queue
	// effect is what the operators' rules decide for it.
	effect rule.Effect
	// state is what has been decided, durableState what is durable and may be told.
	state, durableState job.WorkState
	lastRun             int64
	occurrencesBegun    int
	occurrences         []*occurrence
	// activeRuns counts the runs that may hold capacity somewhere.
	activeRuns int
	// started says that a worker has confirmed a start; until then the work counts as waiting.
	started bool
	// endQueued says that the record of its end takes the place of the work with the next commit.
	endQueued bool
	// size is what the work takes, in core-seconds, class how that compared with its queue's works when it was
	// taken, for the log: turns go by how it compares now, since a new owner meets the large works that waited first.
	size  float64
	class aging.Class
	// outcomeCounted says that it has counted as served or not.
	outcomeCounted bool
	// remainingAfter is how long the longest chain of steps remainingAfter each step takes by the estimates.
	remainingAfter []time.Duration
	// objective is how long after it is due an occurrence should be done.
	objective time.Duration
	// needsCreate says that the work itself is not durable yet: the next commit with the entry writes it.
	needsCreate bool
	// createdElsewhere says that an entry VM has made the work durable by itself.
	createdElsewhere bool
	// waiters are told if the work is given up before it is durable and without being sent.
	waiters []chan error
	// pendingSave holds changes that wait for a commit, writing says that one with the entry is under way.
	pendingSave *pendingSave
	committing  bool
}

type occurrence struct {
	number int
	stages []*stage
	// tasksLeft counts tasks that are not done.
	tasksLeft int
	// started says that a task has been started.
	started bool
}

// stage is a step of one occurrence.
type stage struct {
	entry      *entry
	occurrence *occurrence
	index      int
	spec       *job.Step
	tasks      []task
	// waiting and done count tasks by phase.
	waiting, done int
	// failures counts the failed runs of a gang; gang is the one under way.
	failures int
	gang     *gangRun
	// unresolved holds runs of the gang that are over and may still be listed as failed.
	unresolved []unresolvedRun
	// ready says that the steps before it are done, since when its tasks wait.
	ready      bool
	readySince time.Time
	permits
	// waitReason is why a gang did not start in the latest pass.
	waitReason gangWaitReason
	// reservedRoom is where room was kept for the gang in the latest pass.
	reservedRoom []allocation
	// failuresByWorker holds workers on which a task of the stage has failed.
	failuresByWorker map[string]int
}

type task struct {
	phase      phase
	run        *run
	number     int64 // of the latest run
	failures   int
	checkpoint string
}

// gangRun is one run of all tasks of a gang.
type gangRun struct {
	number      int64
	membersLeft int // whose ends are not known yet
	// aborted says that a member will not do, so that the others are stopped.
	aborted bool
	failed  bool
	done    bool
	// endProved says that a worker listed a member as ended because another had, before anything was
	// stopped by this owner: the run is over everywhere.
	endProved bool
}

// run is one start of a task; it holds capacity from its intent until its end is known.
type run struct {
	stage  *stage
	index  int
	number int64
	node   *node
	need   job.Resources
	// decidedAt is when the start was decidedAt, sentAt when it was sent, confirmedAt when the worker was known to have
	// the run; zero where that was under a former owner.
	decidedAt, sentAt, confirmedAt time.Time
	// startExpires is when the order to start is void, on the worker's clock; zero if none was sent.
	startExpires time.Duration
	// confirmed says that the worker has the run.
	confirmed bool
	// uncertain says that the order had no answer: the run is there, or may still begin until its time
	// has passed on the worker's clock.
	uncertain bool
	// recovered says that a former owner sent the order.
	recovered bool
	// stopping says that its end was ordered, haltedAt when that was last sent.
	stopping bool
	haltedAt time.Time
	ended    bool
	// percent is how far the run was when it was last seen to get on, at progressAt.
	percent    int
	progressAt time.Time
}

func (r *run) task() worker.Task {
	return worker.Task{Work: r.stage.entry.work.ID, Occurrence: r.stage.occurrence.number, Step: r.stage.index, Index: r.index}
}

func newEntry(w *job.Work) *entry {
	e := &entry{work: w, queue: &w.Queue, state: job.WorkQueued, durableState: job.WorkQueued, size: size(w)}
	e.updateObjective()
	return e
}

// assumedPermitWorkers is how many workers the call for permits names that each step's objective allows for.
const assumedPermitWorkers = 30

// updateObjective works out the objective from the caller's estimates along the longest chain of steps, each with
// its call for permits.
func (e *entry) updateObjective() {
	e.objective = time.Duration(e.queue.Slack*float64(e.longestChain())) + e.queue.Target
}

// deadline is when an occurrence should be done, lost when it is worth nothing any more.
func (o *occurrence) deadline(e *entry) time.Time { return e.work.Due(o.number).Add(e.objective) }

// lastDeadline is when the last occurrence of a work should be done.
func (e *entry) lastDeadline() time.Time { return e.work.Due(e.work.Count() - 1).Add(e.objective) }

func (o *occurrence) expiry(e *entry) time.Time {
	return e.work.Due(o.number).Add(expiryFactor * e.objective)
}

// expiryFactor times the objective is when late work is worth nothing.
const expiryFactor = 3

// longestChain gives how long the longest chain of steps takes, and notes what follows each step.
func (e *entry) longestChain() time.Duration {
	steps := e.work.Steps
	var permits time.Duration
	if p := e.queue.Permit; p != nil {
		permits = p.Base + assumedPermitWorkers*p.PerWorker
	}
	e.remainingAfter = make([]time.Duration, len(steps))
	var longest time.Duration
	for i := len(steps) - 1; i >= 0; i-- {
		chain := permits + steps[i].Estimate + e.remainingAfter[i]
		for _, before := range steps[i].After {
			e.remainingAfter[before] = max(e.remainingAfter[before], chain)
		}
		longest = max(longest, chain)
	}
	return longest
}

// openOccurrence opens an occurrence with all tasks waiting.
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

// predecessorsDone reports whether the steps before a stage are done.
func (s *stage) predecessorsDone() bool {
	for _, i := range s.spec.After {
		before := s.occurrence.stages[i]
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// toProgress gives the durable form.
func (e *entry) toProgress() *progress {
	p := &progress{State: e.state, Runs: e.lastRun, Begun: e.occurrencesBegun}
	for _, o := range e.occurrences {
		or := occurrenceRecord{Number: o.number}
		for _, s := range o.stages {
			sr := stageRecord{Fails: s.failures, Failing: s.gang != nil && s.gang.failed, Tasks: make([]taskRecord, len(s.tasks))}
			for _, u := range s.unresolved {
				sr.Unresolved = append(sr.Unresolved, unresolvedRecord{Run: u.number, Worker: u.worker})
			}
			for i := range s.tasks {
				t := &s.tasks[i]
				tr := taskRecord{Phase: t.phase, Run: t.number, Fails: t.failures, Checkpoint: t.checkpoint}
				if t.run != nil {
					tr.Worker = t.run.node.id
				}
				sr.Tasks[i] = tr
			}
			or.Steps = append(or.Steps, sr)
		}
		p.Live = append(p.Live, or)
	}
	return p
}

// removeOccurrence forgets an occurrence that has ended.
func (e *entry) removeOccurrence(o *occurrence) {
	for i := range e.occurrences {
		if e.occurrences[i] == o {
			e.occurrences = append(e.occurrences[:i], e.occurrences[i+1:]...)
			return
		}
	}
}
