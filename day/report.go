package day

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"turmericgap/finding"
)

// Report is what a day was like. Times are as in the log, durations in milliseconds.
type Report struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Lines were read, Others are no log lines, Unreadable should be and cannot be read; LeftOut are lines of works
	// beyond the bound.
	Lines      int          `json:"lines"`
	Others     int          `json:"others"`
	Unreadable int          `json:"unreadable"`
	LeftOut    int          `json:"leftOut"`
	Findings   finding.List `json:"findings,omitempty"`
	// Groups hold the works of each queue, and those of each zone and class of sizes of it.
	Groups   []Group   `json:"groups"`
	Tenures  []Tenure  `json:"tenures"`
	Outages  []Outage  `json:"outages"`
	Loads    []Load    `json:"loads"`
	Refusals []Refusal `json:"refusals"`
	// Lost are the largest works that were lost, Slowest those that were done and took longest.
	Lost    []WorkDetail `json:"lost"`
	Slowest []WorkDetail `json:"slowest"`
}

// Tenure is a time in which a VM owned the cell; Until is zero where no line tells of its end.
type Tenure struct {
	VM     string    `json:"vm"`
	Fence  int64     `json:"fence"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until,omitzero"`
	Reason string    `json:"reason,omitempty"`
}

// Outage is a time in which calls of the store had no answer.
type Outage struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	Calls int       `json:"calls"`
}

// Refusal is the callers who were refused for one reason; Free is the mean share of the cell that was free then.
type Refusal struct {
	Method string    `json:"method"`
	Status int       `json:"status"`
	Reason string    `json:"reason"`
	Count  int       `json:"count"`
	First  time.Time `json:"first"`
	Last   time.Time `json:"last"`
	Free   float64   `json:"free"`
	// bySecond counts them by the second.
	bySecond map[int64]int
}

// WorkDetail is a work that a report names, and how long it spent in each stage.
type WorkDetail struct {
	ID          string            `json:"id"`
	Queue       string            `json:"queue"`
	Zone        string            `json:"zone"`
	Class       string            `json:"class"`
	CoreSeconds float64           `json:"coreSeconds"`
	Took        float64           `json:"took"`
	Stages      map[Stage]float64 `json:"stages"`
	// Lines are its log lines, where the log was read again for them.
	Lines []string `json:"lines,omitempty"`
}

// outageGap parts two outages.
const outageGap = 2 * time.Second

// Report gives what was read so far.
func (d *Analyzer) Report() *Report {
	r := &Report{
		From: d.from, Until: d.until, Lines: d.lines, Others: d.others, Unreadable: d.bad, LeftOut: d.leftOut, Findings: d.Findings(),
		Outages: d.outages(), Refusals: d.refused(), Loads: d.ownerLoads(),
	}
	for _, t := range d.tenures {
		r.Tenures = append(r.Tenures, *t)
	}
	slices.SortFunc(r.Tenures, func(a, b Tenure) int { return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Fence, b.Fence)) })
	works := d.known()
	for _, key := range keys(works) {
		r.Groups = append(r.Groups, d.group(key, works))
	}
	margins(r.Groups)
	r.Lost, r.Slowest = d.named(works)
	return r
}

// known gives the works of which a line told the queue, by their acceptance.
func (d *Analyzer) known() []judgedWork {
	var list []judgedWork
	for _, w := range d.works {
		if w.queue != "" {
			list = append(list, judgedWork{w, w.became(), w.times()})
		}
	}
	slices.SortFunc(list, func(a, b judgedWork) int { return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.id, b.id)) })
	return list
}

func (d *Analyzer) outages() []Outage {
	var out []Outage
	for _, second := range slices.Sorted(maps.Keys(d.failures)) {
		o := *d.failures[second]
		if n := len(out); n > 0 && o.From.Sub(out[n-1].Until) <= outageGap {
			out[n-1].Until = o.Until
			out[n-1].Calls += o.Calls
			continue
		}
		out = append(out, o)
	}
	return out
}

func (d *Analyzer) refused() []Refusal {
	free := slices.SortedFunc(slices.Values(d.free), func(a, b freeAt) int { return a.at.Compare(b.at) })
	var out []Refusal
	for _, r := range d.refusals {
		sum := 0.0
		// In the same order each time: sums of floating point numbers depend on it.
		for _, second := range slices.Sorted(maps.Keys(r.bySecond)) {
			sum += float64(r.bySecond[second]) * freeThen(free, time.Unix(second, 0))
		}
		r.Free = sum / float64(r.Count)
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Status, b.Status))
	})
	return out
}

// freeThen gives the share that was free by the first line at or after a moment, or the last line.
func freeThen(free []freeAt, at time.Time) float64 {
	if len(free) == 0 {
		return 0
	}
	i, _ := slices.BinarySearchFunc(free, at, func(f freeAt, t time.Time) int { return f.at.Compare(t) })
	return free[min(i, len(free)-1)].share
}

// named gives the largest works that were lost, and those that were done and took longest.
func (d *Analyzer) named(works []judgedWork) (lost, slowest []WorkDetail) {
	for _, w := range works {
		n := WorkDetail{ID: w.id, Queue: w.queue, Zone: w.zone, Class: w.class, CoreSeconds: w.size, Stages: w.stages}
		switch w.fate {
		case Lost:
			lost = append(lost, n)
		case InTime, Late:
			n.Took = millis(w.shown.Sub(w.accepted))
			slowest = append(slowest, n)
		default:
		}
	}
	slices.SortStableFunc(lost, func(a, b WorkDetail) int { return cmp.Compare(b.CoreSeconds, a.CoreSeconds) })
	slices.SortStableFunc(slowest, func(a, b WorkDetail) int { return cmp.Compare(b.Took, a.Took) })
	return lost[:min(len(lost), d.o.MaxNamed)], slowest[:min(len(slowest), d.o.MaxNamed)]
}

// mostNamedLines bounds the lines that are kept of a named work.
const mostNamedLines = 200

// AttachLines reads a log again and keeps the lines of the works that the report names.
func (r *Report) AttachLines(log io.Reader) error {
	byID := make(map[string]*WorkDetail)
	for i := range r.Lost {
		byID[r.Lost[i].ID] = &r.Lost[i]
	}
	for i := range r.Slowest {
		byID[r.Slowest[i].ID] = &r.Slowest[i]
	}
	return eachLine(log, func(_ int, raw []byte, tooLong bool) {
		if tooLong {
			return
		}
		l, ok, err := parse(raw)
		if err != nil || !ok {
			return
		}
		if n := byID[l.ID]; n != nil && len(n.Lines) < mostNamedLines {
			n.Lines = append(n.Lines, trimmed(raw))
		}
	})
}
