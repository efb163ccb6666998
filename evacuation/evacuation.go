package evacuation

import (
	"cmp"
	"time"
)

const (
	// DefaultCheckpointPeriod is used if the platform's settings state none. The longer it is, the earlier runs stop.
	DefaultCheckpointPeriod = 2 * time.Second
	// DefaultRestoreTime is used if the platform's settings state none. The longer it is, the fewer runs stop.
	DefaultRestoreTime = 500 * time.Millisecond
	// endTime is how long the answer that lists an end takes to arrive. An end that is not listed counts as lost.
	endTime = 100 * time.Millisecond
	// orderTime is how long an order to stop takes to be decided, with the period of the decisions, and to arrive.
	orderTime = 200 * time.Millisecond
	// repeatTime is how long after an order without an answer, in addition to the time of a stop, it is sent again.
	repeatTime = 400 * time.Millisecond
	// restartTime is how long a task takes to start again where there is capacity: its intent becomes durable first.
	restartTime = 300 * time.Millisecond
	// detectionTime is how long after a worker has left its runs are known to be lost.
	detectionTime = time.Second
	// unlikely is the chance to end in time below which a run that cannot save its progress may be stopped.
	unlikely = 0.5
)

// Notice is a worker's announcement, with the bounds of its platform.
type Notice struct {
	// TimeLeft is the least time until the worker leaves; it is negative once that is over.
	TimeLeft time.Duration
	Bounds
}

// Bounds are what the platform states about the runs of all workers.
type Bounds struct {
	// StopTime is how long a worker takes to stop a run, CheckpointPeriod the time between two checkpoints of a run, and
	// RestoreTime how long a run takes to resume from one.
	StopTime, CheckpointPeriod, RestoreTime time.Duration
}

// WithDefaults returns the bounds with a stop time, and with defaults for what is unknown.
func (b Bounds) WithDefaults(stopTime time.Duration) Bounds {
	return Bounds{
		StopTime: stopTime, CheckpointPeriod: cmp.Or(b.CheckpointPeriod, DefaultCheckpointPeriod),
		RestoreTime: cmp.Or(b.RestoreTime, DefaultRestoreTime),
	}
}

// Run is a run on a worker that leaves.
type Run struct {
	// Step identifies the step of the task. It has Tasks tasks, which run together if it is a Gang.
	Step  any
	Tasks int
	Gang  bool
	// Sent is true if the order to start the run was sent.
	Sent bool
	// Remaining is how long the run still takes.
	Remaining Remaining
	// Saves is true if the run saves its progress, periodically and when it is stopped.
	Saves bool
	// Worked is how long the run has worked, Unsaved how long since its newest checkpoint.
	Worked, Unsaved time.Duration
	// Service is true if the task runs until it is cancelled. The step then has Unavailable other tasks that are not
	// available, and at most MaxUnavailable may be; zero means no limit.
	Service                     bool
	Unavailable, MaxUnavailable int
	// Useful is true if the result is still of use if the task starts again now.
	Useful bool
}

// Action is what to do with a run.
type Action string

// The actions.
const (
	Stay Action = "stay"
	Move Action = "move"
	// MoveLater means that the run is to be stopped at a later time, unless it has ended by then.
	MoveLater Action = "moveLater"
)

// Decision is what to do with a run, and why.
type Decision struct {
	Action Action
	// After is the time until a run with MoveLater is to be stopped.
	After time.Duration
	// Chance is the probability that the run ends before its worker leaves.
	Chance float64
}

// Decide returns what to do with each of the runs on a worker. Later calls with less time left supersede the decisions.
//
// A run that saves its progress works on until just enough time is left to stop it, as nothing new uses the capacity of
// the worker. One that does not save it starts over in any case, so it is stopped at once if that is quicker on average.
func Decide(n *Notice, runs []Run) []Decision {
	out := make([]Decision, len(runs))
	stopped := make(map[any]int) // services, by step
	for i := range runs {
		r := runs[i]
		if r.Gang {
			r = mergeMembers(runs, r.Step)
		}
		if !r.Service {
			out[i] = n.decide(&r)
			continue
		}
		away := r.Unavailable + stopped[r.Step] + 1
		if r.Gang {
			away = r.Tasks
		}
		out[i].Action = Stay
		if r.MaxUnavailable == 0 || away <= r.MaxUnavailable {
			out[i].Action = Move
			stopped[r.Step]++
		}
	}
	return out
}

// mergeMembers returns one run that stands for the members of a gang: it ends with the slowest one, and the newest
// checkpoint of any member applies to all.
func mergeMembers(runs []Run, step any) Run {
	var out Run
	for i := range runs {
		r := runs[i]
		if r.Step != step {
			continue
		}
		if !out.Gang {
			out = r
			continue
		}
		if r.Remaining.Known && (!out.Remaining.Known || r.Remaining.Min > out.Remaining.Min) {
			out.Remaining = r.Remaining
		}
		out.Sent = out.Sent || r.Sent
		out.Worked, out.Unsaved = max(out.Worked, r.Worked), min(out.Unsaved, r.Unsaved)
	}
	return out
}

// decide decides for a single run, or for a gang.
func (n *Notice) decide(r *Run) Decision {
	d := Decision{Action: Stay, Chance: r.Remaining.chance(n.TimeLeft - endTime)}
	if d.Chance == 1 || r.Gang && d.Chance > 0 {
		return d // a gang loses the work of all its members
	}
	if d.After = n.latestStop(r); d.After > 0 {
		d.Action = MoveLater
		return d
	}
	d.After = 0
	if !r.Saves && r.Sent {
		// Once the notice has ended, the worker may leave at any time, or much later.
		if d.Chance >= unlikely || !r.Useful || n.TimeLeft <= n.StopTime {
			return d
		}
	}
	if n.delayByStop(r) < time.Duration((1-d.Chance)*float64(n.delayByLoss(r))) {
		d.Action = Move
	}
	return d
}

// latestStop returns the time until a run that saves its progress must be stopped: early enough to repeat the order once,
// and right after a checkpoint is due, since a stop may fail to save what was done after it. Other runs gain nothing by
// waiting.
func (n *Notice) latestStop(r *Run) time.Duration {
	if !r.Saves || !r.Sent {
		return 0
	}
	latest := n.TimeLeft - 2*n.StopTime - repeatTime - orderTime - endTime
	if latest <= 0 || n.CheckpointPeriod <= 0 {
		return latest
	}
	return (latest + r.Unsaved).Truncate(n.CheckpointPeriod) - r.Unsaved
}

// delayByStop returns how much later a task ends if its run is stopped now.
func (n *Notice) delayByStop(r *Run) time.Duration {
	switch {
	case !r.Sent:
		return restartTime
	case r.Saves:
		return n.StopTime + restartTime + n.RestoreTime
	}
	return n.StopTime + restartTime + r.Worked
}

// delayByLoss returns how much later a task ends if its run is lost with its worker.
func (n *Notice) delayByLoss(r *Run) time.Duration {
	lost := max(n.TimeLeft, 0) + detectionTime + restartTime
	if r.Saves {
		return lost + r.Unsaved + n.RestoreTime
	}
	return lost + r.Worked
}
