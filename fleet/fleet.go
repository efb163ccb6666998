package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// State is the health of a member as this process sees it.
type State string

// The states of a member.
const (
	// Unknown means that the member is listed and nothing is known of it directly.
	Unknown State = "unknown"
	// Healthy means that nothing speaks against it.
	Healthy State = "open"
	// Suspect means that its heartbeats fail, or that it fails while no more may be ejected.
	Suspect State = "suspect"
	Ejected State = "ejected"
	// Probing means that it is let back one task at a time.
	Probing State = "probing"
	// Draining means that it leaves: it keeps what it has.
	Draining State = "draining"
	// Gone means that it is no longer listed; what it runs is given up only when its lease has
	// surely lapsed, which is for its owner to count.
	Gone State = "gone"
)

// Decision says whether a member may get new work.
type Decision int

// The verdicts.
const (
	// Deny gives it nothing new.
	Deny Decision = iota
	// AllowProbes gives it one task at a time, or up to Limit.
	AllowProbes
	// Allow gives it whatever fits.
	Allow
)

// Admission is a verdict with its reason; the reason is empty for Open.
type Admission struct {
	Decision Decision
	// Limit is how many tasks it may have at once under Probe: it doubles with each that succeeds.
	Limit  int
	Reason string
}

// ListEntry is what the VM list says of a member.
type ListEntry struct {
	ID      string
	Zone    string
	Leaving bool
}

// Ejection tells operators of one member that does not get all the work it could.
type Ejection struct {
	ID    string    `json:"id"`
	Zone  string    `json:"zone,omitempty"`
	State State     `json:"state"`
	Since time.Time `json:"since"`
	// Until is when an ejected member is probed; zero otherwise.
	Until  time.Time `json:"until,omitzero"`
	Reason string    `json:"reason"`
}

// Fleet is the health of all members; it may be used by several goroutines.
type Fleet struct {
	opts Options
	mu   sync.Mutex
	// now is the newest time that a caller told.
	now     time.Time
	members map[string]*member
	jobs    map[string]*work
	classes map[string]*work
}

// New returns a fleet without members.
func New(opts ...Option) *Fleet {
	o := Options{
		FailureThreshold: DefaultFailureThreshold, FailureWindow: DefaultFailureWindow, MissedThreshold: DefaultMissedThreshold,
		RequiredProbes: DefaultRequiredProbes, BackOff: DefaultBackOff, MaxBackOff: DefaultMaxBackOff,
		EjectionDivisor: DefaultEjectionDivisor, MinHealthyFailures: DefaultMinHealthyFailures, Retention: DefaultRetention, ListLag: DefaultListLag,
	}
	for _, f := range opts {
		f(&o)
	}
	return &Fleet{
		opts: o, members: make(map[string]*member), jobs: make(map[string]*work), classes: make(map[string]*work),
	}
}

// RecordHeartbeat tells that the member answered a heartbeat.
func (f *Fleet) RecordHeartbeat(now time.Time, id string) {
	f.lock(now)
	defer f.mu.Unlock()
	m := f.member(now, id)
	m.alive(now)
}

// RecordMissedHeartbeat tells that a heartbeat of the member failed.
func (f *Fleet) RecordMissedHeartbeat(now time.Time, id string) {
	f.lock(now)
	defer f.mu.Unlock()
	m := f.member(now, id)
	m.missed++
	if m.missed == f.opts.MissedThreshold {
		m.missedSince = now
	}
}

// RecordOutcome tells how a task or request ended that the member ran; an empty job stands for a job of
// a single task or request, of which nothing is remembered. What the caller cancelled, what was
// stopped, and what was never sent are no outcomes.
func (f *Fleet) RecordOutcome(now time.Time, id, job, class string, ok bool) {
	f.lock(now)
	defer f.mu.Unlock()
	m := f.member(now, id)
	j, c := f.work(f.jobs, job, now), f.work(f.classes, class, now)
	if ok {
		m.alive(now)
		j.succeeded(id)
		c.succeeded(id)
		f.succeeded(now, m)
		return
	}
	j.failed(id)
	c.failed(id)
	f.failed(now, m, failure{job: job, class: class, at: now})
	f.exonerate(now, job, class)
}

