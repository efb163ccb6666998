package day

import (
	"cmp"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Group is works of one queue; Zone or Class is empty where it holds all of them.
type Group struct {
	Queue    string          `json:"queue"`
	Zone     string          `json:"zone,omitempty"`
	Class    string          `json:"class,omitempty"`
	Works    int             `json:"works"`
	Outcomes map[Outcome]int `json:"fates"`
	// Owed are those that ended or were lost, but for the cancelled; Served is the share of them that was done.
	Owed   int     `json:"owed"`
	Served float64 `json:"served"`
	// Done is the share of all its works but the cancelled that were done before they were worth nothing; one that
	// is open counts as not done. Margin is that share beside its queue's, 0 where none of the queue was done.
	Done   float64     `json:"done"`
	Margin float64     `json:"margin"`
	Stages []StageTime `json:"stages"`
	// GangSeconds is for how long its gangs waited for what, summed over the gangs.
	GangSeconds map[string]int `json:"gangSeconds,omitempty"`
	Windows     []Window       `json:"windows"`
	// InTimeSeconds and LateSeconds are for how long its steps waited while they could still be in time, and while
	// they could not, summed over the steps.
	InTimeSeconds int `json:"inTimeSeconds"`
	LateSeconds   int `json:"lateSeconds"`
}

// StageTime is how long works spent in a stage.
type StageTime struct {
	Stage Stage   `json:"stage"`
	Works int     `json:"works"`
	Mean  float64 `json:"mean"`
	P90   float64 `json:"p90"`
}

// Window is the works of a group that were accepted within two seconds, After so long after the first line.
type Window struct {
	After       float64           `json:"after"`
	Works       int               `json:"works"`
	Owed        int               `json:"owed"`
	Served      float64           `json:"served"`
	Stages      map[Stage]float64 `json:"stages"`
	GangSeconds map[string]int    `json:"gangSeconds,omitempty"`
}

// groupKey names a group; an empty part stands for all.
type groupKey struct{ queue, zone, class string }

func (k groupKey) holds(w *work) bool {
	return w.queue == k.queue && (k.zone == "" || w.zone == k.zone) && (k.class == "" || w.class == k.class)
}

// keys gives the groups of works: those of a queue, of each of its classes, of each of its zones.
func keys(works []judgedWork) []groupKey {
	found := make(map[groupKey]bool)
	for _, w := range works {
		found[groupKey{queue: w.queue}] = true
		found[groupKey{queue: w.queue, class: w.class}] = true
		found[groupKey{queue: w.queue, zone: w.zone}] = true
	}
	var list []groupKey
	for k := range found {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.zone, b.zone), cmp.Compare(a.class, b.class))
	})
	return list
}

func (d *Analyzer) group(key groupKey, works []judgedWork) Group {
	g := Group{Queue: key.queue, Zone: key.zone, Class: key.class, Outcomes: make(map[Outcome]int), GangSeconds: make(map[string]int)}
	times := make(map[Stage][]float64)
	windows := make(map[int][]judgedWork)
	for _, w := range works {
		if !key.holds(w.work) {
			continue
		}
		g.Works++
		g.Outcomes[w.fate]++
		for s, t := range w.stages {
			times[s] = append(times[s], t)
		}
		windows[d.window(w.accepted)] = append(windows[d.window(w.accepted)], w)
	}
	g.Owed, g.Served = served(g.Outcomes)
	g.Done = done(g.Works, g.Outcomes)
	g.InTimeSeconds, g.LateSeconds = d.waitedSeconds(key)
	for _, s := range Stages {
		if ts := times[s]; len(ts) > 0 {
			slices.Sort(ts)
			g.Stages = append(g.Stages, StageTime{s, len(ts), stat.Mean(ts, nil), stat.Quantile(0.9, stat.Empirical, ts, nil)})
		}
	}
	waits := d.gangSeconds(key)
	for i := range d.window(d.until) + 1 {
		if len(windows[i]) > 0 || len(waits[i]) > 0 {
			g.Windows = append(g.Windows, window(i, windows[i], waits[i]))
		}
		for why, n := range waits[i] {
			g.GangSeconds[why] += n
		}
	}
	return g
}

// window gives the number of the window of a moment; what was accepted before the first line counts to the first.
func (d *Analyzer) window(at time.Time) int { return max(int(at.Sub(d.from)/windowLength), 0) }

func window(i int, works []judgedWork, waits map[string]int) Window {
	out := Window{After: millis(time.Duration(i) * windowLength), Works: len(works), Stages: make(map[Stage]float64), GangSeconds: waits}
	fates := make(map[Outcome]int)
	counts := make(map[Stage]int)
	for _, w := range works {
		fates[w.fate]++
		for s, t := range w.stages {
			out.Stages[s] += t
			counts[s]++
		}
	}
	for s, n := range counts {
		out.Stages[s] /= float64(n)
	}
	out.Owed, out.Served = served(fates)
	return out
}

// served gives how many works were owed, and the share of them that was done; 0 where none was owed.
func served(fates map[Outcome]int) (owed int, share float64) {
	done := fates[InTime] + fates[Late]
	owed = done + fates[Lost] + fates[Failed]
	if owed == 0 {
		return 0, 0
	}
	return owed, float64(done) / float64(owed)
}

// done gives the share of works that were done before they were worth nothing, of all but the cancelled.
func done(works int, fates map[Outcome]int) float64 {
	if kept := works - fates[Cancelled]; kept > 0 {
		return float64(fates[InTime]+fates[Late]) / float64(kept)
	}
	return 0
}

// margins compares each group with its queue, which stands before it.
func margins(groups []Group) {
	whole := 0.0
	for i := range groups {
		g := &groups[i]
		if g.Zone == "" && g.Class == "" {
			whole = g.Done
		}
		if whole > 0 {
			g.Margin = g.Done / whole
		}
	}
}

// waitedSeconds sums for how long the steps of a group waited; zones are not told apart by these lines.
func (d *Analyzer) waitedSeconds(key groupKey) (inTime, late int) {
	if key.zone != "" {
		return 0, 0
	}
	for _, w := range d.waiting {
		if w.queue == key.queue && (key.class == "" || w.class == key.class) {
			inTime += w.inTime
			late += w.steps - w.inTime
		}
	}
	return inTime, late
}

// gangSeconds sums by window what the gangs of a group waited for; zones are not told apart by these lines.
func (d *Analyzer) gangSeconds(key groupKey) map[int]map[string]int {
	out := make(map[int]map[string]int)
	if key.zone != "" {
		return out
	}
	for _, w := range d.waits {
		if w.queue != key.queue || key.class != "" && w.class != key.class {
			continue
		}
		i := d.window(w.at)
		if out[i] == nil {
			out[i] = make(map[string]int)
		}
		out[i][w.why] += w.gangs
	}
	return out
}
