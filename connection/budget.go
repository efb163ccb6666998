package connection

import (
	"cmp"
	"container/list"
	"errors"
	"sync"

	"github.com/rcrowley/go-metrics"

	"turmericgap/metric"
)

const (
	// baseBytes is what an open connection takes: the stacks of its goroutines and its buffers.
	baseBytes = 16 << 10
	// smallBytes is up to how much more a connection may hold while large requests have taken their part of the budget.
	smallBytes = 32 << 10
	// reserveDivisor divides the budget to get the part that is reserved for small requests.
	reserveDivisor = 4
)

// ErrEvicted means that a connection was closed while it received a request, since others needed its memory.
var ErrEvicted = errors.New("the connection was closed in favor of others")

// ErrExhausted means that requests being served hold all memory of the budget.
var ErrExhausted = errors.New("requests being served hold all memory for callers")

// Limits are the limits of a Budget.
type Limits struct {
	// Connections is the number of connections that may be open at a time.
	Connections int
	// Bytes is the memory that all connections may hold together.
	Bytes int64
}

// Budget decides which connections may be open, and which of their requests may take memory. It knows no clock and no
// network.
type Budget struct {
	limits  Limits
	metrics budgetMetrics

	mu      sync.Mutex
	changed *sync.Cond
	count   int
	used    int64
	// leaving is what evicted connections still hold, evictable what those hold that may be evicted.
	leaving, evictable int64
	// idle and receiving hold the connections without a request and those that receive one. The first ones have stood
	// still for longest.
	idle, receiving list.List
	// moves counts the changes of these lists.
	moves int64
}

// NewBudget returns a budget. Its metrics are named "connection.", the name and what they count.
func NewBudget(name string, l Limits, m *metric.Registry) *Budget {
	b := &Budget{limits: l, metrics: newBudgetMetrics("connection."+name+".", m)}
	b.changed = sync.NewCond(&b.mu)
	b.metrics.connectionsLimit.Update(int64(l.Connections))
	b.metrics.bytesLimit.Update(l.Bytes)
	return b
}

// budgetMetrics show what connections hold, the limits, and which connections were evicted or found no memory.
type budgetMetrics struct {
	connections, connectionsLimit, bytes, bytesLimit metrics.Gauge
	evictedIdle, evictedReceiving, exhausted         metrics.Counter
}

func newBudgetMetrics(prefix string, m *metric.Registry) budgetMetrics {
	return budgetMetrics{
		connections: m.Gauge(prefix + "open"), connectionsLimit: m.Gauge(prefix + "openLimit"),
		bytes: m.Gauge(prefix + "bytes"), bytesLimit: m.Gauge(prefix + "bytesLimit"),
		evictedIdle: m.Counter(prefix + "evictedIdle"), evictedReceiving: m.Counter(prefix + "evictedReceiving"),
		exhausted: m.Counter(prefix + "exhausted"),
	}
}

// Holder is what one connection holds of a Budget.
type Holder struct {
	budget *Budget
	// evict closes the connection. It must neither block nor call the budget.
	evict func()

	held            int64
	place           *list.Element
	in              *list.List
	movedAt         int64
	evicted, closed bool
}

// Open admits a connection. At the limit it evicts another one, or waits until one is closed or no longer served.
func (b *Budget) Open(evict func()) *Holder {
	h := &Holder{budget: b, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.count >= b.limits.Connections || b.used+baseBytes > b.limits.Bytes {
		if b.leaving == 0 && b.evictFirst(b.stillest(), nil) {
			continue
		}
		b.changed.Wait()
	}
	b.count++
	b.hold(h, baseBytes)
	h.move(&b.idle)
	return h
}

// Grow takes memory for the request of a connection. If there is none left, it evicts connections that receive requests,
// then idle ones, and waits until they have returned their memory.
func (h *Holder) Grow(n int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limits.Bytes
	if h.held+n > baseBytes+smallBytes {
		limit -= limit / reserveDivisor
	}
	for {
		switch {
		case h.evicted || h.closed:
			return ErrEvicted
		case b.used+n <= limit:
			b.hold(h, n)
			return nil
		case b.used-b.leaving+n <= limit:
			b.changed.Wait()
		case b.used-b.leaving-b.evictableBeside(h)+n > limit:
			b.metrics.exhausted.Inc(1)
			return ErrExhausted
		case !b.evictFirst(&b.receiving, h):
			b.evictFirst(&b.idle, h)
		}
	}
}

// Shrink returns memory that Grow has taken.
func (h *Holder) Shrink(n int64) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hold(h, -n)
}

