package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/crash"
	"turmericgap/job"
	"turmericgap/presence"
	"turmericgap/worker"
	"turmericgap/workrecord"
)

// unknownAge is the least age that is assumed of a run that a former owner had started.
const unknownAge = time.Second

// suspect is a task that was lost with a worker.
type suspect struct {
	crash.Record
	index int
	// waitingSince is when the task was queued after its latest run.
	waitingSince time.Time
}

// verdictOf returns what becomes of a task because of crashes.
func (s *stage) verdictOf(index int) crash.Verdict {
	if u := s.suspects[index]; u != nil {
		return u.Verdict()
	}
	return crash.Continue
}

// wasPresent reports whether a run may have been on a worker when it was lost.
func (r *run) wasPresent(n *node) bool {
	switch {
	case r.sentAt.IsZero() || r.undelivered || r.Born > 0 && r.Born < n.born && !r.seenAt.After(n.addedAt):
		return false // not sent, or weighed when an earlier instance was lost and not listed since
	case r.Confirmed || r.Recovered || n.silentSince.IsZero():
		return true
	}
	return !r.sentAt.After(n.silentSince)
}

// recordLoss weighs the loss of a worker against the tasks whose runs may have been there.
func (t *term) recordLoss(n *node, cause presence.Proof, now time.Time) {
	if cause == presence.Left {
		return
	}
	present := slices.Clone(n.formerRuns)
	for _, r := range n.runs {
		if r.wasPresent(n) {
			present = append(present, r)
		}
	}
	lostAt := now
	if !n.silentSince.IsZero() {
		lostAt = n.silentSince
	}
	scope := t.scopeOfLoss(n, lostAt)
	alone := len(present) == 1 && present[0].Confirmed && n.unknownRuns == 0
	for _, r := range present {
		if !r.WeighOnce(n.born) {
			t.o.Metrics.Counter("dispatch.lossesKnown").Inc(1)
			t.log.Info("dispatch: loss was weighed before", zap.String("id", r.stage.entry.work.ID), zap.Int("step", r.stage.index),
				zap.Int("task", r.index), zap.Int64("run", r.number), zap.String("worker", n.id), zap.Int64("instance", r.LostWith))
			continue
		}
		l := crash.Loss{
			Crashed: cause == presence.Replaced, Alone: alone, Scope: scope, Age: r.provenAge(),
			ClearAge: r.clearAge(),
		}
		t.suspectRun(r, l, now)
	}
}

// scopeOfLoss returns how much of the cell was lost with a worker.
func (t *term) scopeOfLoss(n *node, lostAt time.Time) crash.Scope {
	if n.lastAnswerAt.IsZero() {
		return crash.SeveralWorkers // the worker may have been lost long before this term
	}
	survivors := 0
	for _, o := range t.nodes {
		if o != n && o.listing.Rack == n.listing.Rack && o.listed && o.silentSince.IsZero() && o.addedAt.Before(n.lastAnswerAt) {
			survivors++
		}
	}
	out := crash.Outage{Worker: n.id, Rack: n.listing.Rack, At: lostAt, Isolated: n.exclusiveRuns > 0}
	t.outages.Add(out)
	return t.outages.ScopeOf(out, survivors)
}

// noteSilence records that a worker has stopped answering.
func (t *term) noteSilence(n *node) {
	n.silentSince = time.Now()
	t.outages.Add(crash.Outage{Worker: n.id, Rack: n.listing.Rack, At: n.silentSince, Isolated: n.exclusiveRuns > 0})
}

// provenAge returns how long a run is known to have lasted. A run of a former owner may have lasted for any time.
func (r *run) provenAge() time.Duration {
	age := time.Duration(0)
	if !r.seenAt.IsZero() {
		age = r.seenAt.Sub(r.sentAt)
	}
	if r.decidedAt.IsZero() {
		return max(age, unknownAge)
	}
	return age
}

// clearAge returns the age from which the run is cleared of earlier crashes.
func (r *run) clearAge() time.Duration {
	return crash.ClearAge(r.stage.spec.Estimate, r.stage.spec.Service)
}

// suspectRun weighs the loss of a run against its task.
func (t *term) suspectRun(r *run, l crash.Loss, now time.Time) {
	s := r.stage
	if s.entry.state.Final() {
		return
	}
	u := s.suspects[r.index]
	if u == nil {
		u = &suspect{index: r.index}
		if s.suspects == nil {
			s.suspects = make(map[int]*suspect)
		}
		s.suspects[r.index] = u
	}
	u.Add(l)
	u.waitingSince = now
	if l.Crashed {
		t.o.Metrics.Counter("dispatch.crashes." + s.entry.work.Queue.Name).Inc(1)
	} else {
		t.rememberSilentLoss(r)
	}
	t.log.Info("dispatch: lost run weighed", zap.String("id", s.entry.work.ID), zap.Int("occurrence", s.occurrence.number),
		zap.Int("step", s.index), zap.Int("task", r.index), zap.Int64("run", r.number), zap.String("worker", r.node.id),
		zap.Int64("instance", r.LostWith), zap.Bool("crashed", l.Crashed), zap.Bool("alone", l.Alone), zap.Stringer("scope", l.Scope),
		zap.Duration("age", l.Age), zap.Int("crashes", u.Crashes), zap.Int("losses", u.Losses),
		zap.Int("evidence", u.Evidence), zap.Stringer("verdict", u.Verdict()))
	if u.Record == (crash.Record{}) {
		delete(s.suspects, r.index)
	}
}

