package fleet

import (
	"fmt"
	"slices"
	"time"
)

// maxBackoffLevel keeps the shift of the backoff from overflowing.
const maxBackoffLevel = 16

// failure is one failed task of a member; job is empty for a job of a single task.
type failure struct {
	job, class string
	at         time.Time
}

// member is the health record of one worker or target.
type member struct {
	id, zone     string
	firstContact time.Time
	// lastSeen is when the member last answered a heartbeat or completed a task.
	lastSeen    time.Time
	missed      int
	missedSince time.Time
	// lastSuccess is when a task last succeeded on the member.
	lastSuccess time.Time
	// failures are the failures since the last success that count against the member.
	failures []failure

	listed         bool
	delisted       bool
	delistedAt     time.Time
	listDistrusted bool
	leaving        bool
	leavingSince   time.Time

	ejected   bool
	ejectedAt time.Time
	// probeAt is when probing begins, reinstatedAt when probing last succeeded.
	probeAt        time.Time
	reinstatedAt   time.Time
	backoffLevel   int
	probeSuccesses int
	// ejectionFailures are the failures that ejected the member.
	ejectionFailures []failure
}

func (m *member) lastContact() time.Time {
	if m.lastSeen.After(m.firstContact) {
		return m.lastSeen
	}
	return m.firstContact
}

// markAlive records that the member answered, which ends a series of missed heartbeats.
func (m *member) markAlive(now time.Time) {
	m.lastSeen, m.missed, m.missedSince = now, 0, time.Time{}
}

func (m *member) setLeaving(now time.Time, leaving bool) {
	if leaving && !m.leaving {
		m.leavingSince = now
	}
	m.leaving = leaving
}

// inBackoff reports whether the member is ejected and not being probed yet.
func (m *member) inBackoff(now time.Time) bool { return m.ejected && now.Before(m.probeAt) }

// since returns when the member entered the state.
func (m *member) since(s State) time.Time {
	switch {
	case s == Gone:
		return m.delistedAt
	case s == Draining:
		return m.leavingSince
	case s == Ejected:
		return m.ejectedAt
	case s == Probing:
		return m.probeAt
	case s == Suspect && !m.missedSince.IsZero():
		return m.missedSince
	case s == Suspect:
		return m.failures[len(m.failures)-1].at
	default:
		return m.firstContact
	}
}

// state returns the member's state and the reason for it.
func (f *Fleet) state(now time.Time, m *member) (State, string) {
	switch {
	case m.delisted && (!m.listDistrusted || !m.lastSeen.After(m.delistedAt)):
		return Gone, "no longer listed"
	case m.leaving:
		return Draining, "leaving"
	case m.inBackoff(now):
		return Ejected, describeFailures(m.ejectionFailures)
	case m.missed >= f.opts.MissedThreshold:
		return Suspect, fmt.Sprintf("%d heartbeats in a row failed", m.missed)
	case m.ejected:
		return Probing, fmt.Sprintf("%d of %d probes succeeded", m.probeSuccesses, f.opts.RequiredProbes)
	case len(m.failures) >= f.opts.FailureThreshold:
		return Suspect, describeFailures(m.failures) + ", but no more may be ejected"
	case m.lastSeen.IsZero():
		return Unknown, "not seen yet"
	default:
		return Healthy, ""
	}
}

func describeFailures(failures []failure) string {
	if len(failures) == 0 {
		return "a failing job has been cleared away"
	}
	last := failures[len(failures)-1]
	return fmt.Sprintf("%d failures without a success between, the last of job %q, class %q", len(failures), last.job, last.class)
}

// applySuccess clears the member's failures and counts the success as a probe if the member is being probed.
func (f *Fleet) applySuccess(now time.Time, m *member) {
	if m.inBackoff(now) {
		return // The task was started before the ejection, so it is not a probe.
	}
	m.lastSuccess = now
	m.failures = nil
	if !m.ejected {
		return
	}
	m.probeSuccesses++
	if m.probeSuccesses >= f.opts.RequiredProbes {
		m.ejected, m.reinstatedAt, m.ejectionFailures = false, now, nil
	}
}

