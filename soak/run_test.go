package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Options are what a run is made of.
type Options struct {
	// Context ends the run early.
	Context context.Context //nolint:containedctx // a run is one call
	// Seed draws the works and the faults; Faults turns the latter off for a run that must be clean.
	Seed   uint64
	Faults bool
	// Lasts is how long works come and faults strike. What is left then has settleWithin to end.
	Lasts time.Duration
	// VMs and Workers are how many there are, Rate is the works a second.
	VMs, Workers, Rate int
	// Program is the path of the entry program, Dir where settings and logs go.
	Program, Dir string
	// Net is the second and third part of the IP numbers, so that two runs do not meet: 256 to 65535.
	Net int
}

// Report is what a run has seen.
type Report struct {
	Seed uint64
	// Handed counts the works, Accepted, Refused and Open how their callers were answered in the end.
	Handed, Accepted, Refused, Open int
	// Runs counts what the workers have begun.
	Runs int
	// Queues tells how each queue was served.
	Queues []Queue
	// Faults lists what was done when, Findings what was wrong.
	Faults, Findings []string
}

// Queue is how the works of one queue were served.
type Queue struct {
	Name             string
	Works, Completed int
	// Median and Worst are the times from the first try to the state that a caller saw in the end.
	Median, Worst time.Duration
}

// Table gives how the queues were served, and what struck meanwhile, for people.
func (r *Report) Table() string {
	var b strings.Builder
	for _, f := range r.Faults {
		fmt.Fprintln(&b, "fault:", f)
	}
	fmt.Fprintf(&b, "%-8s %6s %10s %12s %12s\n", "queue", "works", "completed", "median", "worst")
	for _, q := range r.Queues {
		fmt.Fprintf(&b, "%-8s %6d %10d %12v %12v\n", q.Name, q.Works, q.Completed, q.Median.Round(time.Millisecond), q.Worst.Round(time.Millisecond))
	}
	return b.String()
}

// String gives the report for people.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d works, %d accepted, %d refused, %d open; %d runs, %d faults, %d findings\n",
		r.Seed, r.Handed, r.Accepted, r.Refused, r.Open, r.Runs, len(r.Faults), len(r.Findings))
	if len(r.Findings) == 0 {
		return b.String()
	}
	for _, f := range r.Faults {
		fmt.Fprintln(&b, "  fault:", f)
	}
	for _, f := range r.Findings {
		fmt.Fprintln(&b, "  FOUND:", f)
	}
	return b.String()
}

const (
	// bootWithin bounds the start of the cell: processes, leases, and the first hold of each worker.
	bootWithin = 15 * time.Second
	// settleWithin bounds the end of what was accepted after the last fault: a worker that was cut off
	// keeps its tasks for its lease, a former owner may have extended that for 5 s, and three attempts follow.
	settleWithin = 45 * time.Second
)

// Run starts a cell, lets works come and faults strike, waits until all has settled, and judges.
func Run(o Options) (*Report, error) {
	if o.Context == nil {
		o.Context = context.Background()
	}
	c, err := NewCell(&o)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	callers := newCallers(c)
	if err := callers.boot(); err != nil {
		return nil, err
	}
	rep := &Report{Seed: o.Seed}
	var parts sync.WaitGroup
	parts.Go(func() { callers.run(rand.New(rand.NewPCG(o.Seed, 1))) })
	if o.Faults {
		parts.Go(func() { rep.Faults = newPlan(c, rand.New(rand.NewPCG(o.Seed, 2))).run() })
	}
	parts.Wait()
	callers.settle()
	callers.judge(rep)
	return rep, nil
}
