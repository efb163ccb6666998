package day

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"time"

	"turmericgap/finding"
)

// Report summarizes the logs of a day. Times are as in the log; durations are in milliseconds.
type Report struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	// Lines counts the log lines, Others the lines that are not log lines, Unreadable those that cannot be parsed, and
	// LeftOut those about works beyond MaxWorks and about further runs.
	Lines      int          `json:"lines"`
	Others     int          `json:"others"`
	Unreadable int          `json:"unreadable"`
	LeftOut    int          `json:"leftOut"`
	Findings   finding.List `json:"findings,omitempty"`
	// Groups has one group for each queue, and one for each zone and size class of a queue.
	Groups []Group `json:"groups"`
	// Accounts has one entry for each client account, the worst served first.
	Accounts []Account `json:"accounts,omitempty"`
	// Permits has one entry for each queue with permits, RunTimes one for each queue with runs.
	Permits  []Permits  `json:"permits,omitempty"`
	RunTimes []RunTimes `json:"runTimes,omitempty"`
	// LongRuns lists the runs that took longest, compared with the median of their queue.
	LongRuns []LongRun `json:"longRuns,omitempty"`
	// Speeds has one entry for each queue and third of the workers by speed.
	Speeds []SpeedGroup `json:"speeds,omitempty"`
	// Configuration is nil if no log line tells of a version of the configuration.
	Configuration *Configuration `json:"configuration,omitempty"`
	Tenures       []Tenure       `json:"tenures"`
	Outages       []Outage       `json:"outages"`
	Loads         []Load         `json:"loads"`
	Refusals      []Refusal      `json:"refusals"`
	// GivenUp lists the works that failed because a task of theirs crashed its workers.
	GivenUp []GivenUp `json:"givenUp,omitempty"`
	// Lost lists the largest lost works, Slowest the completed works that took longest.
	Lost    []WorkDetail `json:"lost"`
	Slowest []WorkDetail `json:"slowest"`
}

// Tenure is a period in which one VM owned the cell. Until is zero if its end was not logged.
type Tenure struct {
	VM     string    `json:"vm"`
	Fence  int64     `json:"fence"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until,omitzero"`
	Reason string    `json:"reason,omitempty"`
}

// Outage is a period in which store calls had no answer.
type Outage struct {
	From  time.Time `json:"from"`
	Until time.Time `json:"until"`
	Calls int       `json:"calls"`
}

// Refusal counts the requests refused for one reason. Free is the mean free share of the cell at the time of these
// requests.
type Refusal struct {
	Method string    `json:"method"`
	Status int       `json:"status"`
	Reason string    `json:"reason"`
	Count  int       `json:"count"`
	First  time.Time `json:"first"`
	Last   time.Time `json:"last"`
	Free   float64   `json:"free"`
	// bySecond counts the requests by Unix second.
	bySecond map[int64]int
}

// GivenUp is a work that failed because a task of it crashed its workers.
type GivenUp struct {
	ID    string    `json:"id"`
	Queue string    `json:"queue"`
	At    time.Time `json:"at"`
	// Task is the occurrence, step and index of the task.
	Task string `json:"task"`
	// Crashes counts the crashes under the task, Losses its losses with workers of unknown fate.
	Crashes int `json:"crashes"`
	Losses  int `json:"losses"`
}

// WorkDetail is a work listed in a report, with the time it spent in each stage.
type WorkDetail struct {
	ID          string            `json:"id"`
	Queue       string            `json:"queue"`
	Zone        string            `json:"zone"`
	Class       string            `json:"class"`
	CoreSeconds float64           `json:"coreSeconds"`
	Took        float64           `json:"took"`
	Stages      map[Stage]float64 `json:"stages"`
	// Lines holds its log lines if AttachLines has read the log.
	Lines []string `json:"lines,omitempty"`
}

// outageGap is the longest time between two failed calls of the same outage.
const outageGap = 2 * time.Second

