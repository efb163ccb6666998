package worker

import (
	"time"

	"turmericgap/worker"
)

// memory remembers the newest attempts and in which state each ended.
type memory struct {
	most  int
	keep  time.Duration
	state map[string]worker.State
	order []remembered
}

type remembered struct {
	id string
	at time.Time
}

// newMemory remembers at most that many, each for keep; zero means until there are too many.
func newMemory(most int, keep time.Duration) memory {
	return memory{most: most, keep: keep, state: make(map[string]worker.State)}
}

func (m *memory) add(id string, s worker.State, now time.Time) {
	if _, ok := m.state[id]; !ok {
		m.order = append(m.order, remembered{id, now})
	}
	m.state[id] = s
	for len(m.order) > m.most || (m.keep > 0 && now.Sub(m.order[0].at) > m.keep) {
		delete(m.state, m.order[0].id)
		m.order = m.order[1:]
	}
}
