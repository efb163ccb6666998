package crash

import "time"

// Verdict is what becomes of a task, from the mildest to the strictest.
type Verdict int

const (
	// Continue means that the task runs like any other.
	Continue Verdict = iota
	// Spread means that the task prefers workers with few other tasks.
	Spread
	// Isolate means that the task runs on a worker of its own, where a crash can only be its own or the worker's.
	Isolate
	// GiveUp means that the task is not started again.
	GiveUp
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"continue", "spread", "isolate", "giveUp"}[v] }

// The weights of a crash as evidence against a task, by what else may have caused it.
const (
	// weightAlone is the weight if nothing else ran on the worker and no other worker was lost at that moment.
	weightAlone = 4
	// weightShared is the weight if other tasks ran there, or other workers were lost at the same moment.
	weightShared = 2
	// weightRack is the weight if the whole rack was lost just when the task had been started there.
	weightRack = 1
	// lateDivisor divides the weights if the run had lasted for promptAge: a crash at any time may be the worker's own,
	// one at the start is less likely to be.
	lateDivisor = 2
	promptAge   = 250 * time.Millisecond
)

const (
	// isolateEvidence is the evidence from which a task is isolated: two prompt crashes beside others, or one alone.
	isolateEvidence = 3
	// giveUpEvidence is the evidence at which a task is given up: two prompt crashes alone, or one after two others.
	giveUpEvidence = 7
	// isolateCrashes is the number of crashes from which a task is isolated regardless of their weight. The users' rule
	// allows two more starts from then on.
	isolateCrashes = 3
	// maxStarts is the number of crashes and of further starts after isolateCrashes of them at which a task is given up
	// regardless of their weight, so that the rule holds.
	maxStarts = 5
	// minClearAge is the age of a run from which its worker's crash is no evidence: it was not the start that crashed
	// the worker. clearFactor times the estimate raises it for long tasks. A service meets crashes of workers all its
	// life, so it is cleared sooner.
	minClearAge     = 15 * time.Second
	clearFactor     = 2
	serviceClearAge = 5 * time.Second
)

// ClearAge returns the age of a run from which it is cleared of earlier crashes. estimate is the expected duration
// of the task; a service does not end by itself.
func ClearAge(estimate time.Duration, service bool) time.Duration {
	if service {
		return serviceClearAge
	}
	return max(minClearAge, clearFactor*estimate)
}

// Loss is the loss of a run together with its worker.
type Loss struct {
	// Crashed is true if the worker is known to have crashed, and false if it was silent until its lease had expired.
	Crashed bool
	// Alone is true if no other task can have run on the worker.
	Alone bool
	// Scope is what else was lost at that moment.
	Scope Scope
	// Age is how long the run is known to have lasted, ClearAge the age from which the crash is no evidence.
	Age, ClearAge time.Duration
}

// Record is what is held against one task. The zero value is a task that no worker has crashed under.
type Record struct {
	// Crashes counts the crashes under the task, less those of whole racks under runs that had lasted for a while, and
	// Losses the runs that ended with a worker of unknown fate.
	Crashes int `msgpack:"c"`
	Losses  int `msgpack:"l,omitempty"`
	// Evidence is the sum of the weights of the crashes.
	Evidence int `msgpack:"e"`
	// Starts counts the runs since the third crash that ended neither with a crash nor as done.
	Starts int `msgpack:"s,omitempty"`
}

// Add weighs the loss of a run. A crash of a run that has outlived ClearAge clears the task.
func (r *Record) Add(l Loss) {
	switch {
	case l.Age >= l.ClearAge:
		*r = Record{}
	case !l.Crashed:
		r.Losses++
	case l.Scope == WholeRack && l.Age >= promptAge:
	default:
		r.Crashes++
		r.Evidence += l.weight()
	}
}

// AddEnd counts a run that a worker reports as ended but not as done: the rule limits starts, whatever comes of them.
func (r *Record) AddEnd() {
	if r.Crashes >= isolateCrashes {
		r.Starts++
	}
}

// Resolve counts a loss that turns out to have been a crash. What else was lost at that moment is not known any more.
func (r *Record) Resolve() {
	if r.Losses > 0 {
		r.Losses--
		r.Crashes++
		r.Evidence += weightShared / lateDivisor
	}
}

func (l *Loss) weight() int {
	weight := weightShared
	switch {
	case l.Scope == WholeRack:
		return weightRack
	case l.Alone && l.Scope == SingleWorker:
		weight = weightAlone
	}
	if l.Age >= promptAge {
		weight /= lateDivisor
	}
	return weight
}

// Verdict returns what becomes of the task.
func (r Record) Verdict() Verdict {
	switch {
	case r.Evidence >= giveUpEvidence, r.Crashes >= isolateCrashes && r.Crashes+r.Losses+r.Starts >= maxStarts:
		return GiveUp
	case r.Evidence+r.Losses >= isolateEvidence, r.Crashes >= isolateCrashes:
		return Isolate
	case r.Evidence+r.Losses > 0:
		return Spread
	}
	return Continue
}
