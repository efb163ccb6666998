package fleet

import "time"

// Defaults.
const (
	// DefaultFailureThreshold is the number of consecutive failures that eject a member.
	DefaultFailureThreshold = 3
	// DefaultFailureWindow is how long a failure counts against a member.
	DefaultFailureWindow = 10 * time.Minute
	// DefaultMissedThreshold is the number of consecutive missed heartbeats after which a member gets no new work.
	DefaultMissedThreshold = 2
	// DefaultRequiredProbes is the number of probe tasks that must succeed before a member is Healthy again.
	DefaultRequiredProbes = 3
	// DefaultBackoff and DefaultMaxBackoff are the first and the longest time between ejection and probing.
	DefaultBackoff    = 10 * time.Second
	DefaultMaxBackoff = 5 * time.Minute
	// DefaultEjectionDivisor is the default for EjectionDivisor: a third of the fleet may be ejected at a time.
	DefaultEjectionDivisor = 3
	// DefaultMinHealthyFailures is the number of otherwise healthy members on which a job or class must fail to be
	// considered at fault itself.
	DefaultMinHealthyFailures = 3
	// DefaultRetention is how long the state of a member that is no longer listed is kept after its last contact.
	DefaultRetention = 5 * time.Minute
	// MaxTracked limits how many jobs, and how many classes, have a history.
	MaxTracked = 1 << 16

	// DefaultListLag is how long a new member that answers may be missing from the VM list.
	DefaultListLag = 30 * time.Second

	maxMembersPerHistory = 8
	// historyRetention is how long a history is kept after its last update. Callers may not call ForgetJob for every
	// ended job.
	historyRetention = time.Hour
	// minMassDelisting is the minimum number of members that must disappear at once for the list to be distrusted.
	minMassDelisting = 3
)

// Options configures a Fleet.
type Options struct {
	FailureThreshold   int
	FailureWindow      time.Duration
	MissedThreshold    int
	RequiredProbes     int
	Backoff            time.Duration
	MaxBackoff         time.Duration
	EjectionDivisor    int
	MinHealthyFailures int
	Retention          time.Duration
	ListLag            time.Duration
}

// Option sets a field of Options.
type Option func(*Options)

// FailureThreshold sets the number of consecutive failures that eject a member.
func FailureThreshold(n int) Option { return func(o *Options) { o.FailureThreshold = n } }

// FailureWindow sets how long a failure counts against a member.
func FailureWindow(d time.Duration) Option { return func(o *Options) { o.FailureWindow = d } }

// MissedThreshold sets the number of consecutive missed heartbeats after which a member gets no new work.
func MissedThreshold(n int) Option { return func(o *Options) { o.MissedThreshold = n } }

// RequiredProbes sets the number of probe tasks that must succeed before a member is Healthy again.
func RequiredProbes(n int) Option { return func(o *Options) { o.RequiredProbes = n } }

// Backoff sets the first and the longest time between ejection and probing.
func Backoff(first, longest time.Duration) Option {
	return func(o *Options) { o.Backoff, o.MaxBackoff = first, longest }
}

// EjectionDivisor limits the members that are ejected at the same time to one in n of the fleet, but at least one.
func EjectionDivisor(n int) Option { return func(o *Options) { o.EjectionDivisor = n } }

// MinHealthyFailures sets the number of otherwise healthy members on which a job or class must fail to be considered
// at fault itself.
func MinHealthyFailures(n int) Option { return func(o *Options) { o.MinHealthyFailures = n } }

// Retention sets how long the state of a member that is no longer listed is kept after its last contact.
func Retention(d time.Duration) Option { return func(o *Options) { o.Retention = d } }

// ListLag sets how long a new member that answers may be missing from the VM list.
func ListLag(d time.Duration) Option { return func(o *Options) { o.ListLag = d } }
