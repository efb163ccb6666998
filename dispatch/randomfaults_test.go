package dispatch_test

import (
	"bytes"
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"turmericgap/job"
	"turmericgap/standin/floor"
	"turmericgap/store"
	"turmericgap/worker"
)

var (
	faultSeed  = flag.Uint64("faults.seed", 0, "first seed that TestRandomFaults runs in addition to the fixed ones")
	faultSeeds = flag.Int("faults.seeds", 0, "number of additional seeds")
	faultLogs  = flag.String("faults.logs", "", "directory for the logs of failing seeds; empty keeps none")
)

// fixedFaultSeeds is the number of seeds that are run without flags.
const fixedFaultSeeds = 75

// Guards against tasks that run twice, start again after they were done or too often, and against works that never end,
// when faults of workers, store, VMs and the network between them overlap. A seed draws the same faults each time, but
// the order of events of the same moment varies, so that a failure may take several runs to show again.
func TestRandomFaults(t *testing.T) {
	first, n := uint64(1), fixedFaultSeeds
	if *faultSeeds > 0 {
		first, n = *faultSeed, *faultSeeds
	}
	for i := range n {
		seed := first + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runFaultPlan(t, seed) })
		})
	}
}

// faultyCell carries out a plan of faults.
type faultyCell struct {
	*cell
	plan    *faultPlan
	begun   time.Time
	slots   []*workerSlot
	actions []plannedAction
	trace   []string
	lives   int
	// vmsStarted counts the VMs; entries holds the IDs of the listed workers.
	vmsStarted int
	entries    map[string]bool

	submissions sync.WaitGroup
	mu          sync.Mutex
	accepted    []*plannedWork
	cancelled   map[string]bool
	// calling holds the VMs with a call of a client. A VM gets one at a time: its front holds a lock while it looks for
	// the owner, and virtual time stands still while another call waits for that lock.
	calling map[*vm]bool
}

// workerSlot is a place for one worker at a time.
type workerSlot struct {
	address  string
	instance *floor.Worker // nil while it is down
	leaving  bool
	// leavesAt is when it leaves at the earliest, zero if it has not announced a time.
	leavesAt time.Time
	faults   floor.Faults
}

type plannedAction struct {
	at time.Duration
	do func()
}

func runFaultPlan(t *testing.T, seed uint64) {
	c := newFaultyCell(t, drawPlan(seed))
	var logs bytes.Buffer
	if *faultLogs != "" {
		sink := zapcore.Lock(zapcore.AddSync(&logs))
		encoder := zap.NewDevelopmentEncoderConfig()
		encoder.EncodeTime = func(at time.Time, e zapcore.PrimitiveArrayEncoder) { e.AppendString(at.Sub(c.begun).String()) }
		c.log = zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(encoder), sink, zapcore.InfoLevel))
	}
	defer func() { c.report(&logs) }()
	c.run()
}

// report prints the plan and what came of it if the test has failed.
func (c *faultyCell) report(logs *bytes.Buffer) {
	t := c.t
	t.Log(c.countEndings())
	if !t.Failed() {
		return
	}
	report := c.plan.String() + strings.Join(c.trace, "\n") + "\n" + c.describeRuns()
	t.Log(report)
	if *faultLogs != "" {
		name := filepath.Join(*faultLogs, fmt.Sprintf("seed-%d.log", c.plan.seed))
		if err := os.WriteFile(name, append([]byte(report), logs.Bytes()...), 0o600); err != nil {
			t.Error(err)
		}
	}
}

func newFaultyCell(t *testing.T, p *faultPlan) *faultyCell {
	c := &faultyCell{plan: p, begun: time.Now(), entries: make(map[string]bool), cancelled: make(map[string]bool), calling: make(map[*vm]bool)}
	works := make(map[string]*plannedWork)
	for _, w := range p.works {
		works[w.id] = w
	}
	c.cell = newCell(t, func(task worker.Task, run int64) floor.Behaviour {
		return works[task.Work].behaviour(task, run, c.config.Queues[0].MaxAttempts)
	})
	c.cluster.ClockRate = p.clockRate
	c.directWorkers = p.direct
	gated := c.config.Queues[0]
	gated.Name, gated.Permit = "gated", &job.PermitCost{Base: 50 * time.Millisecond, PerWorker: time.Millisecond, Valid: 1500 * time.Millisecond}
	c.config.Queues = append(c.config.Queues, gated)
	return c
}

