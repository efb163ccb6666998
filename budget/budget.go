package budget

import "sync"

// Default values of the options.
const (
	// DefaultRatio is the number of retries that one success adds.
	DefaultRatio = 0.1
	// DefaultBurst is the maximum and the initial number of retries.
	DefaultBurst = 10

	unitsPerRetry = 1000
)

// Budget is a token bucket of retries. It is safe for concurrent use.
type Budget struct {
	// perSuccess, burst and balance are in thousandths of a retry, so that fractions are not lost by rounding.
	perSuccess int64
	burst      int64
	mu         sync.Mutex
	balance    int64
}

// Option configures a Budget.
type Option func(*Budget)

// Ratio sets the number of retries that one success adds.
func Ratio(r float64) Option { return func(b *Budget) { b.perSuccess = int64(r * unitsPerRetry) } }

// Burst sets the maximum number of retries.
func Burst(n int) Option { return func(b *Budget) { b.burst = int64(n) * unitsPerRetry } }

// New returns a full Budget.
func New(opts ...Option) *Budget {
	b := &Budget{perSuccess: DefaultRatio * unitsPerRetry, burst: DefaultBurst * unitsPerRetry}
	for _, f := range opts {
		f(b)
	}
	b.balance = b.burst
	return b
}

// Deposit adds the share of a retry for one success.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.balance = min(b.burst, b.balance+b.perSuccess)
	b.mu.Unlock()
}

// TryWithdraw takes one retry and reports whether one was available.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < unitsPerRetry {
		return false
	}
	b.balance -= unitsPerRetry
	return true
}
