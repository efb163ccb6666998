package day

import (
	"cmp"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Group summarizes the works of a queue. An empty Zone or Class stands for all zones or classes.
type Group struct {
	Queue    string          `json:"queue"`
	Zone     string          `json:"zone,omitempty"`
	Class    string          `json:"class,omitempty"`
	Works    int             `json:"works"`
	Outcomes map[Outcome]int `json:"fates"`
	// CoreSeconds sums the sizes of the works by outcome, by their callers' estimates.
	CoreSeconds map[Outcome]float64 `json:"coreSeconds"`
	// Owed counts the works that ended or were lost, except cancelled ones; Served is the completed share of them.
	Owed   int     `json:"owed"`
	Served float64 `json:"served"`
	// Done is the share of all works except cancelled ones that completed before they expired; an open work counts as
	// not completed. Margin is Done divided by the Done of the whole queue, or 0 if the queue completed none.
	Done   float64     `json:"done"`
	Margin float64     `json:"margin"`
	Stages []StageTime `json:"stages"`
	// GangSeconds is the waiting time of gangs by reason, summed over the gangs.
	GangSeconds map[string]int `json:"gangSeconds,omitempty"`
	Windows     []Window       `json:"windows"`
	// InTimeSeconds is the waiting time of steps while they could still meet their objective, LateSeconds the time
	// after that, summed over the steps.
	InTimeSeconds int `json:"inTimeSeconds"`
	LateSeconds   int `json:"lateSeconds"`
}

// StageTime is the time that works spent in a stage.
type StageTime struct {
	Stage Stage   `json:"stage"`
	Works int     `json:"works"`
	Mean  float64 `json:"mean"`
	P90   float64 `json:"p90"`
}

// Window summarizes the works of a group that were accepted in a window of two seconds, which starts After
// milliseconds from the first log line.
type Window struct {
	After       float64           `json:"after"`
	Works       int               `json:"works"`
	Owed        int               `json:"owed"`
	Served      float64           `json:"served"`
	Stages      map[Stage]float64 `json:"stages"`
	GangSeconds map[string]int    `json:"gangSeconds,omitempty"`
}

// groupKey identifies a group. An empty zone or class matches all.
type groupKey struct{ queue, zone, class string }

func (k groupKey) matches(w *work) bool {
	return w.queue == k.queue && (k.zone == "" || w.zone == k.zone) && (k.class == "" || w.class == k.class)
}

// groupKeys returns the keys of all groups: each queue, each class of a queue and each zone of a queue.
func groupKeys(works []classifiedWork) []groupKey {
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

func (d *Analyzer) newGroup(key groupKey, works []classifiedWork) Group {
	g := Group{Queue: key.queue, Zone: key.zone, Class: key.class, Outcomes: make(map[Outcome]int), CoreSeconds: make(map[Outcome]float64), GangSeconds: make(map[string]int)}
	times := make(map[Stage][]float64)
	windows := make(map[int][]classifiedWork)
	for _, w := range works {
		if !key.matches(w.work) {
			continue
		}
		g.Works++
		g.Outcomes[w.outcome]++
		g.CoreSeconds[w.outcome] += w.size
		for s, t := range w.stages {
			times[s] = append(times[s], t)
		}
		windows[d.windowIndex(w.accepted)] = append(windows[d.windowIndex(w.accepted)], w)
	}
	g.Owed, g.Served = servedShare(g.Outcomes)
	g.Done = doneShare(g.Works, g.Outcomes)
	g.InTimeSeconds, g.LateSeconds = d.waitedSeconds(key)
	for _, s := range Stages {
		if ts := times[s]; len(ts) > 0 {
			slices.Sort(ts)
			g.Stages = append(g.Stages, StageTime{s, len(ts), stat.Mean(ts, nil), stat.Quantile(0.9, stat.Empirical, ts, nil)})
		}
	}
	waits := d.gangSeconds(key)
	for i := range d.windowIndex(d.until) + 1 {
		if len(windows[i]) > 0 || len(waits[i]) > 0 {
			g.Windows = append(g.Windows, newWindow(i, windows[i], waits[i]))
		}
		for reason, n := range waits[i] {
			g.GangSeconds[reason] += n
		}
	}
	return g
}

// windowIndex returns the index of the window that contains the given time. Works accepted before the first line count
// in the first window.
func (d *Analyzer) windowIndex(at time.Time) int { return max(int(at.Sub(d.from)/windowLength), 0) }

func newWindow(i int, works []classifiedWork, waits map[string]int) Window {
	out := Window{After: millis(time.Duration(i) * windowLength), Works: len(works), Stages: make(map[Stage]float64), GangSeconds: waits}
	outcomes := make(map[Outcome]int)
	counts := make(map[Stage]int)
	for _, w := range works {
		outcomes[w.outcome]++
		for s, t := range w.stages {
			out.Stages[s] += t
			counts[s]++
		}
	}
	for s, n := range counts {
		out.Stages[s] /= float64(n)
	}
	out.Owed, out.Served = servedShare(outcomes)
	return out
}

// servedShare returns the number of owed works and the completed share of them, which is 0 if none was owed.
func servedShare(outcomes map[Outcome]int) (owed int, share float64) {
	done := outcomes[InTime] + outcomes[Late]
	owed = done + outcomes[Lost] + outcomes[Failed]
	if owed == 0 {
		return 0, 0
	}
	return owed, float64(done) / float64(owed)
}

// doneShare returns the share of works, except cancelled ones, that completed before they expired.
func doneShare(works int, outcomes map[Outcome]int) float64 {
	if kept := works - outcomes[Cancelled]; kept > 0 {
		return float64(outcomes[InTime]+outcomes[Late]) / float64(kept)
	}
	return 0
}

// setMargins sets the margin of each group. The group of the whole queue precedes those of its zones and classes.
func setMargins(groups []Group) {
	queueDone := 0.0
	for i := range groups {
		g := &groups[i]
		if g.Zone == "" && g.Class == "" {
			queueDone = g.Done
		}
		if queueDone > 0 {
			g.Margin = g.Done / queueDone
		}
	}
}

// waitedSeconds sums the waiting time of a group's steps. It is 0 for a zone, because the log lines about waiting
// steps have no zone.
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

// gangSeconds sums the waiting time of a group's gangs by window and reason. It is empty for a zone, because the log
// lines about waiting gangs have no zone.
func (d *Analyzer) gangSeconds(key groupKey) map[int]map[string]int {
	out := make(map[int]map[string]int)
	if key.zone != "" {
		return out
	}
	for _, w := range d.waits {
		if w.queue != key.queue || key.class != "" && w.class != key.class {
			continue
		}
		i := d.windowIndex(w.at)
		if out[i] == nil {
			out[i] = make(map[string]int)
		}
		out[i][w.reason] += w.gangs
	}
	return out
}
