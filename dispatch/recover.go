package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/crash"
	"turmericgap/job"
	"turmericgap/presence"
	"turmericgap/store"
	"turmericgap/store/follow"
	"turmericgap/store/retry"
	"turmericgap/workrecord"
)

// worksWatchInterval is the minimum interval between updates from the watches over accepted work and maintenance waves.
// Entry VMs offer new work directly; the watch only finds what they could not deliver.
const worksWatchInterval = 300 * time.Millisecond

// recover loads the cell's state; false means that the tenure ended first. The reads run concurrently: with a
// store latency of a third of a second a takeover then takes that long, not several times as long. This is safe because
// nobody else writes progress or commit keys during this tenure, and the watch over accepted work finds works that are
// created meanwhile.
func (t *term) recover() bool {
	prefixes := []string{workrecord.CommitPrefix, workrecord.StatePrefix, workrecord.WorkPrefix, workrecord.SpeedsKey}
	found := make([][]store.Pair, len(prefixes))
	var reads sync.WaitGroup
	for i, prefix := range prefixes {
		reads.Go(func() {
			res, err := retry.Read(t.ctx, func(ctx context.Context) (store.RangeResult, error) {
				return t.o.Store.Range(ctx, store.Range{Key: prefix, End: store.PrefixEnd(prefix)})
			}, retry.Bounds(commitRetryMin, commitRetryMax))
			if err == nil {
				found[i] = res.Pairs
			}
		})
	}
	reads.Wait()
	if t.ctx.Err() != nil {
		return false
	}
	markers, states, works := found[0], found[1], found[2]
	for i := range markers {
		t.committer.streams.SetRevision(markers[i].Key, markers[i].ModRevision)
	}
	t.config, t.rules = t.o.Config(), t.o.Rules()
	t.applyAccounts()
	t.restore(works, states)
	t.restoreSpeeds(found[3])
	t.wg.Go(t.loadEnded)
	t.followAll()
	return true
}

// restore rebuilds the entries. A work without progress has not started; progress without a work belongs to a work that
// has ended since. A work whose progress cannot be decoded stays as it is until its caller cancels it.
func (t *term) restore(works, states []store.Pair) {
	progressOf, sizeOf := make(map[string]*workrecord.Progress, len(states)), make(map[string]int, len(states))
	for i := range states {
		p := &workrecord.Progress{}
		if err := msgpack.Unmarshal(states[i].Value, p); err != nil {
			t.log.Error("dispatch: cannot decode the progress of a work", zap.String("key", states[i].Key), zap.Error(err))
			p = nil
		}
		id := workrecord.IDFromKey(states[i].Key, workrecord.StatePrefix)
		progressOf[id], sizeOf[id] = p, len(states[i].Value)
	}
	runs := 0
	for _, w := range t.decodeWorks(works) {
		switch p, begun := progressOf[w.ID]; {
		case !begun:
			t.addWork(w)
		case p == nil:
			t.entries[w.ID] = newEntry(w) // any of its tasks may be running or done, so nothing starts
		default:
			runs += t.restoreEntry(w, p)
			t.entries[w.ID].room.Recorded(sizeOf[w.ID])
		}
	}
	t.log.Info("dispatch: the cell's state was read", zap.Int("works", len(t.entries)), zap.Int("runs", runs),
		zap.Duration("took", time.Since(t.startedAt)))
}

// decodeWorks decodes works and sorts them by their time of acceptance, in which they count against the rates of their
// accounts.
func (t *term) decodeWorks(pairs []store.Pair) []*job.Work {
	works := make([]*job.Work, 0, len(pairs))
	for i := range pairs {
		if w := t.decodeWork(pairs[i]); w != nil {
			works = append(works, w)
		}
	}
	slices.SortStableFunc(works, func(a, b *job.Work) int { return a.Accepted.Compare(b.Accepted) })
	return works
}

func (t *term) decodeWork(p store.Pair) *job.Work {
	w := &job.Work{}
	if err := msgpack.Unmarshal(p.Value, w); err != nil {
		t.log.Error("dispatch: cannot decode a work", zap.String("key", p.Key), zap.Error(err))
		return nil
	}
	return w
}

// restoreEntry rebuilds an entry that had started and returns how many of its runs may exist on workers.
func (t *term) restoreEntry(w *job.Work, p *workrecord.Progress) int {
	e := t.newEntry(w)
	e.surplus = t.accounts.rates.Exceeds(w.Account, e.weight, w.Accepted)
	e.lastRun, e.occurrencesBegun = p.Runs, p.Begun
	e.state = job.WorkQueued
	if p.State.Final() {
		e.state, e.failure = p.State, p.Failure
	}
	e.durableState = e.reportedState()
	t.entries[w.ID] = e
	t.memory.Add(w.ID, workrecord.MemoryBytes(w))
	t.recordSize(e)
	for i := range p.Live {
		t.restoreOccurrence(e, &p.Live[i])
	}
	if w.Occurrences > e.occurrencesBegun {
		t.timed[e] = struct{}{}
	}
	if e.state.Final() {
		t.saveUnlessEnded(e)
		t.haltAll(e)
		return e.activeRuns
	}
	for _, o := range e.occurrences {
		t.openStages(o)
		for _, s := range o.stages {
			for i := range s.suspects {
				t.giveUpIfDecided(s, i)
			}
		}
	}
	return e.activeRuns
}

