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
	// Unknown means that the member is listed but has not answered yet.
	Unknown State = "unknown"
	// Healthy means that the member answers and no failures count against it.
	Healthy State = "open"
	// Suspect means that the member's heartbeats fail, or that its tasks fail but the ejection limit is reached.
	Suspect State = "suspect"
	// Ejected means that the member gets nothing until its backoff has passed.
	Ejected State = "ejected"
	// Probing means that the member gets a limited number of tasks until enough of them have succeeded.
	Probing State = "probing"
	// Draining means that the member is leaving: its tasks keep running and it gets no new ones.
	Draining State = "draining"
	// Gone means that the member is no longer listed. Its tasks may still run until its lease has expired, which
	// the owner tracks.
	Gone State = "gone"
)

// Decision says whether a member may get new work.
type Decision int

// The decisions.
const (
	// Deny allows no new work.
	Deny Decision = iota
	// AllowProbes allows up to Admission.Limit tasks at a time.
	AllowProbes
	// Allow allows any work that fits.
	Allow
)

// Admission is a decision with its reason, which is empty for Allow.
type Admission struct {
	Decision Decision
	// Limit is the maximum number of concurrent tasks under AllowProbes; it doubles with each successful probe.
	Limit  int
	Reason string
}

// ListEntry is a member's entry in the VM list.
type ListEntry struct {
	ID      string
	Zone    string
	Leaving bool
}

// Ejection describes, for operators, a member that is restricted or gets no new work.
type Ejection struct {
	ID    string    `json:"id"`
	Zone  string    `json:"zone,omitempty"`
	State State     `json:"state"`
	Since time.Time `json:"since"`
	// Until is when probing of an ejected member begins; zero in other states.
	Until  time.Time `json:"until,omitzero"`
	Reason string    `json:"reason"`
}

// Fleet tracks the health of all members; it is safe for concurrent use.
type Fleet struct {
	opts Options
	mu   sync.Mutex
	// latest is the latest time that a caller passed in.
	latest  time.Time
	members map[string]*member
	jobs    map[string]*outcomeHistory
	classes map[string]*outcomeHistory
}

// New returns a fleet without members.
func New(opts ...Option) *Fleet {
	o := Options{
		FailureThreshold: DefaultFailureThreshold, FailureWindow: DefaultFailureWindow, MissedThreshold: DefaultMissedThreshold,
		RequiredProbes: DefaultRequiredProbes, Backoff: DefaultBackoff, MaxBackoff: DefaultMaxBackoff,
		EjectionDivisor: DefaultEjectionDivisor, MinHealthyFailures: DefaultMinHealthyFailures,
		Retention: DefaultRetention, ListLag: DefaultListLag,
	}
	for _, f := range opts {
		f(&o)
	}
	return &Fleet{
		opts: o, members: make(map[string]*member),
		jobs: make(map[string]*outcomeHistory), classes: make(map[string]*outcomeHistory),
	}
}

// RecordHeartbeat records that the member answered a heartbeat.
func (f *Fleet) RecordHeartbeat(now time.Time, id string) {
	f.lockAt(now)
	defer f.mu.Unlock()
	m := f.member(now, id)
	m.markAlive(now)
}

// RecordMissedHeartbeat records that a heartbeat to the member failed.
func (f *Fleet) RecordMissedHeartbeat(now time.Time, id string) {
	f.lockAt(now)
	defer f.mu.Unlock()
	m := f.member(now, id)
	m.missed++
	if m.missed == f.opts.MissedThreshold {
		m.missedSince = now
	}
}

// RecordOutcome records whether a task or request succeeded on the member. An empty job stands for a job of a
// single task or request, for which no history is kept. Tasks and requests that were cancelled, stopped or never
// sent must not be recorded.
func (f *Fleet) RecordOutcome(now time.Time, id, job, class string, ok bool) {
	f.lockAt(now)
	defer f.mu.Unlock()
	m := f.member(now, id)
	j, c := f.history(f.jobs, job, now), f.history(f.classes, class, now)
	if ok {
		m.markAlive(now)
		j.recordSuccess(id)
		c.recordSuccess(id)
		f.applySuccess(now, m)
		return
	}
	j.recordFailure(id)
	c.recordFailure(id)
	f.applyFailure(now, m, failure{job: job, class: class, at: now})
	f.clearFailures(now, job, class)
}