// run carries out the plan, heals the cell and checks what has become of it.
func (c *faultyCell) run() {
	for i := range c.plan.workers {
		s := &workerSlot{address: fmt.Sprintf("w%02d", i)}
		c.slots = append(c.slots, s)
		c.startWorker(s)
	}
	for range c.plan.vms {
		c.startNextVM()
	}
	c.waitForOwner()
	time.Sleep(time.Second)
	offset := time.Since(c.begun)
	for _, w := range c.plan.works {
		c.at(offset+w.at, func() { c.submissions.Go(func() { c.submitPlanned(w) }) })
	}
	for i := range c.plan.steps {
		s := &c.plan.steps[i]
		c.at(offset+s.at, func() { c.begin(s) })
	}
	done := make(chan struct{})
	defer close(done)
	go c.watchStates(done)
	for len(c.actions) > 0 {
		next := c.actions[0]
		c.actions = c.actions[1:]
		time.Sleep(time.Until(c.begun.Add(next.at)))
		next.do()
	}
	c.heal()
	c.submissions.Wait()
	c.checkEnds()
	time.Sleep(5 * time.Second) // for calls that are still on their way
	c.checkHistory()
}

// at schedules an action.
func (c *faultyCell) at(at time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(c.actions, at, func(a plannedAction, at time.Duration) int {
		if a.at == at {
			return -1
		}
		return cmp.Compare(a.at, at)
	})
	c.actions = slices.Insert(c.actions, i, plannedAction{at, do})
}

func (c *faultyCell) after(d time.Duration, do func()) { c.at(time.Since(c.begun)+d, do) }

