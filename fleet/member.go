package fleet

import (
	"fmt"
	"slices"
	"time"
)

// failure is one task that ended badly on a member.
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
	until     time.Time
	level     int
	probes    int
	openedAt  time.Time
}

func (m *member) lastSign() time.Time {
	if m.seen.After(m.firstSign) {
		return m.seen
	}
	return m.firstSign
}

func (m *member) setLeaving(now time.Time, leaving bool) {
	if leaving && !m.leaving {
		m.leavingSince = now
	}
	m.leaving = leaving
}

// since tells when the member came into the state.
func (m *member) since(s State) time.Time {
	switch s {
	case Gone:
		return m.vanishedAt
	case Draining:
		return m.leavingSince
	case Ejected:
		return m.ejectedAt
	case Probing:
		return m.until
	case Suspect:
		if !m.missedSince.IsZero() {
			return m.missedSince
		}
		return m.failures[len(m.failures)-1].at
	default:
		return m.firstSign
	}
}

// state gives the member's state and its reason.
func (f *Fleet) state(now time.Time, m *member) (State, string) {
	switch {
	case m.leaving:
		return Draining, "leaving"
	case m.vanished && (!m.massVanished || !m.seen.After(m.vanishedAt)):
		return Gone, "no longer listed"
	case m.ejected && now.Before(m.until):
		return Ejected, m.failureReason()
	case m.missed >= f.opts.Missed:
		return Suspect, fmt.Sprintf("%d heartbeats in a row failed", m.missed)
	case m.ejected:
		return Probing, fmt.Sprintf("%d of %d probes succeeded", m.probes, f.opts.Probes)
	case len(m.failures) >= f.opts.Failures:
		return Suspect, m.failureReason() + ", but no more may be ejected"
	case m.seen.IsZero():
		return Unknown, "not seen yet"
	default:
		return Healthy, ""
	}
}

func (m *member) failureReason() string {
	if len(m.failures) == 0 {
		return "a probe failed"
	}
	last := m.failures[len(m.failures)-1]
	return fmt.Sprintf("%d failures in a row, last of job %s, class %s", len(m.failures), last.job, last.class)
}

func (f *Fleet) succeeded(now time.Time, m *member) {
	m.lastOK = now
	if !m.ejected {
		m.failures = m.failures[:0]
		return
	}
	if now.Before(m.until) {
		return // A task from before the ejection; it says nothing of new ones.
	}
	m.probes++
	if m.probes >= f.opts.Probes {
		m.ejected, m.openedAt = false, now
		m.failures = m.failures[:0]
	}
}

// failed counts a failure against the member, if it is not the job's or class's own.
func (f *Fleet) failed(now time.Time, m *member, x failure) {
	m.failures = slices.DeleteFunc(m.failures, func(o failure) bool { return now.Sub(o.at) > f.opts.FailureWindow })
	if !f.counts(m, x) {
		return
	}
	if len(m.failures) < f.opts.Failures {
		m.failures = append(m.failures, x)
	}
	switch {
	case m.ejected && now.Before(m.until):
	case m.ejected && f.alone(f.jobs[x.job], m):
		f.eject(now, m) // A probe failed, and the same job fails nowhere else.
	case len(m.failures) >= f.opts.Failures && (m.ejected || f.mayEject(m)):
		f.eject(now, m)
	}
}

// counts tells whether a failure speaks against the member. A second failure of a job does only when
// the job succeeds on others: a failing job would else eject every worker that it meets.
func (f *Fleet) counts(m *member, x failure) bool {
	same := slices.ContainsFunc(m.failures, func(o failure) bool { return o.job == x.job })
	if same && !f.succeedsElsewhere(f.jobs[x.job], m) {
		return false
	}
	ofJob := func(o failure) bool { return o.job == x.job }
	ofClass := func(o failure) bool { return o.class == x.class }
	return !f.failing(f.jobs[x.job], ofJob) && !f.failing(f.classes[x.class], ofClass)
}

// eject closes the member until its back-off has passed.
func (f *Fleet) eject(now time.Time, m *member) {
	if !m.ejected && now.Sub(m.openedAt) > f.opts.MaxBackOff {
		m.level = 0
	}
	backOff := f.opts.BackOff << min(m.level, maxLevel)
	if backOff >= f.opts.MaxBackOff {
		backOff = f.opts.MaxBackOff
	}
	m.level++
	m.ejected, m.ejectedAt, m.until, m.probes = true, now, now.Add(backOff), 0
}

// maxLevel keeps the shift of the back-off from overflowing.
const maxLevel = 16

// mayEject keeps the ejected part within its share and one member of each zone in use.
//
// Failure: what all tasks need is down, so that all of them fail everywhere. Symptom: every worker
// is ejected and nothing runs for the whole back-off when it heals.
// The rest stays in use, one task at a time, and is open again with the first success.
func (f *Fleet) mayEject(m *member) bool {
	all, out, zone, zoneOut := 0, 0, 0, 0
	for _, o := range f.members {
		if o.leaving || o.vanished {
			continue
		}
		all++
		sameZone := o.zone == m.zone
		if sameZone {
			zone++
		}
		if o.ejected {
			out++
			if sameZone {
				zoneOut++
			}
		}
	}
	return out < max(1, all/f.opts.Share) && out+1 < all && zoneOut+1 < zone
}

// exonerate takes back the failures of a job or class that has turned out to fail everywhere.
func (f *Fleet) exonerate(now time.Time, job, class string) {
	jobFails := f.failing(f.jobs[job], func(o failure) bool { return o.job == job })
	classFails := f.failing(f.classes[class], func(o failure) bool { return o.class == class })
	if !jobFails && !classFails {
		return
	}
	for _, m := range f.members {
		before := len(m.failures)
		m.failures = slices.DeleteFunc(m.failures, func(o failure) bool {
			return (jobFails && o.job == job) || (classFails && o.class == class)
		})
		if m.ejected && len(m.failures) < before && now.Before(m.until) {
			m.until = now // Let it back by probes at once.
		}
	}
}