// countEndOfSuspect counts the reported end of a suspect's run.
func (t *term) countEndOfSuspect(r *run, how worker.RunOutcome) {
	if u := r.stage.suspects[r.index]; u != nil && !r.ended && how != worker.OutcomeDone {
		u.AddEnd()
	}
}

// giveUpIfDecided fails the work of a task that has crashed too many workers.
func (t *term) giveUpIfDecided(s *stage, index int) {
	if s.verdictOf(index) != crash.GiveUp || s.entry.state.Final() {
		return
	}
	u := s.suspects[index]
	s.entry.failure = workrecord.WorkersCrashed
	t.o.Metrics.Counter("dispatch.worksGivenUp").Inc(1)
	t.log.Warn("dispatch: work given up", zap.String("id", s.entry.work.ID), zap.String("queue", s.entry.work.Queue.Name),
		zap.Int("occurrence", s.occurrence.number), zap.Int("step", s.index), zap.Int("task", index),
		zap.String("reason", string(workrecord.WorkersCrashed)), zap.Int("crashes", u.Crashes), zap.Int("losses", u.Losses),
		zap.Int("evidence", u.Evidence), zap.Int("starts", u.Starts), zap.Int64("run", s.tasks[index].number))
	t.finish(s.entry, job.WorkFailed)
}

// silentLoss is a run that was lost with a worker of unknown fate.
type silentLoss struct {
	run *run
	at  time.Time
}

// silentLossRetention is how long a new instance at a silent worker's address still shows that the worker has crashed.
const silentLossRetention = time.Minute

func (t *term) rememberSilentLoss(r *run) {
	for address, losses := range t.silentLosses {
		if time.Since(losses[len(losses)-1].at) > silentLossRetention {
			delete(t.silentLosses, address)
		}
	}
	if address := r.node.listing.Address; address != "" {
		t.silentLosses[address] = append(t.silentLosses[address], silentLoss{r, time.Now()})
	}
}

// resolveSilentLosses counts the runs that were lost with a silent worker as crashes once another instance is listed at
// its address.
func (t *term) resolveSilentLosses(n *node) {
	losses := t.silentLosses[n.listing.Address]
	delete(t.silentLosses, n.listing.Address)
	for _, l := range losses {
		s := l.run.stage
		u := s.suspects[l.run.index]
		if l.run.node.id == n.id && presence.Compare(l.run.node.born, n.born) != presence.Newer || u == nil || s.entry.state.Final() || time.Since(l.at) > silentLossRetention {
			continue
		}
		u.Resolve()
		t.log.Info("dispatch: lost run was a crash", zap.String("id", s.entry.work.ID), zap.Int("step", s.index),
			zap.Int("task", l.run.index), zap.Int64("run", l.run.number), zap.String("worker", l.run.node.id),
			zap.String("replacedBy", n.id), zap.Int("crashes", u.Crashes), zap.Int("evidence", u.Evidence))
		t.giveUpIfDecided(s, l.run.index)
		t.saveUnlessEnded(s.entry)
	}
}

// breakMember ends a gang member on a silent worker whose gang is known to be over.
func (t *term) breakMember(r *run, proof presence.Proof) {
	n := r.node
	if r.wasPresent(n) {
		n.formerRuns = append(n.formerRuns, r)
	}
	r.stage.addUnresolved(r.number, n)
	t.log.Info("dispatch: run over with its gang", r.evidence(proof, time.Now())...)
	t.endRun(r, worker.OutcomeGangBroken, "")
	t.forgetIfIdle(n)
}

// recordsOfCrashes returns the durable form of what is held against the tasks of a stage.
func (s *stage) recordsOfCrashes() []workrecord.Crash {
	var out []workrecord.Crash
	for i, u := range s.suspects {
		out = append(out, workrecord.Crash{Task: i, Record: u.Record})
	}
	slices.SortFunc(out, func(a, b workrecord.Crash) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

// restoreSuspects restores what a former owner held against the tasks of a stage.
func (s *stage) restoreSuspects(records []workrecord.Crash) {
	for _, c := range records {
		if c.Task < 0 || c.Task >= len(s.tasks) {
			continue
		}
		if s.suspects == nil {
			s.suspects = make(map[int]*suspect)
		}
		s.suspects[c.Task] = &suspect{Record: c.Record, index: c.Task, waitingSince: time.Now()}
	}
}