// UpdateList applies a new reading of the VM list.
func (f *Fleet) UpdateList(now time.Time, l []ListEntry) {
	f.lockAt(now)
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(l))
	for _, e := range l {
		listed[e.ID] = true
		m := f.member(now, e.ID)
		m.zone, m.listed, m.delisted = e.Zone, true, false
		m.setLeaving(now, e.Leaving)
	}
	f.markDelisted(now, listed)
}

// markDelisted marks the members that are missing from the list, and removes those without recent contact.
//
// A VM list that has restarted may show only a fraction of the cell; trusting it would leave no worker for new
// work. If more than half of the members disappear at once without having been marked as leaving, a member that
// is heard from afterwards stays in use. A member that is really gone is not heard from again.
func (f *Fleet) markDelisted(now time.Time, listed map[string]bool) {
	var missing []*member
	announced := 0
	for _, m := range f.members {
		known := m.listed || now.Sub(m.firstContact) > f.opts.ListLag
		if listed[m.id] || m.delisted || !known {
			continue
		}
		missing = append(missing, m)
		if m.leaving {
			announced++
		}
	}
	unannounced := len(missing) - announced
	distrusted := unannounced >= minMassDelisting && unannounced > len(listed)
	for _, m := range missing {
		m.delisted, m.delistedAt, m.listDistrusted = true, now, distrusted && !m.leaving
	}
	maps.DeleteFunc(f.members, func(id string, m *member) bool {
		return !listed[id] && now.Sub(m.lastContact()) > f.opts.Retention
	})
	f.trimHistories(now)
}

// Admission returns whether the member may get new work now.
func (f *Fleet) Admission(now time.Time, id string) Admission {
	f.lockAt(now)
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
		return Admission{Decision: AllowProbes, Limit: 1 << m.probeSuccesses, Reason: reason}
	case state == Unknown, state == Suspect && m.missed < f.opts.MissedThreshold:
		return Admission{Decision: AllowProbes, Limit: 1, Reason: reason}
	default:
		return Admission{Decision: Deny, Reason: reason}
	}
}

// State returns the member's state.
func (f *Fleet) State(now time.Time, id string) State {
	f.lockAt(now)
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return Gone
	}
	state, _ := f.state(now, m)
	return state
}

// Ejections lists the members that are neither Healthy nor Unknown, ordered by ID, as of the latest time passed in.
func (f *Fleet) Ejections() []Ejection {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.latest
	var out []Ejection
	for _, m := range f.members {
		state, reason := f.state(now, m)
		if state == Healthy || state == Unknown {
			continue
		}
		e := Ejection{ID: m.id, Zone: m.zone, State: state, Since: m.since(state), Reason: reason}
		if state == Ejected {
			e.Until = m.probeAt
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// JobFailing reports whether the job itself is at fault: it fails on several members that are otherwise healthy.
func (f *Fleet) JobFailing(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.jobFailing(job)
}

// ClassFailing reports whether the class itself is at fault: all its jobs fail, on several members that are
// otherwise healthy.
func (f *Fleet) ClassFailing(class string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.classFailing(class)
}

// ForgetJob drops the history of a job that has ended.
func (f *Fleet) ForgetJob(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.jobs, job)
}

// member returns the member with the ID and adds it if it is new.
func (f *Fleet) member(now time.Time, id string) *member {
	m, ok := f.members[id]
	if !ok {
		m = &member{id: id, firstContact: now}
		f.members[id] = m
	}
	return m
}

// lockAt locks the fleet and advances its latest time.
func (f *Fleet) lockAt(now time.Time) {
	f.mu.Lock()
	if now.After(f.latest) {
		f.latest = now
	}
}
