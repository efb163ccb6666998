package feature

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func stateOf(s *Status, name Name) State {
	for _, state := range s.List() {
		if state.Name == name {
			return state
		}
	}
	return State{}
}

// Guards against a page that shows a feature as in effect since its latest use instead of since it came into effect, or
// that names an observation as the reason although an operator has decided.
func TestStatus(t *testing.T) {
	is := is.New(t)
	choices, err := Parse([]string{"preemption=on"})
	is.NoErr(err)
	var changes []State
	s := NewStatus(choices, func(state State) { changes = append(changes, state) })
	is.Equal(len(s.List()), len(Names()))
	is.Equal(stateOf(s, Speed), State{Name: Speed, Mode: Auto, Reason: Undecided})
	first := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	for i, c := range []struct {
		name          Name
		auto, enabled bool
		changes       int
	}{{Speed, false, false, 1}, {Speed, true, true, 2}, {Speed, true, true, 2}, {Preemption, false, true, 3}} {
		is.Equal(s.Decide(c.name, c.auto, Observed, first.Add(time.Duration(i)*time.Second)), c.enabled)
		is.Equal(len(changes), c.changes)
	}
	is.Equal(stateOf(s, Speed), State{Name: Speed, Mode: Auto, Effective: true, Reason: Observed, Since: first.Add(time.Second)})
	is.Equal(stateOf(s, Preemption), State{Name: Preemption, Mode: On, Effective: true, Reason: Operator, Since: first.Add(3 * time.Second)})
	s.RecordSpeeds(map[string]float64{"b": 1.6, "a": 1.6, "c": 0.6})
	is.Equal(s.Report().Speeds, []WorkerSpeed{{"c", 0.6}, {"a", 1.6}, {"b", 1.6}})
}
