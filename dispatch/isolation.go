package dispatch

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/crash"
	"turmericgap/workrecord"
)

const (
	// isolationWait is how long a task that is to run alone waits for an empty worker. After that it starts beside others,
	// but nothing new is placed beside it.
	isolationWait = 2500 * time.Millisecond
	// vacateHold is how long a worker is kept from new runs after the suspect that waits for it was last tried: several
	// passes.
	vacateHold = 500 * time.Millisecond
	// isolationDivisor limits the workers that are kept from new runs for waiting suspects to one in this many.
	isolationDivisor = 2
)

// isolatedTasks returns the waiting tasks that are to run alone, by index.
func (s *stage) isolatedTasks() []*suspect {
	var out []*suspect
	for i, u := range s.suspects {
		if s.tasks[i].phase == workrecord.Waiting && u.Verdict() == crash.Isolate {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *suspect) int { return cmp.Compare(a.index, b.index) })
	return out
}

// clearSurvivors clears the tasks of isolated runs that have lasted long enough, and lets others run beside them.
func (t *term) clearSurvivors(now time.Time) {
	for _, n := range t.nodes {
		if n.exclusiveRuns == 0 {
			continue
		}
		for _, r := range n.runs {
			if r.exclusive && r.Confirmed && r.provenAge() >= r.clearAge() {
				t.log.Info("dispatch: task cleared of crashes", zap.String("id", r.stage.entry.work.ID),
					zap.Int("step", r.stage.index), zap.Int("task", r.index), zap.Int64("run", r.number), zap.String("worker", n.id))
				n.shareAgain(r)
				delete(r.stage.suspects, r.index)
				t.saveUnlessEnded(r.stage.entry)
				t.passNeeded = true
			}
		}
	}
}

// startAlone starts a task on a worker where nothing else is placed until its run has ended. The run is charged for the
// rest of the worker's capacity.
func (t *term) startAlone(s *stage, u *suspect, n *node, number int64) {
	n.vacatedFor = nil
	t.startRun(s, u.index, n, number)
	r := s.tasks[u.index].run
	n.release(r)
	r.need = r.need.Plus(minResources(n.free.Minus(r.need), n.listing.Has))
	n.charge(r)
}

// shareAgain lets other runs be placed beside an exclusive run.
func (n *node) shareAgain(r *run) {
	n.release(r)
	r.exclusive, r.need = false, r.stage.taskResources()
	n.charge(r)
}

// isKeptFromNewRuns reports whether nothing may be placed on a worker because of a suspect.
func (n *node) isKeptFromNewRuns(now time.Time) bool {
	return n.exclusiveRuns > 0 || n.vacatedFor != nil && now.Before(n.vacatedUntil)
}

// fitsAlone reports whether a suspect may start on the worker, or wait for it to become empty. Once it has waited long
// enough, there must be capacity for it.
func (s *stage) fitsAlone(u *suspect, n *node, now time.Time) bool {
	switch {
	case n.exclusiveRuns > 0, n.IsOnTrial() && !n.acceptsTrial(s, now), n.vacatedFor != nil && n.vacatedFor != u && now.Before(n.vacatedUntil):
		return false
	case s.spec.MaxPerWorker > 0 && s.tasksOn(n) >= s.spec.MaxPerWorker:
		return false
	}
	capacity := n.listing.Has
	if u.hasWaited(now) {
		capacity = n.free.Minus(n.setAside)
	}
	return capacity.Count(s.taskResources()) > 0
}

// hasWaited reports whether a suspect has waited long enough for an empty worker.
func (u *suspect) hasWaited(now time.Time) bool { return now.Sub(u.waitingSince) >= isolationWait }

// placeIsolated starts the tasks of a stage that are to run alone, as far as there are workers for them. It returns how
// many are left that only wait for a worker to become empty.
func (t *term) placeIsolated(s *stage, now time.Time) (waiting int) {
	for _, u := range s.isolatedTasks() {
		if !t.mayStart(s) {
			return waiting
		}
		nodes := t.sortedCandidates(s, now, func(n *node) bool {
			return s.fitsAlone(u, n, now) && s.permitted(n, now)
		})
		n := t.chooseAlone(u, nodes, now)
		switch {
		case n == nil:
		case n.isEmptyEnough(u, now):
			t.startAlone(s, u, n, t.nextRunNumber(s.entry))
		default:
			waiting++
			t.vacate(n, u, now)
		}
	}
	return waiting
}

// chooseAlone returns the worker on which a suspect is to run alone: the one kept for it, or else the one that is expected
// to be empty first.
func (t *term) chooseAlone(u *suspect, nodes []*node, now time.Time) *node {
	var best *node
	var bestAt time.Time
	for _, n := range nodes {
		if n.vacatedFor == u && now.Before(n.vacatedUntil) {
			return n
		}
		if at := n.emptyAt(now); best == nil || at.Before(bestAt) {
			best, bestAt = n, at
		}
	}
	return best
}

// emptyAt returns when all runs of a worker are expected to have ended; those of services end last of all.
func (n *node) emptyAt(now time.Time) time.Time {
	at := now
	for _, r := range n.runs {
		end := r.plannedEnd(now)
		if r.stage.spec.Service {
			end = now.Add(serviceEnd)
		}
		if end.After(at) {
			at = end
		}
	}
	return at
}

// serviceEnd is how far in the future the end of a service's run is assumed.
const serviceEnd = time.Hour

// isEmptyEnough reports whether a suspect may start on a worker now.
func (n *node) isEmptyEnough(u *suspect, now time.Time) bool {
	return len(n.runs) == 0 && n.setAside == (resources{}) || u.hasWaited(now)
}

// vacate keeps a worker from new runs for a suspect that waits for it, unless too many workers are kept so already.
func (t *term) vacate(n *node, u *suspect, now time.Time) {
	if n.vacatedFor != u || !now.Before(n.vacatedUntil) {
		kept := 1
		for _, o := range t.nodes {
			if o.isKeptFromNewRuns(now) {
				kept++
			}
		}
		if kept*isolationDivisor > len(t.nodes) {
			return
		}
	}
	n.vacatedFor, n.vacatedUntil = u, now.Add(vacateHold)
}

// hasWaitedForIsolation reports whether the stage's tasks that are to run alone have waited for that long enough.
func (s *stage) hasWaitedForIsolation(now time.Time) bool {
	for _, u := range s.isolatedTasks() {
		if !u.hasWaited(now) {
			return false
		}
	}
	return true
}

// planIsolated assigns the members of a gang that are to run alone to workers of their own, or returns false if these
// are not there yet.
func (t *term) planIsolated(s *stage, nodes []*node, now time.Time, eligible func(*node) bool) (plan []allocation, ok bool) {
	suspects := s.isolatedTasks()
	if len(suspects) == 0 {
		return nil, true
	}
	ok = true
	taken := make(map[*node]bool)
	for _, u := range suspects {
		var fitting []*node
		for _, n := range nodes {
			if !taken[n] && s.fitsAlone(u, n, now) && eligible(n) {
				fitting = append(fitting, n)
			}
		}
		n := t.chooseAlone(u, fitting, now)
		if n == nil {
			return nil, false
		}
		taken[n] = true
		if !n.isEmptyEnough(u, now) {
			t.vacate(n, u, now)
			ok = false
		}
		plan = append(plan, allocation{node: n, tasks: 1, suspect: u})
	}
	return plan, ok
}
