package day

import (
	"maps"
	"slices"
	"time"
)

// Load is what the owner of the cell had to do within two seconds, After so long after the first line. Of its lines
// in that time each figure is the worst.
type Load struct {
	After float64 `json:"after"`
	// Lag is how late the owner's loop was, Pass how long a pass took.
	Lag  float64 `json:"lag"`
	Pass float64 `json:"pass"`
	// WaitingSteps waited, Questions were under way, and Usable of Workers could be used.
	WaitingSteps int `json:"waitingSteps"`
	Questions    int `json:"questions"`
	Usable       int `json:"usable"`
	Workers      int `json:"workers"`
}

// load takes in a line on the state of the cell.
func (d *Analyzer) load(l *line) {
	now := Load{Lag: l.Lag, Pass: l.Pass, WaitingSteps: l.WaitingSteps, Questions: l.Questions, Usable: l.Usable, Workers: l.Workers}
	at := l.Time.Truncate(time.Second)
	if known := d.loads[at]; known != nil {
		known.worst(&now)
		return
	}
	d.loads[at] = &now
}

// worst keeps the worst of each figure.
func (o *Load) worst(other *Load) {
	o.Lag = max(o.Lag, other.Lag)
	o.Pass = max(o.Pass, other.Pass)
	o.WaitingSteps = max(o.WaitingSteps, other.WaitingSteps)
	o.Questions = max(o.Questions, other.Questions)
	o.Usable = min(o.Usable, other.Usable)
	o.Workers = max(o.Workers, other.Workers)
}

// ownerLoads gives the load by windows, those without a line left out.
func (d *Analyzer) ownerLoads() []Load {
	byWindow := make(map[int]*Load)
	for at, o := range d.loads {
		i := d.window(at)
		if byWindow[i] == nil {
			first := *o
			first.After = millis(time.Duration(i) * windowLength)
			byWindow[i] = &first
		}
		byWindow[i].worst(o)
	}
	var out []Load
	for _, i := range slices.Sorted(maps.Keys(byWindow)) {
		out = append(out, *byWindow[i])
	}
	return out
}
