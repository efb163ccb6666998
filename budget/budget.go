package budget

import "sync"

// Defaults.
const (
	// DefaultRatio is how much of a retry one success earns.
	DefaultRatio = 0.1
	// DefaultBurst is the most retries that can be saved up, and what a new Budget starts with.
	DefaultBurst = 10
)

// Budget is a bucket of retries; it is safe for concurrent use.
type Budget struct {
	ratio float64
	burst float64
	mu    sync.Mutex
	have  float64
}

// Option sets up a Budget.
type Option func(*Budget)

// Ratio sets how much of a retry one success earns.
func Ratio(r float64) Option { return func(b *Budget) { b.ratio = r } }

// Burst sets the most retries that can be saved up.
func Burst(n int) Option { return func(b *Budget) { b.burst = float64(n) } }

// New returns a full Budget.
func New(opts ...Option) *Budget {
	b := &Budget{ratio: DefaultRatio, burst: DefaultBurst}
	for _, f := range opts {
		f(b)
	}
	b.have = b.burst
	return b
}

// Earn notes a success.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.have = min(b.burst, b.have+b.ratio)
	b.mu.Unlock()
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
