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
	cell *common
	Zone string `long:"zone" description:"only this zone"`
	Most int    `long:"most" default:"50" description:"the most jobs of each zone"`
}

// Execute lists jobs; a zone without an answer is said to be so, and the rest is shown.
func (j *jobs) Execute([]string) error {
	return j.cell.with(func(ctx context.Context, n *near) error {
		asked := n.zones()
		if j.Zone != "" {
			asked = []string{j.Zone}
		}
		all := []job.Status{}
		var missing []error
		for _, zone := range asked {
			l, err := n.route().List(ctx, zone, j.Most)
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
	if j.cell.JSON {
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
	cell *common
	Args jobArgument `positional-args:"yes" required:"yes"`
}

// Execute explains the job.
func (w *why) Execute([]string) error {
	if route.ZoneOf(w.Args.ID) == "" {
		return finding.List{{Path: "job", Reason: "must be an id such as zone.1a2b, as 'ctl jobs' shows it"}}
	}
	return w.cell.with(func(ctx context.Context, n *near) error {
		x, err := n.route().Explain(ctx, w.Args.ID)
		if fault := rpc.AsFault(err); fault != nil && fault.Code == rpc.CodeNotFound {
			return &exit{exitFailed, fmt.Errorf("job %s is not known: its id may be wrong, or it ended long ago; see 'ctl jobs'", w.Args.ID)}
		}
		if err != nil {
			return fmt.Errorf("%w; see the zone's owner in 'ctl members'", err)
		}
		if w.cell.JSON {
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
	fmt.Printf("  %d tasks wait, %d run; each is charged %s\n", e.Pending, e.Running, amount(e.Charge))
	fmt.Printf("  pool %s holds %s\n", e.Pool, amount(e.Holds))
	if e.WaitsFor != "" {
		fmt.Println("  waits for " + e.WaitsFor)
	}
	if !e.LateAt.IsZero() {
		fmt.Println("  goes before others from " + e.LateAt.UTC().Format(time.RFC3339))
	}
	printExplanation(&e.Rules)
}

func amount(r job.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", r.Millicores, r.MemoryMB, r.Accelerators)
}