func (t *term) restoreOccurrence(e *entry, or *workrecord.Occurrence) {
	begun := e.occurrencesBegun
	o := e.openOccurrence(or.Number)
	e.occurrencesBegun = begun
	for i := range or.Steps {
		if i < len(o.stages) {
			t.restoreStage(o.stages[i], &or.Steps[i])
		}
	}
}

func (t *term) restoreStage(s *stage, sr *workrecord.Stage) {
	s.failures = sr.Fails
	s.restoreSuspects(sr.Crashes)
	s.begun = slices.ContainsFunc(sr.Tasks, func(tr workrecord.Task) bool { return tr.Run > 0 })
	s.occurrence.started = s.occurrence.started || s.begun
	for _, u := range sr.Unresolved {
		s.unresolved = append(s.unresolved, unresolvedRun{u.Run, &node{id: u.Worker}, t.initialLeaseEnd()})
	}
	for i := range sr.Tasks {
		if i >= len(s.tasks) {
			return
		}
		tr := &sr.Tasks[i]
		task := &s.tasks[i]
		task.failures, task.number, task.checkpoint = tr.Fails, tr.Run, tr.Checkpoint
		s.mostFailures = max(s.mostFailures, task.failures)
		switch tr.Phase {
		case workrecord.Started:
			task.phase = workrecord.Started
			s.waiting--
			t.restoreRun(s, i, tr)
		case workrecord.Done:
			task.phase = workrecord.Done
			s.waiting--
			s.done++
			s.occurrence.tasksLeft--
			s.entry.started = true
		default:
		}
	}
	if s.gang != nil && sr.Failing {
		// The worker was told that this end is durable and will not list it again. Without the record the run would
		// count as stopped, and the gang would be started once too often.
		s.gang.failed = true
		t.abortGang(s)
	}
}

// restoreRun charges a run that a former owner may have started.
func (t *term) restoreRun(s *stage, index int, tr *workrecord.Task) {
	n := t.nodeFor(tr.Worker)
	if n.leaseEnd.IsZero() {
		n.leaseEnd = t.initialLeaseEnd()
	}
	r := &run{stage: s, index: index, number: tr.Run, node: n, need: s.taskResources(), Run: presence.Run{Recovered: true, Resumed: true, Born: t.knownBorn(tr.Born), LostWith: tr.LostWith}, sentAt: t.startedAt}
	if n.born == 0 || r.Born > 0 && r.Born < n.born {
		n.born = r.Born // the earliest one: the entry or an answer shows the present one, which replaces it
	}
	r.exclusive = s.verdictOf(index) >= crash.Isolate
	s.tasks[index].run = r
	s.entry.activeRuns++
	n.charge(r)
	t.accounts.ledger.Charge(s.entry.work.Account, s.spec.TaskResources)
	if !s.spec.Gang {
		return
	}
	if s.gang == nil {
		s.gang = &gangRun{number: tr.Run}
	}
	s.gang.membersLeft++
}

// loadEnded reads the records of ended work in the background. Until it is done, status requests are answered from the
// store.
func (t *term) loadEnded() {
	res, err := retry.Read(t.ctx, func(ctx context.Context) (store.RangeResult, error) {
		return t.o.Store.Range(ctx, store.Range{Key: workrecord.EndedPrefix, End: store.PrefixEnd(workrecord.EndedPrefix)})
	})
	if err != nil {
		return
	}
	found := make(map[string]workrecord.Ended, len(res.Pairs))
	for i := range res.Pairs {
		var end workrecord.Ended
		if err := msgpack.Unmarshal(res.Pairs[i].Value, &end); err != nil {
			t.log.Error("dispatch: cannot decode the record of an ended work", zap.String("key", res.Pairs[i].Key),
				zap.Error(err))
			continue
		}
		found[workrecord.IDFromKey(res.Pairs[i].Key, workrecord.EndedPrefix)] = end
	}
	t.post(func() {
		for id, end := range found {
			t.addEnded(id, end)
		}
		t.endedLoaded = true
	})
}

// followWorks watches for accepted work that its entry VM could not offer directly.
func (t *term) followWorks() {
	onPairs := func(pairs []store.Pair) {
		var works []*job.Work
		for i := range pairs {
			if w := t.decodeWork(pairs[i]); w != nil {
				works = append(works, w)
			}
		}
		t.post(func() {
			for _, w := range works {
				t.addWork(w)
			}
		})
	}
	t.followWritten(workrecord.WorkPrefix, onPairs)
}

// followWritten watches the keys below a prefix and calls onPairs with existing and newly written ones.
func (t *term) followWritten(prefix string, onPairs func([]store.Pair)) {
	f := &follow.Follower{
		Store: t.o.Store, Prefix: prefix, Pause: func(int, int64) time.Duration { return worksWatchInterval }, Logger: t.log,
		OnReset: func(pairs []store.Pair, _ int64) { onPairs(pairs) },
		OnChange: func(events []store.Event, _ int64) {
			if pairs := follow.Puts(events); len(pairs) > 0 {
				onPairs(pairs)
			}
		},
	}
	t.wg.Go(func() { f.Run(t.ctx) })
}
