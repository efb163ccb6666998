package fleet

import (
	"fmt"
	"slices"
	"time"
)

// maxLevel keeps the shift of the back-off from overflowing.
const maxLevel = 16

// failure is one task that ended badly on a member; job is empty where a job has a single task.
type failure struct {
	job, class string
	at         time.Time
}

// member is what is known of one worker or target.
type member struct {
	id, zone  string
	firstSign time.Time
	// seen is the newest direct sign of life.
	seen        time.Time
	missed      int
	missedSince time.Time
	// lastOK is when a task last succeeded here.
	lastOK time.Time
	// failures are those since the last success that count against the member.
	failures []failure

	listed       bool
	vanished     bool
	vanishedAt   time.Time
	massVanished bool
	leaving      bool
	leavingSince time.Time

	ejected   bool
	ejectedAt time.Time
	// until is when probes begin, openedAt when the last ones ended well.
	until    time.Time
	openedAt time.Time
	level    int
	probes   int
	// cause is the failures that ejected the member.
	cause []failure
}

func (m *member) lastSign() time.Time {
	if m.seen.After(m.firstSign) {
		return m.seen
	}
	return m.firstSign
}

// alive takes in a direct sign of life.
func (m *member) alive(now time.Time) {
	m.seen, m.missed, m.missedSince = now, 0, time.Time{}
}

func (m *member) setLeaving(now time.Time, leaving bool) {
	if leaving && !m.leaving {
		m.leavingSince = now
	}
	m.leaving = leaving
}

// backsOff tells whether the member is ejected and not probed yet.
func (m *member) backsOff(now time.Time) bool { return m.ejected && now.Before(m.until) }

// since tells when the member came into the state.
func (m *member) since(s State) time.Time {
	switch {
	case s == Gone:
		return m.vanishedAt
	case s == Draining:
		return m.leavingSince
	case s == Ejected:
		return m.ejectedAt
	case s == Probing:
		return m.until
	case s == Suspect && !m.missedSince.IsZero():
		return m.missedSince
	case s == Suspect:
		return m.failures[len(m.failures)-1].at
	default:
		return m.firstSign
	}
}

// state gives the member's state and its reason.
func (f *Fleet) state(now time.Time, m *member) (State, string) {
	switch {
	case m.vanished && (!m.massVanished || !m.seen.After(m.vanishedAt)):
		return Gone, "no longer listed"
	case m.leaving:
		return Draining, "leaving"
	case m.backsOff(now):
		return Ejected, reason(m.cause)
	case m.missed >= f.opts.MissedThreshold:
		return Suspect, fmt.Sprintf("%d heartbeats in a row failed", m.missed)
	case m.ejected:
		return Probing, fmt.Sprintf("%d of %d probes succeeded", m.probes, f.opts.RequiredProbes)
	case len(m.failures) >= f.opts.FailureThreshold:
		return Suspect, reason(m.failures) + ", but no more may be ejected"
	case m.seen.IsZero():
		return Unknown, "not seen yet"
	default:
		return Healthy, ""
	}
}

func reason(failures []failure) string {
	if len(failures) == 0 {
		return "a failing job has been cleared away"
	}
	last := failures[len(failures)-1]
	return fmt.Sprintf("%d failures without a success between, the last of job %q, class %q", len(failures), last.job, last.class)
}

func (f *Fleet) succeeded(now time.Time, m *member) {
	if m.backsOff(now) {
		return // A task from before the ejection; it says nothing of new ones.
	}
	m.lastOK = now
	m.failures = nil
	if !m.ejected {
		return
	}
	m.probes++
	if m.probes >= f.opts.RequiredProbes {
		m.ejected, m.openedAt, m.cause = false, now, nil
	}
}

// failed counts a failure against the member, unless it is the job's or the class's own.
func (f *Fleet) failed(now time.Time, m *member, x failure) {
	m.failures = slices.DeleteFunc(m.failures, func(o failure) bool { return now.Sub(o.at) > f.opts.FailureWindow })
	if m.backsOff(now) || !f.counts(m, x) {
		return
	}
	if len(m.failures) < f.opts.FailureThreshold {
		m.failures = append(m.failures, x)
	}
	switch {
	case m.ejected && f.jobs[x.job].alone(m.id):
		f.eject(now, m) // A probe failed whose job fails nowhere else.
	case len(m.failures) >= f.opts.FailureThreshold && (m.ejected || f.mayEject(m)):
		f.eject(now, m)
	}
}

// counts tells whether a failure speaks against the member. A second failure of one job does so only
// when the job succeeds on others: a failing job would else eject every worker that it meets.
func (f *Fleet) counts(m *member, x failure) bool {
	same := x.job != "" && slices.ContainsFunc(m.failures, func(o failure) bool { return o.job == x.job })
	if same && !f.succeedsElsewhere(f.jobs[x.job], m) {
		return false
	}
	return !f.jobFailing(x.job) && !f.classFailing(x.class)
}

// eject closes the member until its back-off has passed.
func (f *Fleet) eject(now time.Time, m *member) {
	if !m.ejected && now.Sub(m.openedAt) > f.opts.MaxBackOff {
		m.level = 0
	}
	backOff := min(f.opts.BackOff<<m.level, f.opts.MaxBackOff)
	m.level = min(m.level+1, maxLevel)
	m.ejected, m.ejectedAt, m.until, m.probes = true, now, now.Add(backOff), 0
	m.cause, m.failures = m.failures, nil
}

// mayEject keeps the ejected part within its share, and one member of each zone in use.
//
// Failure: what all tasks need is down, so that all of them fail everywhere. Symptom: every worker
// is ejected, and nothing runs for the whole back-off when it heals.
// The rest stays in use, one task at a time, and is open again with its first success.
func (f *Fleet) mayEject(m *member) bool {
	all, out, zone, zoneOut := 0, 0, 0, 0
	for _, o := range f.members {
		if o.leaving || o.vanished {
			continue
		}
		all++
		if o.zone == m.zone {
			zone++
		}
		if !o.ejected {
			continue
		}
		out++
		if o.zone == m.zone {
			zoneOut++
		}
	}
	return out < max(1, all/f.opts.EjectionDivisor) && out+1 < all && zoneOut+1 < zone
}

// exonerate takes back the failures of a job or class that has turned out to fail everywhere, and
// lets back by probes, at once, the members that they had ejected.
func (f *Fleet) exonerate(now time.Time, job, class string) {
	jobFails, classFails := f.jobFailing(job), f.classFailing(class)
	if !jobFails && !classFails {
		return
	}
	own := func(o failure) bool { return (jobFails && o.job == job) || (classFails && o.class == class) }
	for _, m := range f.members {
		m.failures = slices.DeleteFunc(m.failures, own)
		before := len(m.cause)
		m.cause = slices.DeleteFunc(m.cause, own)
		if m.backsOff(now) && len(m.cause) < before {
			m.until = now
			m.level = max(0, m.level-1)
		}
	}
}
