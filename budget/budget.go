package budget

import "sync"

// Defaults.
const (
	// DefaultRatio is how much of a retry one success earns.
	DefaultRatio = 0.1
	// DefaultBurst is the most retries that can be saved up, and what a new Budget starts with.
	DefaultBurst = 10

	one = 1000
)

// Budget is a bucket of retries; it is safe for concurrent use.
type Budget struct {
	// earn, burst and have count thousandths of a retry, so that no success is lost in rounding.
	earn  int64
	burst int64
	mu    sync.Mutex
	have  int64
}

// Option sets up a Budget.
type Option func(*Budget)

// Ratio sets how much of a retry one success earns.
func Ratio(r float64) Option { return func(b *Budget) { b.earn = int64(r * one) } }

// Burst sets the most retries that can be saved up.
func Burst(n int) Option { return func(b *Budget) { b.burst = int64(n) * one } }

// New returns a full Budget.
func New(opts ...Option) *Budget {
	b := &Budget{earn: DefaultRatio * one, burst: DefaultBurst * one}
	for _, f := range opts {
		f(b)
	}
	b.have = b.burst
	return b
}

// Deposit notes a success.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.have = min(b.burst, b.have+b.earn)
	b.mu.Unlock()
}

// TryWithdraw takes one retry and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < one {
		return false
	}
	b.have -= one
	return true
}
