package presence

import "time"

const (
	// clockDriftFactor allows for a worker clock that runs 2% slow, with a safety factor of two.
	clockDriftFactor = 0.04
	// expiryMargin allows for a worker that ends its runs a little after their lease has expired.
	expiryMargin = 300 * time.Millisecond
)

// MaxSpan returns how long a span of a worker's clock may last.
func MaxSpan(onClock time.Duration) time.Duration {
	return onClock + time.Duration(clockDriftFactor*float64(onClock)) + expiryMargin
}
