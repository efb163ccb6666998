package admission

// Memory decides which new works the owner has memory for. Its zero value admits all.
type Memory struct {
	// Limit is what all works together may hold, in bytes; zero means no limit.
	Limit int64

	held  int64
	bytes map[string]int64
}

// Held returns what all works hold, in bytes.
func (m *Memory) Held() int64 { return m.held }

const (
	// smallWorkBytes is the size of the largest work for which a part of the memory is reserved.
	smallWorkBytes = 16 << 10
	// smallWorkDivisor divides the memory to get that part.
	smallWorkDivisor = 4
)

// Admits reports whether there is memory for a new work. A work alone is always admitted, and large ones leave a part of the
// memory to small ones.
func (m *Memory) Admits(bytes int64) bool {
	limit := m.Limit
	if bytes > smallWorkBytes {
		limit -= limit / smallWorkDivisor
	}
	return m.Limit == 0 || m.held == 0 || m.held+bytes <= limit
}

// Add records that a work holds memory until Remove, whether there is memory for it or not.
func (m *Memory) Add(id string, bytes int64) {
	if m.bytes == nil {
		m.bytes = make(map[string]int64)
	}
	m.held += bytes - m.bytes[id]
	m.bytes[id] = bytes
}

// Remove records that a work holds no memory any more.
func (m *Memory) Remove(id string) {
	m.held -= m.bytes[id]
	delete(m.bytes, id)
}
