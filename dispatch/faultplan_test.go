package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/worker"
)

// faultPlan is what happens in a cell, drawn from a seed.
type faultPlan struct {
	seed         uint64
	vms, workers int
	direct       int
	clockRate    float64
	works        []*plannedWork
	steps        []planStep
}

// plannedWork is a work with the behaviour of its tasks.
type plannedWork struct {
	id, queue string
	at        time.Duration
	steps     []job.Step
	// duration is the run time of a task of each step.
	duration []time.Duration
	// fails makes the first task of the last step fail, always or in its first run only; empty is no failure.
	fails failureKind
	// cancelAfter is when the work is cancelled; zero means never.
	cancelAfter time.Duration
	stopTime    time.Duration
	// failingRun is the first run, which fails under failsOnce.
	failingRun int64
}

type failureKind string

const (
	failsAlways failureKind = "always"
	failsOnce   failureKind = "once"
)

// planStep is one fault. Its targets follow from draws of the plan and from what is there when it begins.
type planStep struct {
	at, lasts time.Duration
	fault     string
	// target and draw choose the VM or the workers and the strength of the fault.
	target string
	count  int
	draw   uint64
}

func (s *planStep) String() string {
	return fmt.Sprintf("%v %s on %s x%d for %v (%x)", s.at, s.fault, s.target, s.count, s.lasts, s.draw)
}

// workerFaults and vmFaults are the faults that a plan draws from, each as often as it is listed.
var (
	workerFaults = []string{
		"late starts", "late starts", "late starts that fail at once", "late starts that fail at once", "late stops",
		"late holds", "slow replies", "unreachable", "unreachable", "drops replies", "drops replies",
		"drops some replies to holds", "resets connections", "unwell", "crash", "crash", "crash", "crash and replace",
		"crash and replace", "leave", "leave unlisted", "entry lapses",
	}
	vmFaults = []string{
		"store silent", "store silent", "store slow", "store refuses", "store resets", "store loses answers",
		"store loses next answers", "store carries out writes late", "kill", "kill", "cut from workers",
		"cut from peers", "replies cut", "replies slow", "relayed calls slow", "relayed calls slow",
		"cut from workers' entries", "overloaded", "key reads silent", "answers to commits lost",
		"answers to commits held", "cut from one worker",
	}
	workerTargets = []string{"any", "any", "gang", "gang", "busy"}
	vmTargets     = []string{"owner", "owner", "other", "all"}
)

// drawPlan draws bursts of works and faults that overlap.
func drawPlan(seed uint64) *faultPlan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &faultPlan{seed: seed, clockRate: 1, vms: 2 + r.IntN(3), workers: 6 + r.IntN(r.IntN(7)+1)}
	if r.IntN(2) == 0 {
		p.direct = 1 + r.IntN(3)
	}
	if r.IntN(3) == 0 {
		p.clockRate = 0.98
	}
	at := time.Duration(0)
	for range 4 + r.IntN(4) {
		at += between(r, 2*time.Second, 6*time.Second)
		var moments []time.Duration
		for range 1 + r.IntN(3) {
			w := drawWork(r, len(p.works), at+between(r, 0, 300*time.Millisecond), pick(r, workKinds))
			p.works = append(p.works, w)
			moments = append(moments, w.at, w.at+w.duration[0], w.at+w.duration[0]+between(r, 0, 2*time.Second))
		}
		faults := 4 + r.IntN(7)
		if r.IntN(3) > 0 {
			p.drawSequence(r, at)
			faults = r.IntN(4)
		}
		for range faults {
			p.steps = append(p.steps, drawStep(r, pick(r, moments)))
		}
	}
	return p
}

// sequenceStep is a fault of a sequence. It begins within a span of time after the start of a work, or after its expected
// end, on as many workers at most.
type sequenceStep struct {
	faults, targets []string
	atEnd           bool
	from, to        time.Duration
	shortest        time.Duration
	longest         time.Duration
	count           int
}

// faultSequence is a sequence of faults for a work. longer is how much longer the tasks of the work take than others.
type faultSequence struct {
	longer time.Duration
	steps  []sequenceStep
}

const ms = time.Millisecond

