package day

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// permitRequest is an answered permit request.
type permitRequest struct {
	sent, answered time.Time
	step           int
	named, allowed int
	// full is the number of allowed workers without room, -1 if it was not logged.
	full int
	// lacksRoom is true if not all waiting tasks fitted on the allowed workers.
	lacksRoom bool
}

func newPermitRequest(l *line) permitRequest {
	r := permitRequest{sent: l.millisBefore(l.Took), answered: l.Time, step: l.Step, named: l.Named, allowed: l.Allowed, full: -1}
	if l.Full != nil {
		r.full = *l.Full
	}
	r.lacksRoom = l.Room != nil && *l.Room < l.Tasks
	return r
}

// addWaits adds the time between the first permit response and the first start to the stages that explain it.
func (w *work) addWaits(stages map[Stage]float64, from, to time.Time) {
	bounds := []time.Time{from, to}
	for i := range w.permitRequests {
		for _, at := range []time.Time{w.permitRequests[i].sent, w.permitRequests[i].answered} {
			if at.After(from) && at.Before(to) {
				bounds = append(bounds, at)
			}
		}
	}
	slices.SortFunc(bounds, time.Time.Compare)
	for i := range bounds[1:] {
		stages[w.waitAt(bounds[i])] += millis(bounds[i+1].Sub(bounds[i]))
	}
}

// waitAt returns the stage that explains why the work waited from a moment after the first permit response until the next
// request was sent or answered.
func (w *work) waitAt(at time.Time) Stage {
	pending := StageRoom
	var latest *permitRequest
	for i := range w.permitRequests {
		r := &w.permitRequests[i]
		switch {
		case !r.answered.After(at):
			if latest == nil || r.answered.After(latest.answered) {
				latest = r
			}
		case r.sent.After(at):
		case r.sent.Before(w.firstPermit):
			return StageBatch
		default:
			pending = StageAgain
		}
	}
	if pending == StageRoom && latest != nil && latest.lacksRoom {
		return StageFull
	}
	return pending
}

// start identifies the worker on which a start of a task of a step was decided.
type start struct{ occurrence, step, worker int32 }

// Permits tells what became of the permits of a queue.
type Permits struct {
	Queue string `json:"queue"`
	// Requests counts the answered requests, Named the workers in them, Allowed the permits in the answers.
	Requests int `json:"requests"`
	Named    int `json:"named"`
	Allowed  int `json:"allowed"`
	// Used counts the permits with which a task was started. Of the others, Full are those of workers that had no room
	// when the answer came, and Lapsed the rest. Both are absent if an answer of the queue was logged without them.
	Used   int  `json:"used"`
	Full   *int `json:"full,omitempty"`
	Lapsed *int `json:"lapsed,omitempty"`
}

// permits returns the use of permits by queue.
func (d *Analyzer) permits(works []classifiedWork) []Permits {
	byQueue := make(map[string]*Permits)
	full := make(map[string]int)
	for _, w := range works {
		if len(w.permitRequests) == 0 {
			continue
		}
		p := byQueue[w.queue]
		if p == nil {
			p = &Permits{Queue: w.queue}
			byQueue[w.queue] = p
		}
		full[w.queue] = addPermits(p, w.work, full[w.queue])
	}
	list := make([]Permits, 0, len(byQueue))
	for _, p := range byQueue {
		if n := full[p.Queue]; n >= 0 {
			lapsed := p.Allowed - p.Used - n
			p.Full, p.Lapsed = &n, &lapsed
		}
		list = append(list, *p)
	}
	slices.SortFunc(list, func(a, b Permits) int { return cmp.Compare(a.Queue, b.Queue) })
	return list
}

// addPermits adds the permits of a work, and returns the sum of full and its permits of full workers, or -1 if either is
// not known.
func addPermits(p *Permits, w *work, full int) int {
	type step struct{ allowed, used, full int }
	steps := make(map[int]*step)
	for i := range w.permitRequests {
		r := &w.permitRequests[i]
		if steps[r.step] == nil {
			steps[r.step] = &step{}
		}
		p.Requests++
		p.Named += r.named
		steps[r.step].allowed += r.allowed
		steps[r.step].full += r.full
		if r.full < 0 {
			full = -1
		}
	}
	seen := make(map[start]bool, len(w.starts))
	for _, s := range w.starts {
		if k := steps[int(s.step)]; k != nil && !seen[s] {
			seen[s] = true
			k.used++
		}
	}
	for _, k := range steps {
		used := min(k.used, k.allowed)
		p.Allowed += k.allowed
		p.Used += used
		if full >= 0 {
			full += min(k.full, k.allowed-used)
		}
	}
	return full
}

func (r *Report) printPermits(p *printer) {
	if len(r.Permits) == 0 {
		return
	}
	p.beginTable("Permits by use", "QUEUE", "REQUESTS", "NAMED", "ALLOWED", "USED", "FULL", "LAPSED")
	for i := range r.Permits {
		q := &r.Permits[i]
		full, lapsed := "-", "-"
		if q.Full != nil {
			full, lapsed = formatPart(float64(*q.Full), float64(q.Allowed)), formatPart(float64(*q.Lapsed), float64(q.Allowed))
		}
		p.row(q.Queue, fmt.Sprint(q.Requests), fmt.Sprint(q.Named), fmt.Sprint(q.Allowed), formatPart(float64(q.Used), float64(q.Allowed)), full, lapsed)
	}
}

// formatPart formats an amount with its share of a whole.
func formatPart(part, whole float64) string {
	if whole <= 0 {
		return fmt.Sprintf("%.0f", part)
	}
	return fmt.Sprintf("%.0f (%.2f)", part, part/whole)
}
