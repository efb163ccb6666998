package worker

import (
	"time"

	"turmericgap/worker"
)

// attemptStates is a bounded map of the newest attempts and their states.
type attemptStates struct {
	limit     int
	retention time.Duration
	states    map[string]worker.State
	order     []stateEntry // oldest first
}

type stateEntry struct {
	id string
	at time.Time
}

// newAttemptStates returns a map that evicts the oldest entries beyond the limit, and entries older than the
// retention unless it is zero.
func newAttemptStates(limit int, retention time.Duration) attemptStates {
	return attemptStates{limit: limit, retention: retention, states: make(map[string]worker.State)}
}

func (m *attemptStates) add(id string, s worker.State, now time.Time) {
	if _, ok := m.states[id]; !ok {
		m.order = append(m.order, stateEntry{id, now})
	}
	m.states[id] = s
	for len(m.order) > m.limit || (m.retention > 0 && now.Sub(m.order[0].at) > m.retention) {
		delete(m.states, m.order[0].id)
		m.order = m.order[1:]
	}
}
