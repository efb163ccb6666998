package day

import (
	"maps"
	"slices"
	"time"
)

// Load is the load of the cell's owner in a window of two seconds that starts After milliseconds from the first log
// line. Each figure is the worst one logged in the window.
type Load struct {
	After float64 `json:"after"`
	// Lag is the delay of the owner's loop, Pass the duration of a scheduling pass, both in milliseconds.
	Lag  float64 `json:"lag"`
	Pass float64 `json:"pass"`
	// Questions counts the pending permit requests, Usable the workers that accept tasks, Workers all workers.
	WaitingSteps int `json:"waitingSteps"`
	Questions    int `json:"questions"`
	Usable       int `json:"usable"`
	Workers      int `json:"workers"`
}

// addLoad processes a line about the state of the cell.
func (d *Analyzer) addLoad(l *line) {
	now := Load{Lag: l.Lag, Pass: l.Pass, WaitingSteps: l.WaitingSteps, Questions: l.Questions, Usable: l.Usable, Workers: l.Workers}
	at := l.Time.Truncate(time.Second)
	if known := d.loads[at]; known != nil {
		known.mergeWorst(&now)
		return
	}
	d.loads[at] = &now
}

// mergeWorst keeps the worse value of each figure.
func (o *Load) mergeWorst(other *Load) {
	o.Lag = max(o.Lag, other.Lag)
	o.Pass = max(o.Pass, other.Pass)
	o.WaitingSteps = max(o.WaitingSteps, other.WaitingSteps)
	o.Questions = max(o.Questions, other.Questions)
	o.Usable = min(o.Usable, other.Usable)
	o.Workers = max(o.Workers, other.Workers)
}

// ownerLoads returns the load of each window that has a log line.
func (d *Analyzer) ownerLoads() []Load {
	byWindow := make(map[int]*Load)
	for at, o := range d.loads {
		i := d.windowIndex(at)
		if byWindow[i] == nil {
			first := *o
			first.After = millis(time.Duration(i) * windowLength)
			byWindow[i] = &first
		}
		byWindow[i].mergeWorst(o)
	}
	var out []Load
	for _, i := range slices.Sorted(maps.Keys(byWindow)) {
		out = append(out, *byWindow[i])
	}
	return out
}