// UpdateList takes in a reading of the VM list.
func (f *Fleet) UpdateList(now time.Time, l []ListEntry) {
	f.lock(now)
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(l))
	for _, e := range l {
		listed[e.ID] = true
		m := f.member(now, e.ID)
		m.zone, m.listed, m.vanished = e.Zone, true, false
		m.setLeaving(now, e.Leaving)
	}
	f.unlisted(now, listed)
}

// unlisted marks the members that a reading no longer has, and forgets those without any sign.
//
// Failure: the VM list restarts and shows a fraction of the cell. Symptom: no worker gets work.
// A reading that drops more than half of the members at once, unannounced, is not believed of a
// member that gives a direct sign after it; one that is truly gone gives none.
func (f *Fleet) unlisted(now time.Time, listed map[string]bool) {
	var missing []*member
	announced := 0
	for _, m := range f.members {
		known := m.listed || now.Sub(m.firstSign) > f.opts.ListLag
		if listed[m.id] || m.vanished || !known {
			continue
		}
		missing = append(missing, m)
		if m.leaving {
			announced++
		}
	}
	sudden := len(missing) - announced
	mass := sudden >= minMass && sudden > len(listed)
	for _, m := range missing {
		m.vanished, m.vanishedAt, m.massVanished = true, now, mass && !m.leaving
	}
	maps.DeleteFunc(f.members, func(id string, m *member) bool {
		return !listed[id] && now.Sub(m.lastSign()) > f.opts.Retention
	})
	f.trimWork(now)
}

// Admission tells whether the member may get new work now.
func (f *Fleet) Admission(now time.Time, id string) Admission {
	f.lock(now)
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return Admission{Decision: Deny, Reason: "not listed"}
	}
	state, reason := f.state(now, m)
	switch {
	case state == Healthy:
		return Admission{Decision: Allow}
	case state == Probing:
		return Admission{Decision: AllowProbes, Limit: 1 << m.probes, Reason: reason}
	case state == Unknown, state == Suspect && m.missed < f.opts.MissedThreshold:
		return Admission{Decision: AllowProbes, Limit: 1, Reason: reason}
	default:
		return Admission{Decision: Deny, Reason: reason}
	}
}

// State gives the member's state.
func (f *Fleet) State(now time.Time, id string) State {
	f.lock(now)
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return Gone
	}
	state, _ := f.state(now, m)
	return state
}

// Ejections lists, by id, the members that are neither open nor unknown, as of the newest call.
func (f *Fleet) Ejections() []Ejection {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now
	var out []Ejection
	for _, m := range f.members {
		state, reason := f.state(now, m)
		if state == Healthy || state == Unknown {
			continue
		}
		e := Ejection{ID: m.id, Zone: m.zone, State: state, Since: m.since(state), Reason: reason}
		if state == Ejected {
			e.Until = m.until
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// JobFailing tells whether the job fails for its own sake: on several members that are sound.
func (f *Fleet) JobFailing(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobFailing(job)
}

// ClassFailing tells whether all jobs of the class fail, on several members that are sound.
func (f *Fleet) ClassFailing(class string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.classFailing(class)
}

// ForgetJob drops what is known of a job that is final.
func (f *Fleet) ForgetJob(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.jobs, job)
}

func (f *Fleet) member(now time.Time, id string) *member {
	m, ok := f.members[id]
	if !ok {
		m = &member{id: id, firstSign: now}
		f.members[id] = m
	}
	return m
}

func (f *Fleet) lock(now time.Time) {
	f.mu.Lock()
	if now.After(f.now) {
		f.now = now
	}
}
