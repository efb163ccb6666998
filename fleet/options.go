package fleet

import "time"

// Defaults.
const (
	// DefaultFailures is how many failures, with no success between them, eject a member.
	DefaultFailures = 3
	// DefaultFailureWindow is how long a failure counts.
	DefaultFailureWindow = 10 * time.Minute
	// DefaultMissed is how many heartbeats in a row fail before a member gets nothing new.
	DefaultMissed = 2
	// DefaultProbes is how many tasks, one at a time, must succeed before a member is open again.
	DefaultProbes = 3
	// DefaultBackOff and DefaultMaxBackOff bound the time between ejection and the first probe.
	DefaultBackOff    = 10 * time.Second
	DefaultMaxBackOff = 5 * time.Minute
	// DefaultShare is the part of the fleet that may be ejected at once, as one in so many.
	DefaultShare = 3
	// DefaultWitnesses is how many sound members a job must fail on to be a failing job.
	DefaultWitnesses = 3
	// DefaultKeep is how long a member that is no longer listed is remembered after its last sign.
	DefaultKeep = 5 * time.Minute
	// MaxWork bounds how many jobs are remembered, and how many classes.
	MaxWork = 1 << 16

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
	Failures      int
	FailureWindow time.Duration
	Missed        int
	Probes        int
	BackOff       time.Duration
	MaxBackOff    time.Duration
	Share         int
	Witnesses     int
	Keep          time.Duration
	ListLag       time.Duration
}

// Option sets up a Fleet.
type Option func(*Options)

// Failures sets how many failures, with no success between them, eject a member.
func Failures(n int) Option { return func(o *Options) { o.Failures = n } }

// FailureWindow sets how long a failure counts.
func FailureWindow(d time.Duration) Option { return func(o *Options) { o.FailureWindow = d } }

// Missed sets how many heartbeats in a row fail before a member gets nothing new.
func Missed(n int) Option { return func(o *Options) { o.Missed = n } }

// Probes sets how many tasks, one at a time, must succeed before a member is open again.
func Probes(n int) Option { return func(o *Options) { o.Probes = n } }

// BackOff sets the first and the longest time between ejection and probe.
func BackOff(first, longest time.Duration) Option {
	return func(o *Options) { o.BackOff, o.MaxBackOff = first, longest }
}

// Share sets the part of the fleet that may be ejected at once, as one in n.
func Share(n int) Option { return func(o *Options) { o.Share = n } }

// Witnesses sets how many sound members a job must fail on to be a failing job.
func Witnesses(n int) Option { return func(o *Options) { o.Witnesses = n } }

// Keep sets how long a member that is no longer listed is remembered after its last sign.
func Keep(d time.Duration) Option { return func(o *Options) { o.Keep = d } }

// ListLag sets how long a member that gives signs may be missing in the VM list at first.
func ListLag(d time.Duration) Option { return func(o *Options) { o.ListLag = d } }
