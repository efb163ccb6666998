package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"turmericgap/job"
)

// samples is how often a replay looks at packing.
const samples = 2000

// Report is what came of a load under a policy.
type Report struct {
	Load      string
	Policy    string
	Classes   []*ClassReport
	Refused   int
	Preempted int
	// LostCoreSeconds is the work of preempted attempts, as if no checkpoint had helped.
	LostCoreSeconds int64

	// Offered is the work that arrives, as a share of what the workers can do in the time.
	Offered float64

	has     job.Resources
	packing []float64
	byClass map[string]*ClassReport
}

// ClassReport is the part of a report about one class of jobs.
type ClassReport struct {
	Name   string
	Starts int
	// DeadlineJobs counts those with a deadline that have finished or were due, Missed the late ones.
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
			// Missed until it has finished in time.
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

func (r *Report) started(a *Arrival, waited time.Duration) {
	c := r.class(a.Spec.Class)
	c.Starts++
	c.waits = append(c.waits, waited)
}

func (r *Report) finished(a *Arrival, at time.Time) {
	if !a.Spec.Deadline.IsZero() && !at.After(a.Spec.Deadline) {
		r.class(a.Spec.Class).Missed--
	}
}

// MissedDeadlines counts the jobs that ended after their deadline, or never.
func (r *Report) MissedDeadlines() int {
	n := 0
	for _, c := range r.Classes {
		n += c.Missed
	}
	return n
}

// WaitQuantile gives a quantile of the waiting times of a class, from zero to one.
func (r *Report) WaitQuantile(class string, q float64) time.Duration {
	c := r.byClass[class]
	if c == nil || len(c.waits) == 0 {
		return 0
	}
	return quantile(c.waits, q)
}

// quantile sorts the values.
func quantile(values []time.Duration, q float64) time.Duration {
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// Packing is the mean share of the bound that was used while more was asked for.
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

// String gives the report as a table, the same for each run of a seed.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %s: %.2f offered, packing %.3f of the bound while more is asked for than there is (%d of %d samples), %d preempted, %d core s lost, %d refused\n",
		r.Load, r.Policy, r.Offered, r.Packing(), len(r.packing), samples, r.Preempted, r.LostCoreSeconds, r.Refused)
	fmt.Fprintf(&b, "  %-12s %8s %12s %12s %12s %9s\n", "class", "starts", "p50", "p99", "max", "missed")
	for _, c := range r.Classes {
		at := func(q float64) string { return fmt.Sprintf("%.2fs", r.WaitQuantile(c.Name, q).Seconds()) }
		missed := "-"
		if c.DeadlineJobs > 0 {
			missed = fmt.Sprintf("%d/%d", c.Missed, c.DeadlineJobs)
		}
		fmt.Fprintf(&b, "  %-12s %8d %12s %12s %12s %9s\n", c.Name, c.Starts, at(0.5), at(0.99), at(1), missed)
	}
	return b.String()
}