// faultSequences are faults in an order in which the proof that a run is over may be missing.
var faultSequences = []faultSequence{
	{0, []sequenceStep{ // a member of a gang starts late while another is lost
		{[]string{"late starts that fail at once", "late starts that fail at once", "late starts"}, []string{"any"}, false, -30 * ms, 0, 500 * ms, 4 * time.Second, 4},
		{[]string{"crash", "crash and replace"}, []string{"gang"}, false, 60 * ms, 500 * ms, 100 * ms, 3 * time.Second, 1},
	}},
	{0, []sequenceStep{ // the store is away when a work ends, and the worker that was heard and the owner are lost
		{[]string{"store silent", "store slow", "store loses answers", "answers to commits lost"}, []string{"all"}, true, -300 * ms, 0, 2500 * ms, 6 * time.Second, 1},
		{[]string{"drops replies", "unreachable"}, []string{"gang"}, true, -400 * ms, -20 * ms, 200 * ms, 1000 * ms, 4},
		{[]string{"crash and replace", "crash"}, []string{"ended"}, true, 900 * ms, 2500 * ms, 500 * ms, 2 * time.Second, 5},
		{[]string{"kill", "store silent", "store refuses"}, []string{"owner"}, true, 900 * ms, 2600 * ms, 500 * ms, 4 * time.Second, 1},
	}},
	{0, []sequenceStep{ // workers decline the repeat of an order that may still be carried out
		{[]string{"drops replies", "late starts", "relayed calls slow", "replies cut"}, []string{"any"}, false, -30 * ms, 0, 100 * ms, 600 * ms, 12},
		{[]string{"unwell"}, []string{"any"}, false, 40 * ms, 250 * ms, 100 * ms, 800 * ms, 12},
	}},
	{0, []sequenceStep{ // a worker is silent as a work ends and reports it long after
		{[]string{"unreachable", "drops replies", "resets connections"}, []string{"gang", "busy"}, true, -700 * ms, -50 * ms, 3 * time.Second, 16 * time.Second, 2},
		{[]string{"kill", "store silent", "cut from workers"}, []string{"owner"}, true, 0, 6 * time.Second, time.Second, 4 * time.Second, 1},
	}},
	{9 * time.Second, []sequenceStep{ // a leaving worker loses the store and goes on
		{[]string{"leave unlisted", "leave"}, []string{"busy"}, false, 50 * ms, 800 * ms, time.Second, 6 * time.Second, 2},
		{[]string{"unreachable", "resets connections", "drops replies"}, []string{"busy"}, false, 200 * ms, 1500 * ms, 2 * time.Second, 14 * time.Second, 3},
	}},
	{0, []sequenceStep{ // the owner is replaced while its orders are under way
		{[]string{"late starts", "relayed calls slow", "answers to commits held"}, []string{"any"}, false, -30 * ms, 0, time.Second, 3 * time.Second, 12},
		{[]string{"kill", "store silent", "key reads silent", "cut from peers"}, []string{"owner"}, false, 20 * ms, 700 * ms, 2 * time.Second, 9 * time.Second, 1},
		{[]string{"unreachable", "late holds", "drops replies"}, []string{"any"}, false, 0, time.Second, time.Second, 16 * time.Second, 3},
	}},
}

// drawSequence draws a sequence of faults and the work that it is for.
func (p *faultPlan) drawSequence(r *rand.Rand, at time.Duration) {
	w := drawWork(r, len(p.works), at, pick(r, []string{"gang", "gang", "tasks"}))
	w.fails, w.cancelAfter = pick(r, []failureKind{"", "", "", failsAlways}), 0
	if w.steps[0].Gang {
		w.steps[0].Tasks, w.steps[0].TaskResources.Millicores = 3+r.IntN(3), 3000
	}
	p.works = append(p.works, w)
	sequence := pick(r, faultSequences)
	w.duration[0] += sequence.longer
	for _, f := range sequence.steps {
		p.steps = append(p.steps, f.draw(r, w))
	}
}