// Report returns a report on the lines read so far.
func (d *Analyzer) Report() *Report {
	r := &Report{
		From: d.from, Until: d.until, Lines: d.lines, Others: d.nonLogLines, Unreadable: d.unreadable, LeftOut: d.skippedWorkLines, Findings: d.Findings(),
		Outages: d.outages(), Refusals: d.refusalList(), Loads: d.ownerLoads(),
	}
	for _, t := range d.tenures {
		r.Tenures = append(r.Tenures, *t)
	}
	slices.SortFunc(r.Tenures, func(a, b Tenure) int { return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Fence, b.Fence)) })
	r.GivenUp = slices.SortedFunc(slices.Values(d.givenUp), func(a, b GivenUp) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) })
	works := d.classifiedWorks()
	for _, key := range groupKeys(works) {
		r.Groups = append(r.Groups, d.newGroup(key, works))
	}
	setMargins(r.Groups)
	r.Accounts = d.accounts(works)
	r.Permits = d.permits(works)
	r.RunTimes, r.LongRuns = d.runTimes(works)
	r.Speeds = d.speedGroups(works)
	r.Configuration = d.configuration.report(d.opts.MaxNamed)
	r.Lost, r.Slowest = d.namedWorks(works)
	return r
}

// classifiedWorks returns the works with a known queue, sorted by the time of acceptance.
func (d *Analyzer) classifiedWorks() []classifiedWork {
	var list []classifiedWork
	for _, w := range d.works {
		if w.queue != "" {
			list = append(list, classifiedWork{w, w.classify(), w.stageTimes()})
		}
	}
	slices.SortFunc(list, func(a, b classifiedWork) int { return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.id, b.id)) })
	return list
}

func (d *Analyzer) outages() []Outage {
	var out []Outage
	for _, second := range slices.Sorted(maps.Keys(d.storeFailures)) {
		o := *d.storeFailures[second]
		if n := len(out); n > 0 && o.From.Sub(out[n-1].Until) <= outageGap {
			out[n-1].Until = o.Until
			out[n-1].Calls += o.Calls
			continue
		}
		out = append(out, o)
	}
	return out
}

func (d *Analyzer) refusalList() []Refusal {
	free := slices.SortedFunc(slices.Values(d.freeSamples), func(a, b freeSample) int { return a.at.Compare(b.at) })
	var out []Refusal
	for _, r := range d.refusals {
		sum := 0.0
		// A fixed order keeps the floating point sum reproducible.
		for _, second := range slices.Sorted(maps.Keys(r.bySecond)) {
			sum += float64(r.bySecond[second]) * freeShareAt(free, time.Unix(second, 0))
		}
		r.Free = sum / float64(r.Count)
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Method, b.Method), cmp.Compare(a.Status, b.Status))
	})
	return out
}

// freeShareAt returns the free share from the first sample at or after the given time, or else from the last sample.
func freeShareAt(free []freeSample, at time.Time) float64 {
	if len(free) == 0 {
		return 0
	}
	i, _ := slices.BinarySearchFunc(free, at, func(f freeSample, t time.Time) int { return f.at.Compare(t) })
	return free[min(i, len(free)-1)].share
}

// namedWorks returns the largest lost works and the completed works that took longest.
func (d *Analyzer) namedWorks(works []classifiedWork) (lost, slowest []WorkDetail) {
	for _, w := range works {
		n := WorkDetail{ID: w.id, Queue: w.queue, Zone: w.zone, Class: w.class, CoreSeconds: w.size, Stages: w.stages}
		switch w.outcome {
		case Lost:
			lost = append(lost, n)
		case InTime, Late:
			n.Took = millis(w.published.Sub(w.accepted))
			slowest = append(slowest, n)
		default:
		}
	}
	slices.SortStableFunc(lost, func(a, b WorkDetail) int { return cmp.Compare(b.CoreSeconds, a.CoreSeconds) })
	slices.SortStableFunc(slowest, func(a, b WorkDetail) int { return cmp.Compare(b.Took, a.Took) })
	return lost[:min(len(lost), d.opts.MaxNamed)], slowest[:min(len(slowest), d.opts.MaxNamed)]
}

// maxNamedLines limits the log lines kept for a listed work.
const maxNamedLines = 200

// AttachLines reads a log again and adds the lines of the works that the report lists.
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
		if n := byID[l.ID]; n != nil && len(n.Lines) < maxNamedLines {
			n.Lines = append(n.Lines, jsonObject(raw))
		}
	})
}