// Receiving records that the connection has received a substantial part of a request. Until it is served it may be evicted.
func (h *Holder) Receiving() { h.moveLocked(func(b *Budget) *list.List { return &b.receiving }) }

// Serve records that the connection's request is served, so that it is not evicted. It returns ErrEvicted if that was
// already decided.
func (h *Holder) Serve() error {
	h.moveLocked(func(*Budget) *list.List { return nil })
	if h.Evicted() {
		return ErrEvicted
	}
	return nil
}

// Idle records that the connection has no request, and returns all memory of the last one.
func (h *Holder) Idle() {
	if h == nil {
		return
	}
	h.moveLocked(func(b *Budget) *list.List { return &b.idle })
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.hold(h, baseBytes-h.held)
}

// Evicted reports whether the connection was closed in favor of others.
func (h *Holder) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Close returns all that the connection holds.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.move(nil)
	b.count--
	b.hold(h, -h.held)
}

func (h *Holder) moveLocked(to func(*Budget) *list.List) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.evicted && !h.closed {
		h.move(to(h.budget))
		h.budget.changed.Broadcast()
	}
}

// move puts the connection at the end of a list, or into none.
func (h *Holder) move(to *list.List) {
	if h.in != nil {
		h.in.Remove(h.place)
		h.budget.evictable -= h.held
	}
	h.budget.moves++
	h.movedAt = h.budget.moves
	if h.in = to; to != nil {
		h.place = to.PushBack(h)
		h.budget.evictable += h.held
	}
}

// evictableBeside returns what the connections hold that may be evicted, but for one.
func (b *Budget) evictableBeside(h *Holder) int64 {
	if h.in == nil {
		return b.evictable
	}
	return b.evictable - h.held
}

// stillest returns the list whose first connection has stood still for longest.
func (b *Budget) stillest() *list.List {
	idle, receiving := b.idle.Front(), b.receiving.Front()
	if idle == nil || receiving != nil && receiving.Value.(*Holder).movedAt < idle.Value.(*Holder).movedAt {
		return &b.receiving
	}
	return &b.idle
}

// evictFirst evicts the first connection of a list but for the one given, and reports whether there was one.
func (b *Budget) evictFirst(l *list.List, except *Holder) bool {
	e := l.Front()
	if e != nil && e.Value == except {
		e = e.Next()
	}
	if e == nil {
		return false
	}
	h := e.Value.(*Holder)
	if l == &b.idle {
		b.metrics.evictedIdle.Inc(1)
	} else {
		b.metrics.evictedReceiving.Inc(1)
	}
	h.move(nil)
	h.evicted = true
	b.leaving += h.held
	h.evict()
	b.changed.Broadcast()
	return true
}

// hold changes what a connection holds.
func (b *Budget) hold(h *Holder, n int64) {
	b.used += n
	h.held += n
	if h.in != nil {
		b.evictable += n
	}
	if h.evicted {
		b.leaving += n
	}
	b.metrics.connections.Update(int64(b.count))
	b.metrics.bytes.Update(b.used)
	b.changed.Broadcast()
}

// DefaultMemoryMB is the memory of a process whose settings name none, in MB.
const DefaultMemoryMB = 256

// DefaultFiles is how many files a process may open whose settings do not say.
const DefaultFiles = 4096

const (
	// fileReserve of the files of a process are for other files than connections.
	fileReserve = 200
	// callersDivisor divides memory and files of a process to get what callers may hold.
	callersDivisor = 4
)

// LimitsFor returns the limits of callers of a process that may use so much memory, in MB, and open so many files. Zero
// stands for the defaults.
func LimitsFor(memoryMB, files int) Limits {
	return Limits{
		Connections: max((cmp.Or(files, DefaultFiles)-fileReserve)/callersDivisor, 1),
		Bytes:       int64(cmp.Or(memoryMB, DefaultMemoryMB)) << 20 / callersDivisor,
	}
}