// draw draws the fault for a work. A fault of VMs hits the owner unless the sequence says otherwise.
func (f *sequenceStep) draw(r *rand.Rand, w *plannedWork) planStep {
	s := planStep{fault: pick(r, f.faults), target: pick(r, f.targets), count: 1 + r.IntN(f.count), draw: r.Uint64()}
	if slices.Contains(vmFaults, s.fault) && !slices.Contains(vmTargets, s.target) {
		s.target = "owner"
		if s.fault == "relayed calls slow" || s.fault == "replies cut" {
			s.target = "other"
		}
	}
	at := w.at + between(r, f.from, f.to+1)
	if f.atEnd {
		at += w.duration[0]
	}
	s.at, s.lasts = max(at, 0), between(r, f.shortest, f.longest)
	return s
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// drawStep draws a fault near a moment at which a work starts or ends.
func drawStep(r *rand.Rand, moment time.Duration) planStep {
	s := planStep{count: 1, draw: r.Uint64()}
	spans := []time.Duration{500 * time.Millisecond, 2 * time.Second, 2 * time.Second, 6 * time.Second, 14 * time.Second}
	longest := pick(r, spans)
	s.lasts = between(r, longest/5, longest)
	if r.IntN(5) < 3 {
		s.fault, s.target = pick(r, workerFaults), pick(r, workerTargets)
		s.count = pick(r, []int{1, 1, 1, 2, 3, 12})
	} else {
		s.fault, s.target = pick(r, vmFaults), pick(r, vmTargets)
	}
	before, after := 150*time.Millisecond, 800*time.Millisecond
	if strings.HasPrefix(s.fault, "late starts") {
		before, after, s.count = 50*time.Millisecond, 0, pick(r, []int{2, 4, 12})
	}
	s.at = max(moment+between(r, -before, after+time.Millisecond), 0)
	if strings.HasPrefix(s.fault, "crash") || strings.HasPrefix(s.fault, "leave") {
		s.count = min(s.count, 3)
	}
	return s
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

var workKinds = []string{"tasks", "tasks", "gang", "gang", "gang", "chain"}

func drawWork(r *rand.Rand, number int, at time.Duration, kind string) *plannedWork {
	w := &plannedWork{at: at, queue: pick(r, []string{"roster", "roster", "gated"})}
	w.id = fmt.Sprintf("%s%02d", kind, number)
	switch kind {
	case "tasks":
		w.addStep(r, false)
	case "gang":
		w.addStep(r, true)
	case "chain":
		w.addStep(r, r.IntN(2) == 0)
		w.addStep(r, r.IntN(2) == 0)
		w.steps[1].DependsOn = []int{0}
	}
	switch r.IntN(8) {
	case 0:
		w.fails = failsAlways
	case 1, 2:
		w.fails = failsOnce
	case 3:
		w.cancelAfter = between(r, 50*time.Millisecond, 4*time.Second)
	}
	if r.IntN(2) == 0 {
		w.stopTime = between(r, 10*time.Millisecond, 190*time.Millisecond)
	}
	return w
}

func (w *plannedWork) addStep(r *rand.Rand, gang bool) {
	d := between(r, 300*time.Millisecond, 3*time.Second)
	s := job.Step{Tasks: 1 + r.IntN(4), Gang: gang, Checkpoints: r.IntN(3) == 0, TaskResources: job.Resources{Millicores: 1000, MemoryMB: 100}}
	if gang {
		s.Tasks++
		s.TaskResources.Millicores = pick(r, []int64{1000, 3000, 3000})
	}
	if r.IntN(2) == 0 {
		s.Estimate = d
	}
	w.steps, w.duration = append(w.steps, s), append(w.duration, d)
}

// checkpointInterval is the run time between two checkpoints of a task.
const checkpointInterval = 250 * time.Millisecond

// behaviour returns what a run of the work does.
func (w *plannedWork) behaviour(task worker.Task, run int64, maxAttempts int) floor.Behaviour {
	s := &w.steps[task.Step]
	b := floor.Behaviour{Duration: w.duration[task.Step], Ending: worker.OutcomeDone, Resources: s.TaskResources, MaxAttempts: maxAttempts, StopTime: w.stopTime}
	if s.Checkpoints {
		b.CheckpointInterval = checkpointInterval
	}
	if s.Gang {
		b.GangSize = s.Tasks
	}
	if task.Step != len(w.steps)-1 || w.fails == "" || !s.Gang && task.Index > 0 {
		return b
	}
	if w.failingRun == 0 {
		w.failingRun = run
	}
	switch {
	case w.fails == failsOnce && run != w.failingRun:
	case task.Index == 0:
		b.Ending = worker.OutcomeFailed
	case s.Gang:
		b.Duration = time.Hour // until the failure of the first member ends it
	}
	return b
}

func (p *faultPlan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d VMs, %d workers, %d direct (0: all), clocks at rate %v\n", p.seed, p.vms, p.workers, p.direct, p.clockRate)
	for _, w := range p.works {
		fmt.Fprintf(&b, "  %v submit %s to %s, fails %q, cancelled after %v, stops in %v:", w.at, w.id, w.queue, w.fails, w.cancelAfter, w.stopTime)
		for i, s := range w.steps {
			fmt.Fprintf(&b, " %d tasks of %v (gang %v, checkpoints %v)", s.Tasks, w.duration[i], s.Gang, s.Checkpoints)
		}
		b.WriteByte('\n')
	}
	for i := range p.steps {
		fmt.Fprintf(&b, "  %s\n", &p.steps[i])
	}
	return b.String()
}