func (c *faultyCell) note(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%9v ", time.Since(c.begun).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// startWorker starts the next instance of a worker.
func (c *faultyCell) startWorker(s *workerSlot) {
	c.lives++
	info := worker.Info{
		ID: fmt.Sprintf("%s-%d", s.address, c.lives), Address: s.address, Zone: "kochi-hall", Rack: "r1",
		Has: job.Resources{Millicores: 4000, MemoryMB: 64000},
	}
	s.instance, s.leaving, s.leavesAt, s.faults = c.cluster.Add(info), false, time.Time{}, floor.Faults{}
	c.list(s)
}

// list writes the entry of a worker.
func (c *faultyCell) list(s *workerSlot) {
	info := s.instance.Info()
	info.Leaving = s.leaving
	timeLeft := max(time.Until(s.leavesAt), 0)
	c.register(worker.ListedWorker{Info: info, Pool: pool, Labels: []string{"a", "r1"}, Clock: s.instance.Clock(), TimeLeft: timeLeft})
	c.entries[info.ID] = true
}

func (c *faultyCell) unlist(id string) {
	if c.entries[id] {
		c.put(store.Op{Delete: true, Key: workersPrefix + id})
		delete(c.entries, id)
	}
}

func (c *faultyCell) startNextVM() {
	c.vmsStarted++
	c.startVM(fmt.Sprint("vm", c.vmsStarted))
}

// liveVMs returns the VMs that are up, in the order of their IDs.
func (c *faultyCell) liveVMs() []*vm {
	c.cell.mu.Lock()
	defer c.cell.mu.Unlock()
	var out []*vm
	for _, v := range c.vms {
		if !v.dead.Load() {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *vm) int { return strings.Compare(a.id, b.id) })
	return out
}

// anyVM returns a VM that is up.
func (c *faultyCell) anyVM(r *rand.Rand) *vm {
	for {
		if live := c.liveVMs(); len(live) > 0 {
			return pick(r, live)
		}
		time.Sleep(slowPollInterval)
	}
}

// call makes a client's call of a VM.
func (c *faultyCell) call(v *vm, do func(ctx context.Context) error) error {
	claim := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		free := !c.calling[v]
		c.calling[v] = true
		return free
	}
	for !claim() {
		time.Sleep(slowPollInterval)
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	err := do(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calling, v)
	return err
}

// shownState asks a VM for the state of a work and records if it is shown as completed.
func (c *faultyCell) shownState(v *vm, id string) (state job.WorkState, err error) {
	err = c.call(v, func(ctx context.Context) error {
		state, err = v.front.Status(ctx, id, "")
		return err
	})
	if err == nil && state == job.WorkCompleted {
		c.cluster.ShowCompleted(id)
	}
	return state, err
}

// submitPlanned submits a work, with several attempts, and cancels it if that is planned.
func (c *faultyCell) submitPlanned(p *plannedWork) {
	r := rand.New(rand.NewPCG(c.plan.seed, uint64(p.at)))
	w := c.newWork(p.id, job.Step{Tasks: 1})
	w.Queue, w.Steps = *c.config.QueueByName(p.queue), p.steps
	for range 4 {
		v := c.anyVM(r)
		err := c.call(v, func(ctx context.Context) error { return v.front.Submit(ctx, w) })
		if err == nil {
			c.mu.Lock()
			c.accepted = append(c.accepted, p)
			c.mu.Unlock()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if p.cancelAfter == 0 {
		return
	}
	c.mu.Lock()
	c.cancelled[p.id] = true
	c.mu.Unlock()
	time.Sleep(p.cancelAfter)
	for range 10 {
		v := c.anyVM(r)
		err := c.call(v, func(ctx context.Context) error { return v.front.Cancel(ctx, p.id, "") })
		if err == nil || isNotFound(err) {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// watchStates asks the VMs for the states of the works and records which are shown as completed.
func (c *faultyCell) watchStates(done chan struct{}) {
	r := rand.New(rand.NewPCG(c.plan.seed, 2))
	for {
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		_, _ = c.shownState(c.anyVM(r), pick(r, c.plan.works).id)
	}
}

// heal ends all faults, with a worker in each place and two VMs at least.
func (c *faultyCell) heal() {
	c.note("healed")
	for _, v := range c.liveVMs() {
		v.heal()
	}
	for len(c.liveVMs()) < 2 {
		c.startNextVM()
	}
	listed := make(map[string]bool)
	for _, s := range c.slots {
		if s.instance != nil && s.leaving {
			s.instance.Crash(true)
			s.instance = nil
		}
		if s.instance == nil {
			c.startWorker(s)
		}
		s.faults = floor.Faults{}
		s.instance.SetFaults(s.faults)
		c.list(s)
		listed[s.instance.Info().ID] = true
	}
	for id := range c.entries {
		if !listed[id] {
			c.unlist(id)
		}
	}
}

// heal ends the faults of a VM and of its connections.
func (v *vm) heal() {
	v.store.Cut(false)
	v.store.Delay(0)
	v.store.Reset(false)
	v.store.LoseAnswer(false)
	v.store.LoseNext(0)
	v.store.DeferNext(0, 0)
	v.workersCut.Store(false)
	v.peersCut.Store(false)
	v.repliesCut.Store(false)
	v.replyDelay.Store(0)
	v.callDelay.Store(0)
	v.workersListCut.Store(false)
	v.overloaded.Store(false)
	v.keyReadsSilent.Store(false)
	v.commitAnswersLost.Store(false)
	v.commitAnswersHeld.Store(false)
	v.cutFrom.Store(nil)
}

// endBound is how long after the faults a work may take to end: the leases of lost workers, as a new owner estimates
// them, for each attempt, and the time of all tasks with as many attempts.
func (c *faultyCell) endBound() time.Duration {
	const leases = maxHold + 6*time.Second
	var busy time.Duration
	for _, w := range c.plan.works {
		for _, d := range w.duration {
			busy += d
		}
	}
	return 2 * (leases + busy)
}

// checkEnds fails the test unless each accepted work ends in time, and as its tasks have ended.
func (c *faultyCell) checkEnds() {
	deadline := time.Now().Add(c.endBound())
	for _, p := range c.accepted {
		var state job.WorkState
		var err error
		for {
			if state, err = c.shownState(c.waitForOwner(), p.id); err == nil && state.Final() {
				break
			}
			if time.Now().After(deadline) {
				c.t.Errorf("seed %d: %s is in state %q (%v) %v after the last fault", c.plan.seed, p.id, state, err, c.endBound())
				break
			}
			time.Sleep(250 * time.Millisecond)
		}
		c.checkEnd(p, state)
	}
}

func (c *faultyCell) checkEnd(p *plannedWork, state job.WorkState) {
	done, crashes := make(map[worker.Task]bool), 0
	for _, r := range c.cluster.History() {
		if r.Task.Work != p.id {
			continue
		}
		if r.Ending == worker.OutcomeDone {
			done[r.Task] = true
		}
		if r.Crashed {
			crashes++
		}
	}
	tasks := 0
	for i := range p.steps {
		tasks += p.steps[i].Tasks
	}
	if state == job.WorkCompleted && len(done) < tasks {
		c.t.Errorf("seed %d: %s is shown as completed, but only %d of its %d tasks were done", c.plan.seed, p.id, len(done), tasks)
	}
	if state == job.WorkFailed && p.fails != failsAlways && crashes < 3 {
		c.t.Errorf("seed %d: %s is shown as failed without a cause", c.plan.seed, p.id)
	}
	if state == job.WorkCancelled && !c.cancelled[p.id] {
		c.t.Errorf("seed %d: %s is shown as cancelled without a cause", c.plan.seed, p.id)
	}
}

// countEndings sums the runs up.
func (c *faultyCell) countEndings() string {
	counts := make(map[worker.RunOutcome]int)
	late, crashed := 0, 0
	history := c.cluster.History()
	for i := range history {
		counts[history[i].Ending]++
		if history[i].Late {
			late++
		}
		if history[i].Crashed {
			crashed++
		}
	}
	return fmt.Sprintf("%d works accepted, %d runs, %d started late, %d crashed, by ending %v", len(c.accepted), len(history), late, crashed, counts)
}

// describeRuns lists all runs.
func (c *faultyCell) describeRuns() string {
	var b strings.Builder
	for _, r := range c.cluster.History() {
		ended := "-"
		if !r.Ended.IsZero() {
			ended = r.Ended.Sub(c.begun).Round(time.Millisecond).String()
		}
		fmt.Fprintf(&b, "  %v to %s: %s.%d.%d run %d on %s %s (late %v, crashed %v, acknowledged %v)\n", r.Started.Sub(c.begun).Round(time.Millisecond),
			ended, r.Task.Work, r.Task.Step, r.Task.Index, r.Number, r.Worker, r.Ending, r.Late, r.Crashed, r.Acknowledged)
	}
	return b.String()
}
