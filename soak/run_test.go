package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	// Context cancels the run.
	Context context.Context //nolint:containedctx // a run is one call
	// Seed determines the works and the faults. Faults enables the faults; without them, every work must be accepted.
	Seed   uint64
	Faults bool
	// Accounts gives the works client accounts with keys and caps, and adds the faults that concern them.
	Accounts bool
	// Uneven makes a third of the workers slow and a third fast, and adds the faults of such cells: workers that leave with
	// notice or start again under their ID, and bursts of one account. The workers then show when they were started.
	Uneven bool
	// Duration is how long works are submitted and faults are injected. Works that remain have settleTimeout to end.
	Duration time.Duration
	// VMs and Workers are the numbers of entry VMs and workers, Rate is the number of works per second.
	VMs, Workers, Rate int
	// IdleQueues is how many more queues the configuration has, to which nobody submits.
	IdleQueues int
	// Program is the path of the entry program, Dir the directory for settings and logs.
	Program, Dir string
	// Net is the second and third byte of the loopback addresses, from 256 to 65535. Concurrent runs need different
	// values.
	Net int
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Submitted counts the works. Accepted, Refused and Unknown count them by the final answer to their callers.
	Submitted, Accepted, Refused, Unknown int
	// Runs counts the runs that workers have started.
	Runs int
	// Lags counts the versions of the configuration that a VM has put in force while no process was disturbed, WorstLag is
	// the longest time that one of them was behind the first VM.
	Lags     int
	WorstLag time.Duration
	// Stalls counts the times at which a VM stood still, by its log.
	Stalls int
	// Queues holds the statistics of each queue.
	Queues []QueueStats
	// Faults lists the injected faults with their times, Findings the violations.
	Faults, Findings []string
}

// QueueStats holds the statistics of the works of a queue.
type QueueStats struct {
	Name             string
	Works, Completed int
	// Median and Worst are latencies of completed works, from the first submission to the final state.
	Median, Worst time.Duration
}

// Table formats the statistics of the queues and the injected faults.
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

// String formats the totals and, if there are findings, the faults and findings.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d works, %d accepted, %d refused, %d unknown; %d runs, %d lags (worst %v), %d stalls, %d faults, %d findings\n",
		r.Seed, r.Submitted, r.Accepted, r.Refused, r.Unknown, r.Runs, r.Lags, r.WorstLag, r.Stalls, len(r.Faults), len(r.Findings))
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
	// bootTimeout is the timeout for the start of the cell: processes, leases and the first hold of each worker.
	bootTimeout = 15 * time.Second
	// settleTimeout is the timeout for accepted works to end after the last fault. A worker that was cut off keeps
	// its tasks for the length of its lease, a former owner may have extended that by 5 s, and up to three attempts
	// follow.
	settleTimeout = 45 * time.Second
)

// Run starts a cell, submits works and injects faults, waits until all works have ended, and returns a report.
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
	c.callers = callers
	if err := callers.awaitFirstWork(); err != nil {
		return nil, err
	}
	rep := &Report{Seed: o.Seed}
	var parts sync.WaitGroup
	parts.Go(func() { callers.submitAll(rand.New(rand.NewPCG(o.Seed, 1))) })
	if o.Faults {
		parts.Go(func() { rep.Faults = newFaultPlan(c, rand.New(rand.NewPCG(o.Seed, 2))).run() })
	}
	parts.Wait()
	callers.awaitCalls()
	callers.fillReport(rep)
	if err := c.lags.fillReport(c, rep); err != nil {
		return nil, err
	}
	return rep, nil
}
