package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/route"
	"turmericgap/rpc"
)

type jobs struct {
	opts  *commonOptions
	Zone  string `long:"zone" description:"only this zone"`
	Limit int    `long:"most" default:"50" description:"the most jobs of each zone"`
}

// Execute lists jobs. If a zone does not answer, it prints the others and returns an error for that zone.
func (j *jobs) Execute([]string) error {
	return j.opts.withScheduler(func(ctx context.Context, n *schedulerConn) error {
		zones := n.zones()
		if j.Zone != "" {
			zones = []string{j.Zone}
		}
		all := []job.Status{}
		var missing []error
		for _, zone := range zones {
			l, err := n.route().List(ctx, zone, j.Limit)
			if err != nil {
				missing = append(missing, fmt.Errorf("zone %s is not shown: %w", zone, err))
			}
			all = append(all, l...)
		}
		if err := j.print(all); err != nil {
			return err
		}
		return errors.Join(missing...)
	})
}

func (j *jobs) print(all []job.Status) error {
	if j.opts.JSON {
		return printJSON(all)
	}
	t := newTable("JOB", "ZONE", "STATE", "OUTCOME", "RULE", "TASKS", "ACCEPTED", "REASON")
	for i := range all {
		s := &all[i]
		t.row(s.ID, s.Zone, string(s.State), string(s.Outcome), s.Rule, strconv.Itoa(len(s.Tasks)), s.Accepted.Format(time.RFC3339), s.Reason)
	}
	return t.print()
}

type why struct {
	opts *commonOptions
	Args jobArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the job's state and what it waits for.
func (w *why) Execute([]string) error {
	if route.ZoneOf(w.Args.ID) == "" {
		return finding.List{{Path: "job", Reason: "must be an id such as zone.1a2b, as 'ctl jobs' shows it"}}
	}
	return w.opts.withScheduler(func(ctx context.Context, n *schedulerConn) error {
		x, err := n.route().Explain(ctx, w.Args.ID)
		if fault := rpc.AsFault(err); fault != nil && fault.Code == rpc.CodeNotFound {
			return &exitError{exitFailed, fmt.Errorf("job %s is not known: its id may be wrong, or it ended long ago; see 'ctl jobs'", w.Args.ID)}
		}
		if err != nil {
			return fmt.Errorf("%w; see the zone's owner in 'ctl members'", err)
		}
		if w.opts.JSON {
			return printJSON(x)
		}
		printJobExplanation(x)
		return nil
	})
}

func printJobExplanation(x *route.Explanation) {
	e := &x.Explanation
	fmt.Printf("job %s: %s %s %s\n", x.Status.ID, x.Status.State, x.Status.Outcome, x.Status.Reason)
	if !e.Known {
		fmt.Println("  nothing of it waits or runs")
		return
	}
	fmt.Printf("  %d tasks wait, %d run; each is charged %s\n", e.Pending, e.Running, formatResources(e.Charge))
	fmt.Printf("  pool %s holds %s\n", e.Pool, formatResources(e.Holds))
	if e.WaitsFor != "" {
		fmt.Println("  waits for " + e.WaitsFor)
	}
	if !e.LateAt.IsZero() {
		fmt.Println("  goes before others from " + e.LateAt.UTC().Format(time.RFC3339))
	}
	printExplanation(&e.Rules)
}

func formatResources(r job.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", r.Millicores, r.MemoryMB, r.Accelerators)
}
