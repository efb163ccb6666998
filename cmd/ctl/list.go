package main

import (
	"context"
	"fmt"
	"strconv"

	"turmericgap/operate"
	"turmericgap/planner"
	"turmericgap/worker"
)

type workers struct {
	opts *commonOptions
	Zone string `long:"zone" description:"only this zone"`
}

// workerRow is one worker in the output of workers. Load is nil if the owner of its zone does not answer.
type workerRow struct {
	worker.Info
	Load *planner.Load `json:"load,omitempty"`
}

// Execute lists the workers.
func (w *workers) Execute([]string) error {
	return w.opts.withScheduler(func(ctx context.Context, n *schedulerConn) error {
		cell := operate.Collect(ctx, n.pool, n.view, nil)
		rows := w.rows(&cell)
		if w.opts.JSON {
			return printJSON(rows)
		}
		t := newTable("WORKER", "ZONE", "RACK", "ADDRESS", "HAS", "TASKS", "PACKING", "STATE")
		for i := range rows {
			t.row(rows[i].cells()...)
		}
		if err := t.print(); err != nil {
			return err
		}
		return missingZones(cell.Zones)
	})
}

func (w *workers) rows(c *operate.Cell) []workerRow {
	loads := make(map[string]*planner.Load)
	for i := range c.Zones {
		if s := c.Zones[i].State; s != nil {
			for k := range s.Workers {
				loads[s.Workers[k].Info.ID] = &s.Workers[k]
			}
		}
	}
	rows := []workerRow{}
	for _, info := range c.View.Workers {
		if w.Zone == "" || info.Zone == w.Zone {
			rows = append(rows, workerRow{info, loads[info.ID]})
		}
	}
	return rows
}

func (r *workerRow) cells() []string {
	tasks, packing, state := "?", "?", "not known"
	if l := r.Load; l != nil {
		tasks, packing, state = strconv.Itoa(l.Tasks), fmt.Sprintf("%.0f%%", 100*l.Packing()), l.State()
	}
	if r.Leaving {
		state = "leaving"
	}
	return []string{r.ID, r.Zone, r.Rack, r.Address, formatResources(r.Has), tasks, packing, state}
}

type targets struct {
	opts *commonOptions
	Zone string `long:"zone" description:"only this zone"`
}

// Execute lists the targets.
func (g *targets) Execute([]string) error {
	return g.opts.withScheduler(func(_ context.Context, n *schedulerConn) error {
		rows := n.view.Targets[:0:0]
		for _, t := range n.view.Targets {
			if g.Zone == "" || t.Zone == g.Zone {
				rows = append(rows, t)
			}
		}
		if g.opts.JSON {
			return printJSON(rows)
		}
		t := newTable("TARGET", "SERVICE", "ZONE", "ADDRESS", "SLOTS", "LEAVING")
		for _, r := range rows {
			t.row(r.ID, r.Service, r.Zone, r.Address, strconv.Itoa(r.Slots), strconv.FormatBool(r.Leaving))
		}
		return t.print()
	})
}
