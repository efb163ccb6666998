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
	// state is what has been decided, shown what is durable and may be told.
	state, shown job.WorkState
	runs         int64
	begun        int
	live         []*occurrence
	// held counts the runs that may hold capacity somewhere.
	held int
	// started says that a worker has confirmed a start; until then the work counts as waiting.
	started bool
	// settled says that the record of its end takes the place of the work with the next commit.
	settled bool
	// size is what the work takes, in core-seconds, class how that compared with its queue's works when it was
	// taken, for the log: turns go by how it compares now, since a new owner meets the large works that waited first.
	size  float64
	class aging.Class
	// sizeJudged says that it has counted as served or not.
	sizeJudged bool
	// after is how long the longest chain of steps after each step takes by the estimates.
	after []time.Duration
	// objective is how long after it is due an occurrence should be done.
	objective time.Duration
	// unwritten says that the work itself is not durable yet: the next commit with the entry writes it.
	unwritten bool
	// stored says that an entry VM has made the work durable by itself.
	stored bool
	// waiters are told if the work is given up before it is durable and without being sent.
	waiters []chan error
	// saving holds changes that wait for a commit, writing says that one with the entry is under way.
	saving  *saving
	writing bool
}

type occurrence struct {
	number int
	stages []*stage
	// left counts tasks that are not done.
	left int
	// begun says that a task has been started.
	begun bool
}

// stage is a step of one occurrence.
type stage struct {
	e     *entry
	occ   *occurrence
	index int
	spec  *job.Step
	tasks []task
	// waiting and done count tasks by phase.
	waiting, done int
	// fails counts the failed runs of a gang; gang is the one under way.
	fails int
	gang  *gangRun
	// unheard holds runs of the gang that are over and may still be listed as failed.
	unheard []unheard
	// ready says that the steps before it are done, since when its tasks wait.
	ready bool
	since time.Time
	permits
	// waits is why a gang did not start in the latest pass.
	waits gangWait
	// reservedOn is where room was kept for the gang in the latest pass.
	reservedOn []keptRoom
	// avoid holds workers on which a task of the stage has failed.
	avoid map[string]int
}

type task struct {
	phase      phase
	run        *run
	number     int64 // of the latest run
	fails      int
	checkpoint string
}

// gangRun is one run of all tasks of a gang.
type gangRun struct {
	number  int64
	members int // whose ends are not known yet
	// broken says that a member will not do, so that the others are stopped.
	broken bool
	failed bool
	done   bool
	// proved says that a worker listed a member as ended because another had, before anything was
	// stopped by this owner: the run is over everywhere.
	proved bool
}

// run is one start of a task; it holds capacity from its intent until its end is known.
type run struct {
	s      *stage
	index  int
	number int64
	n      *node
	need   job.Resources
	// decided is when the start was decided, begun when it was sent, confirmedAt when the worker was known to have
	// the run; zero where that was under a former owner.
	decided, begun, confirmedAt time.Time
	// until is when the order to start is void, on the worker's clock; zero if none was sent.
	until time.Duration
	// confirmed says that the worker has the run.
	confirmed bool
	// doubt says that the order had no answer: the run is there, or may still begin until its time
	// has passed on the worker's clock.
	doubt bool
	// recovered says that a former owner sent the order.
	recovered bool
	// stopping says that its end was ordered, haltedAt when that was last sent.
	stopping bool
	haltedAt time.Time
	ended    bool
	// percent is how far the run was when it was last seen to get on, at movedAt.
	percent int
	movedAt time.Time
}

func (r *run) task() worker.Task {
	return worker.Task{Work: r.s.e.work.ID, Occurrence: r.s.occ.number, Step: r.s.index, Index: r.index}
}

func newEntry(w *job.Work) *entry {
	e := &entry{work: w, queue: &w.Queue, state: job.WorkQueued, shown: job.WorkQueued, size: size(w)}
	e.reckon()
	return e
}

// permitNames is how many workers the call for permits names that each step's objective allows for.
const permitNames = 30

// reckon works out the objective from the caller's estimates along the longest chain of steps, each with
// its call for permits.
func (e *entry) reckon() {
	e.objective = time.Duration(e.queue.Slack*float64(e.longestChain())) + e.queue.Target
}

// goal is when an occurrence should be done, lost when it is worth nothing any more.
func (o *occurrence) goal(e *entry) time.Time { return e.work.Due(o.number).Add(e.objective) }

// lastGoal is when the last occurrence of a work should be done.
func (e *entry) lastGoal() time.Time { return e.work.Due(e.work.Count() - 1).Add(e.objective) }

func (o *occurrence) lost(e *entry) time.Time {
	return e.work.Due(o.number).Add(lostAfter * e.objective)
}

// lostAfter times the objective is when late work is worth nothing.
const lostAfter = 3

// longestChain gives how long the longest chain of steps takes, and notes what follows each step.
func (e *entry) longestChain() time.Duration {
	steps := e.work.Steps
	var permits time.Duration
	if p := e.queue.Permit; p != nil {
		permits = p.Base + permitNames*p.PerWorker
	}
	e.after = make([]time.Duration, len(steps))
	var longest time.Duration
	for i := len(steps) - 1; i >= 0; i-- {
		chain := permits + steps[i].Estimate + e.after[i]
		for _, before := range steps[i].After {
			e.after[before] = max(e.after[before], chain)
		}
		longest = max(longest, chain)
	}
	return longest
}

// begin opens an occurrence with all tasks waiting.
func (e *entry) begin(number int) *occurrence {
	o := &occurrence{number: number}
	for i := range e.work.Steps {
		spec := &e.work.Steps[i]
		o.stages = append(o.stages, &stage{
			e: e, occ: o, index: i, spec: spec, tasks: make([]task, spec.Tasks), waiting: spec.Tasks,
		})
		o.left += spec.Tasks
	}
	e.live = append(e.live, o)
	e.begun = max(e.begun, number+1)
	return o
}

// open reports whether the steps before a stage are done.
func (s *stage) open() bool {
	for _, i := range s.spec.After {
		before := s.occ.stages[i]
		if before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// record gives the durable form.
func (e *entry) record() *progress {
	p := &progress{State: e.state, Runs: e.runs, Begun: e.begun}
	for _, o := range e.live {
		or := occurrenceRecord{Number: o.number}
		for _, s := range o.stages {
			sr := stageRecord{Fails: s.fails, Failing: s.gang != nil && s.gang.failed, Tasks: make([]taskRecord, len(s.tasks))}
			for _, u := range s.unheard {
				sr.Unheard = append(sr.Unheard, unheardRecord{Run: u.number, Worker: u.worker})
			}
			for i := range s.tasks {
				t := &s.tasks[i]
				tr := taskRecord{Phase: t.phase, Run: t.number, Fails: t.fails, Checkpoint: t.checkpoint}
				if t.run != nil {
					tr.Worker = t.run.n.id
				}
				sr.Tasks[i] = tr
			}
			or.Steps = append(or.Steps, sr)
		}
		p.Live = append(p.Live, or)
	}
	return p
}

// drop forgets an occurrence that has ended.
func (e *entry) drop(o *occurrence) {
	for i := range e.live {
		if e.live[i] == o {
			e.live = append(e.live[:i], e.live[i+1:]...)
			return
		}
	}
}
