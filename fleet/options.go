package fleet

import "time"

// Defaults.
const (
	// DefaultFailureThreshold is how many failures, with no success between them, eject a member.
	DefaultFailureThreshold = 3
	// DefaultFailureWindow is how long a failure counts.
	DefaultFailureWindow = 10 * time.Minute
	// DefaultMissedThreshold is how many heartbeats in a row fail before a member gets nothing new.
	DefaultMissedThreshold = 2
	// DefaultRequiredProbes is how many tasks, one at a time, must succeed before a member is open again.
	DefaultRequiredProbes = 3
	// DefaultBackOff and DefaultMaxBackOff bound the time between ejection and the first probe.
	DefaultBackOff    = 10 * time.Second
	DefaultMaxBackOff = 5 * time.Minute
	// DefaultEjectionDivisor is the part of the fleet that may be ejected at once, as one in so many.
	DefaultEjectionDivisor = 3
	// DefaultMinHealthyFailures is how many sound members a job must fail on to be a failing job.
	DefaultMinHealthyFailures = 3
	// DefaultRetention is how long a member that is no longer listed is remembered after its last sign.
	DefaultRetention = 5 * time.Minute
	// MaxTracked bounds how many jobs are remembered, and how many classes.
	MaxTracked = 1 << 16

	// DefaultListLag is how long a member that gives signs may be missing in the VM list at first.
	DefaultListLag = 30 * time.Second

	maxPlaces = 8
	// workKeep is how long work is remembered that nobody forgets.
	workKeep = time.Hour
	// minMass is the least number of members whose vanishing at once may be the list's own fault.
	minMass = 3
)

// Options are what a Fleet is made of.
type Options struct {
	FailureThreshold   int
	FailureWindow      time.Duration
	MissedThreshold    int
	RequiredProbes     int
	BackOff            time.Duration
	MaxBackOff         time.Duration
	EjectionDivisor    int
	MinHealthyFailures int
	Retention          time.Duration
	ListLag            time.Duration
}

// Option sets up a Fleet.
type Option func(*Options)

// FailureThreshold sets how many failures, with no success between them, eject a member.
func FailureThreshold(n int) Option { return func(o *Options) { o.FailureThreshold = n } }

// FailureWindow sets how long a failure counts.
func FailureWindow(d time.Duration) Option { return func(o *Options) { o.FailureWindow = d } }

// MissedThreshold sets how many heartbeats in a row fail before a member gets nothing new.
func MissedThreshold(n int) Option { return func(o *Options) { o.MissedThreshold = n } }

// RequiredProbes sets how many tasks, one at a time, must succeed before a member is open again.
func RequiredProbes(n int) Option { return func(o *Options) { o.RequiredProbes = n } }

// BackOff sets the first and the longest time between ejection and probe.
func BackOff(first, longest time.Duration) Option {
	return func(o *Options) { o.BackOff, o.MaxBackOff = first, longest }
}

// EjectionDivisor sets the part of the fleet that may be ejected at once, as one in n.
func EjectionDivisor(n int) Option { return func(o *Options) { o.EjectionDivisor = n } }

// MinHealthyFailures sets how many sound members a job must fail on to be a failing job.
func MinHealthyFailures(n int) Option { return func(o *Options) { o.MinHealthyFailures = n } }

// Retention sets how long a member that is no longer listed is remembered after its last sign.
func Retention(d time.Duration) Option { return func(o *Options) { o.Retention = d } }

// ListLag sets how long a member that gives signs may be missing in the VM list at first.
func ListLag(d time.Duration) Option { return func(o *Options) { o.ListLag = d } }
