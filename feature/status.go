package feature

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Reason is why a feature is in effect or not.
type Reason string

// The reasons.
const (
	// Settings stands for the settings of the deployment and the configuration.
	Settings Reason = "settings"
	// Observed stands for what was observed of works and workers.
	Observed Reason = "observed"
	// Operator stands for the operator's choice of On or Off.
	Operator Reason = "operator"
	// Undecided means that the feature has not come up yet.
	Undecided Reason = "undecided"
)

// State is the state of a feature.
type State struct {
	Name Name `json:"name" msgpack:"n"`
	// Mode is the operator's choice.
	Mode Mode `json:"mode" msgpack:"m"`
	// Effective is true while the feature is in effect, for the given reason and since the given time. The time is zero
	// if the feature is undecided.
	Effective bool      `json:"effective" msgpack:"e"`
	Reason    Reason    `json:"reason" msgpack:"r"`
	Since     time.Time `json:"since,omitzero" msgpack:"s"`
}

// WorkerSpeed is the learned speed of a worker.
type WorkerSpeed struct {
	Worker string `json:"worker" msgpack:"w"`
	// Factor is how many times longer tasks run there than on a typical worker.
	Factor float64 `json:"factor" msgpack:"f"`
}

// Report is the state of all features, and the learned speeds of workers as far as they are known.
type Report struct {
	Features []State `json:"features" msgpack:"f"`
	// Speeds lists the fastest workers first.
	Speeds []WorkerSpeed `json:"speeds,omitempty" msgpack:"s"`
}

// Status holds the state of the features under one owner of the cell. It is safe for concurrent use.
type Status struct {
	choices  *Set
	onChange func(State)
	mu       sync.Mutex
	states   map[Name]State
	speeds   []WorkerSpeed
}

// NewStatus returns a Status in which all features are undecided, with the operators' choices. onChange is called when a
// feature has come into effect or is no longer in effect, or if the reason has changed.
func NewStatus(choices *Set, onChange func(State)) *Status {
	return &Status{choices: choices, onChange: onChange, states: make(map[Name]State)}
}

// Decide returns whether a feature is in effect, given what Auto calls for and why, and records that.
func (s *Status) Decide(name Name, auto bool, why Reason, at time.Time) bool {
	enabled := s.choices.Enabled(name, auto)
	s.Record(name, enabled, why, at)
	return enabled
}

// Record records whether a feature is in effect, and why unless an operator has chosen On or Off.
func (s *Status) Record(name Name, effective bool, why Reason, at time.Time) {
	mode := s.choices.Mode(name)
	if mode != Auto {
		why = Operator
	}
	state := State{Name: name, Mode: mode, Effective: effective, Reason: why, Since: at}
	if s.replace(state) {
		s.onChange(state)
	}
}

// replace replaces the state of a feature if it differs from the former one.
func (s *Status) replace(state State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.states[state.Name]
	if known && old.Effective == state.Effective && old.Reason == state.Reason {
		return false
	}
	s.states[state.Name] = state
	return true
}

// RecordSpeeds records the learned factors of workers by ID, which replace those recorded before.
func (s *Status) RecordSpeeds(factors map[string]float64) {
	speeds := make([]WorkerSpeed, 0, len(factors))
	for worker, factor := range factors {
		speeds = append(speeds, WorkerSpeed{worker, factor})
	}
	slices.SortFunc(speeds, func(a, b WorkerSpeed) int {
		return cmp.Or(cmp.Compare(a.Factor, b.Factor), strings.Compare(a.Worker, b.Worker))
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speeds = speeds
}

// List returns the state of all features in alphabetical order.
func (s *Status) List() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]State, 0, len(Names()))
	for _, name := range Names() {
		state, known := s.states[name]
		if !known {
			state = State{Name: name, Mode: s.choices.Mode(name), Reason: Undecided}
		}
		out = append(out, state)
	}
	return out
}

// Report returns the state of all features and the learned speeds.
func (s *Status) Report() *Report {
	out := &Report{Features: s.List()}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Speeds = s.speeds
	return out
}