// applyFailure counts a failure against the member, unless the job or the class is at fault.
func (f *Fleet) applyFailure(now time.Time, m *member, x failure) {
	m.failures = slices.DeleteFunc(m.failures, func(o failure) bool { return now.Sub(o.at) > f.opts.FailureWindow })
	if m.inBackoff(now) || !f.countsAgainst(m, x) {
		return
	}
	if len(m.failures) < f.opts.FailureThreshold {
		m.failures = append(m.failures, x)
	}
	switch {
	case m.ejected && f.jobs[x.job].failedOnlyOn(m.id):
		f.eject(now, m) // A probe failed, and its job has not failed on any other member.
	case len(m.failures) >= f.opts.FailureThreshold && (m.ejected || f.canEject(m)):
		f.eject(now, m)
	}
}

// countsAgainst reports whether a failure counts against the member. A second failure of the same job counts
// only if the job succeeds on other members; otherwise a failing job would eject every member that runs it.
func (f *Fleet) countsAgainst(m *member, x failure) bool {
	repeated := x.job != "" && slices.ContainsFunc(m.failures, func(o failure) bool { return o.job == x.job })
	if repeated && !f.succeedsElsewhere(f.jobs[x.job], m) {
		return false
	}
	return !f.jobFailing(x.job) && !f.classFailing(x.class)
}

// eject denies new work to the member until its backoff has passed. Each further ejection doubles the backoff.
func (f *Fleet) eject(now time.Time, m *member) {
	if !m.ejected && now.Sub(m.reinstatedAt) > f.opts.MaxBackoff {
		m.backoffLevel = 0
	}
	backoff := min(f.opts.Backoff<<m.backoffLevel, f.opts.MaxBackoff)
	m.backoffLevel = min(m.backoffLevel+1, maxBackoffLevel)
	m.ejected, m.ejectedAt, m.probeAt, m.probeSuccesses = true, now, now.Add(backoff), 0
	m.ejectionFailures, m.failures = m.failures, nil
}

// canEject limits the ejected fraction of the fleet and keeps one member of each zone in use.
//
// If a dependency of all tasks is down, every task fails on every member. Without the limit all members would be
// ejected, and nothing would run for the whole backoff after the dependency has recovered. The remaining
// members stay in use, one task at a time, and are Healthy again after their first success.
func (f *Fleet) canEject(m *member) bool {
	all, ejected, inZone, zoneEjected := 0, 0, 0, 0
	for _, o := range f.members {
		if o.leaving || o.delisted {
			continue
		}
		all++
		if o.zone == m.zone {
			inZone++
		}
		if !o.ejected {
			continue
		}
		ejected++
		if o.zone == m.zone {
			zoneEjected++
		}
	}
	return ejected < max(1, all/f.opts.EjectionDivisor) && ejected+1 < all && zoneEjected+1 < inZone
}

// clearFailures removes the failures of a job or class that turns out to be at fault itself. Members that were
// ejected because of them begin probing at once.
func (f *Fleet) clearFailures(now time.Time, job, class string) {
	jobFails, classFails := f.jobFailing(job), f.classFailing(class)
	if !jobFails && !classFails {
		return
	}
	own := func(o failure) bool { return (jobFails && o.job == job) || (classFails && o.class == class) }
	for _, m := range f.members {
		m.failures = slices.DeleteFunc(m.failures, own)
		before := len(m.ejectionFailures)
		m.ejectionFailures = slices.DeleteFunc(m.ejectionFailures, own)
		if m.inBackoff(now) && len(m.ejectionFailures) < before {
			m.probeAt = now
			m.backoffLevel = max(0, m.backoffLevel-1)
		}
	}
}
