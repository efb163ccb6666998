package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"turmericgap/job"
)

// sampleCount is the number of times at which a replay samples packing.
const sampleCount = 2000

// Report is the result of a load under a policy.
type Report struct {
	Load      string
	Policy    string
	Classes   []*ClassReport
	Refused   int
	Preempted int
	// LostCoreSeconds is the work of preempted attempts, without credit for checkpoints.
	LostCoreSeconds int64

	// Offered is the offered load as a share of what the workers can do in the measured time.
	Offered float64

	capacity job.Resources
	packing  []float64
	byClass  map[string]*ClassReport
}

// ClassReport is the part of a report for a class of jobs.
type ClassReport struct {
	Name   string
	Starts int
	// DeadlineJobs counts the jobs with a deadline, Missed those that did not end by it.
	DeadlineJobs int
	Missed       int

	waits []time.Duration
}

func newReport(l *Load, policy string) *Report {
	r := &Report{Load: l.Name, Policy: policy, Offered: l.offered(), byClass: map[string]*ClassReport{}}
	for i := range l.Jobs {
		s := l.Jobs[i].Spec
		c := r.class(s.Class)
		if !s.Deadline.IsZero() {
			// Counted as missed until it ends in time.
			c.DeadlineJobs++
			c.Missed++
		}
	}
	slices.SortFunc(r.Classes, func(a, b *ClassReport) int { return strings.Compare(a.Name, b.Name) })
	return r
}

func (r *Report) class(name string) *ClassReport {
	c, ok := r.byClass[name]
	if !ok {
		c = &ClassReport{Name: name}
		r.byClass[name] = c
		r.Classes = append(r.Classes, c)
	}
	return c
}

func (r *Report) recordStart(a *Arrival, waited time.Duration) {
	c := r.class(a.Spec.Class)
	c.Starts++
	c.waits = append(c.waits, waited)
}

func (r *Report) recordEnd(a *Arrival, at time.Time) {
	if !a.Spec.Deadline.IsZero() && !at.After(a.Spec.Deadline) {
		r.class(a.Spec.Class).Missed--
	}
}

// MissedDeadlines returns the number of jobs that ended after their deadline or never.
func (r *Report) MissedDeadlines() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Missed
	}
	return n
}

// WaitQuantile returns a quantile, from zero to one, of the waiting times of a class.
func (r *Report) WaitQuantile(class string, q float64) time.Duration {
	c := r.byClass[class]
	if c == nil || len(c.waits) == 0 {
		return 0
	}
	return quantile(c.waits, q)
}

// quantile returns a quantile of the values and sorts them in place.
func quantile(values []time.Duration, q float64) time.Duration {
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// Packing returns the mean used share of the capacity while the demand exceeded it.
func (r *Report) Packing() float64 {
	if len(r.packing) == 0 {
		return 1
	}
	sum := 0.0
	for _, p := range r.packing {
		sum += p
	}
	return sum / float64(len(r.packing))
}

// String formats the report as a table. It is identical for each replay of a seed.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s: %.2f offered, packing %.3f of the bound while more is asked for than there is (%d of %d samples), %d preempted, %d core s lost, %d refused\n",
		r.Load, r.Policy, r.Offered, r.Packing(), len(r.packing), sampleCount, r.Preempted, r.LostCoreSeconds, r.Refused)
	fmt.Fprintf(&b, "  %-12s %8s %12s %12s %12s %9s\n", "class", "starts", "p50", "p99", "max", "missed")
	for _, c := range r.Classes {
		wait := func(q float64) string { return fmt.Sprintf("%.2fs", r.WaitQuantile(c.Name, q).Seconds()) }
		missed := "-"
		if c.DeadlineJobs > 0 {
			missed = fmt.Sprintf("%d/%d", c.Missed, c.DeadlineJobs)
		}
		fmt.Fprintf(&b, "  %-12s %8d %12s %12s %12s %9s\n", c.Name, c.Starts, wait(0.5), wait(0.99), wait(1), missed)
	}
	return b.String()
}
