package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/worker"
)

const (
	// failsMost is how many failures, beside fewer good ends, make a worker doubtful. Work fails by its
	// own fault in up to one run of twenty.
	failsMost = 2
	// judgeWindow is how many ends of runs count before older ones fade; a worker sees about three a second.
	judgeWindow = 16
	// restAfter is how many works in a row must have failed on a worker before it rests. Where one run of
	// twenty fails by its own fault, a sound worker rests after one of 8,000.
	restAfter = 3
	// restFirst and restMost bound how long a worker rests before it is tried again, twice as long after
	// each trial that failed. Workers that fail everything do so for several seconds.
	restFirst = time.Second
	restMost  = 4 * time.Second
	// restShare is the part of the workers, one of so many, that may rest at a time: where more of them
	// fail, the fault is not theirs, and work must not wait for a worker to be trusted.
	restShare = 4
)

// trust is what the ends of runs have shown of a worker.
type trust struct {
	// fails and dones count the ends of runs lately, halved as they grow.
	fails, dones float64
	// failed counts the works that have failed there since one was done, lastFailed is the latest of them.
	failed     int
	lastFailed string
	// rest is how long the latest rest lasts, restUntil its end.
	rest      time.Duration
	restUntil time.Time
	// trial is the one run that is to show whether the worker may be trusted again.
	trial *run
}

// doubtful reports whether other workers are to be preferred.
func (u *trust) doubtful() bool { return u.fails > failsMost && u.fails > u.dones }

// onTrial reports whether the worker gets one run at a time until one is done.
func (u *trust) onTrial() bool { return u.failed >= restAfter }

// rests reports whether the worker gets nothing new. A worker that fails all that it starts always has
// room: without a rest the work of a full cell would go there and use up its attempts.
func (u *trust) rests(now time.Time) bool {
	return u.onTrial() && (u.trial != nil || now.Before(u.restUntil))
}

// tries reports whether a stage may have a run on a worker that is on trial: one that has not failed yet,
// so that the trial does not cost its last attempt, and that needs no other worker beside this one.
func (u *trust) tries(s *stage) bool { return u.trial == nil && !s.spec.Gang && len(s.avoid) == 0 }

// judge takes in how a run has ended.
func (t *term) judge(r *run, how worker.Ending) {
	u := &r.n.trust
	if u.trial == r {
		u.trial = nil
	}
	switch how {
	case worker.EndingDone:
		u.dones++
		u.failed, u.rest = 0, 0
	case worker.EndingFailed:
		u.fails++
		t.doubt(r)
	default:
	}
	if u.dones+u.fails > judgeWindow {
		u.dones, u.fails = u.dones/2, u.fails/2
	}
}

// doubt counts a failure, and lets a worker rest on which several works have failed in a row. The tasks of
// one work count once, as they may fail by their own fault.
func (t *term) doubt(r *run) {
	n, id := r.n, r.s.e.work.ID
	if n.lastFailed == id && !n.onTrial() {
		return
	}
	n.lastFailed = id
	if !n.onTrial() && n.failed+1 >= restAfter && !t.mayRest() {
		return
	}
	if n.failed++; !n.onTrial() {
		return
	}
	n.rest = min(max(2*n.rest, restFirst), restMost)
	n.restUntil = time.Now().Add(n.rest)
	t.log.Info("dispatch: worker rests", zap.String("worker", n.id), zap.Int("failedInARow", n.failed), zap.Duration("rest", n.rest))
}

// mayRest reports whether one more worker may rest.
func (t *term) mayRest() bool {
	resting := 1
	for _, n := range t.nodes {
		if n.onTrial() {
			resting++
		}
	}
	return resting*restShare <= len(t.nodes)
}
