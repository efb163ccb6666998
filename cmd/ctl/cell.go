package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"turmericgap/member"
	"turmericgap/operate"
	"turmericgap/route"
	"turmericgap/rpc"
	"turmericgap/view"
)

func cellCommands(c *commonOptions) []command {
	return []command{
		{"inforce", "show which rules each process has", "Shows, process by process, the rules' version and when it was last heard of. Exit code 6 says that some process lacks the newest.", &inForce{opts: c}},
		{"jobs", "list jobs", "Lists the jobs of a zone or of all, live ones first.", &jobs{opts: c}},
		{"why", "say what a job waits for", "Shows where a job stands, which rule decided, why those before it did not hold, and what the job waits for.", &why{opts: c}},
		{"members", "show the processes of the cell", "Shows the member tables of all zones, and who owns each zone.", &members{opts: c}},
		{"workers", "list workers", "Lists the workers of the VM list with what their tasks are charged.", &workers{opts: c}},
		{"targets", "list targets", "Lists the targets of the VM list.", &targets{opts: c}},
		{"accounts", "list client accounts", "Lists the client accounts of a cell on the users' platform with what they use, their caps, what waits and why, and how many submissions the present owner has refused. An entry VM that does not own the cell asks the owner.", &accounts{opts: c}},
		{"features", "list optional parts", "Lists the optional parts of a cell on the users' platform: the operators' mode, whether each is in effect, why and since when, and how the learned speeds of workers are distributed. With --json it lists the speed of each worker. An entry VM that does not own the cell asks the owner.", &features{opts: c}},
		{"day", "report a day from logs", "Reads the JSON log lines of entry VMs, in any order, and reports what became of works by queue, zone and size and of their core-seconds, how long they spent in each stage of their path, what they waited for, how permits were used, which works were late by the speed of their workers, which runs took far longer than usual, what was refused and why, how late versions of the configuration came into force, owners and outages, and the works that were lost or slowest. Lines that cannot be read are reported after it, with exit code 2.", &dayReport{opts: c}},
		{"zones", "show the zones", "Shows owner, queues, packing, ejections and last failed jobs of each zone.", &zones{opts: c}},
	}
}

// schedulerConn holds the view of the chosen scheduler and a connection pool.
type schedulerConn struct {
	opts *commonOptions
	pool *rpc.Pool
	view *view.View
}

// connect reads the view of the scheduler given by --scheduler.
func (c *commonOptions) connect(ctx context.Context) (*schedulerConn, error) {
	n := &schedulerConn{opts: c, pool: rpc.NewPool()}
	r, err := rpc.Call[view.NextRequest, view.NextReply](ctx, n.pool.Get(c.Scheduler), view.NextMethod, &view.NextRequest{Workers: true})
	if err != nil {
		n.pool.Close()
		return nil, c.schedulerError(err)
	}
	n.view = &r.View
	return n, nil
}

func (c *commonOptions) schedulerError(err error) error {
	return &exitError{exitFailed, fmt.Errorf("the scheduler at %s gave no answer (%w); try another with --scheduler", c.Scheduler, err)}
}

// withScheduler calls f with a connection to the chosen scheduler and closes the connection afterwards.
func (c *commonOptions) withScheduler(f func(ctx context.Context, n *schedulerConn) error) error {
	ctx, cancel := c.context()
	defer cancel()
	n, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer n.pool.Close()
	return f(ctx, n)
}

func (n *schedulerConn) state(ctx context.Context) (*operate.State, error) {
	s, err := rpc.Call[operate.StateRequest, operate.State](ctx, n.pool.Get(n.opts.Scheduler), operate.CallState, &operate.StateRequest{})
	if err != nil {
		return nil, n.opts.schedulerError(err)
	}
	return s, nil
}

func (n *schedulerConn) owner(zone string) (string, bool) {
	t, _ := n.view.Table(zone, member.RoleScheduler)
	m, ok := t.Find(t.Owner)
	return m.Address, ok
}

func (n *schedulerConn) zones() []string {
	var out []string
	for _, t := range n.view.Tables {
		if t.Role == member.RoleScheduler {
			out = append(out, t.Zone)
		}
	}
	return out
}

func (n *schedulerConn) route() *route.Client {
	return &route.Client{Zones: n.zones(), Owner: n.owner, Pool: n.pool}
}

type inForce struct{ opts *commonOptions }

// inForceReport is the JSON output of inforce.
type inForceReport struct {
	// Newest is the newest version known in the store or in any process.
	Newest    int64          `json:"newest"`
	Behind    int            `json:"behind"`
	Processes []view.Process `json:"processes"`
}

// Execute compares the rules of every process with the newest version.
func (f *inForce) Execute([]string) error {
	return f.opts.withScheduler(func(ctx context.Context, n *schedulerConn) error {
		s, err := n.state(ctx)
		if err != nil {
			return err
		}
		r := newInForceReport(s, f.opts.storedVersion(ctx))
		if f.opts.JSON {
			err = printJSON(&r)
		} else {
			err = r.print(s.At)
		}
		if err == nil && r.Behind > 0 {
			err = &exitError{exitBehind, fmt.Errorf("%d of %d processes are not known to have version %d; ask again in some seconds, then see 'ctl members'", r.Behind, len(r.Processes), r.Newest)}
		}
		return err
	})
}

// storedVersion returns the rules' version in the store, or zero if the store does not answer.
func (c *commonOptions) storedVersion(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, operate.StateTimeout)
	defer cancel()
	kv, err := c.openStore()
	if err != nil {
		return 0
	}
	e, err := operate.Current(ctx, kv)
	if err != nil {
		fmt.Fprintf(os.Stderr, "ctl: %s\nctl: comparing the processes with each other only\n", oneLine(err))
	}
	return e.Version
}

// newInForceReport counts a process as behind if it has older rules or has not been heard of recently.
func newInForceReport(s *operate.State, stored int64) inForceReport {
	r := inForceReport{Newest: stored, Processes: append([]view.Process{}, s.InForce...)}
	for _, p := range s.InForce {
		r.Newest = max(r.Newest, p.Rules)
	}
	for _, p := range s.InForce {
		if p.Rules < r.Newest || s.At.Sub(p.Heard) > operate.SilentAfter {
			r.Behind++
		}
	}
	return r
}

func (r *inForceReport) print(at time.Time) error {
	fmt.Printf("newest rules: version %d\n", r.Newest)
	t := newTable("PROCESS", "ROLE", "ZONE", "ADDRESS", "RULES", "HEARD")
	for _, p := range r.Processes {
		t.row(p.ID, p.Role, p.Zone, p.Address, strconv.FormatInt(p.Rules, 10), formatAge(at, p.Heard))
	}
	return t.print()
}

func formatAge(now, then time.Time) string {
	if then.IsZero() {
		return "never"
	}
	return max(0, now.Sub(then)).Round(time.Second).String() + " ago"
}

type members struct{ opts *commonOptions }

// membersReport is the JSON output of members.
type membersReport struct {
	Asked  member.Status  `json:"asked"`
	Tables []member.Table `json:"tables"`
	// Present holds the presence keys of the members that have a lease.
	Present map[string]bool `json:"present"`
}

// Execute prints the member tables.
func (m *members) Execute([]string) error {
	return m.opts.withScheduler(func(ctx context.Context, n *schedulerConn) error {
		s, err := n.state(ctx)
		if err != nil {
			return err
		}
		r := membersReport{s.Members, n.view.Tables, n.view.Present}
		if m.opts.JSON {
			return printJSON(&r)
		}
		return r.print()
	})
}

func (r *membersReport) print() error {
	t := newTable("ZONE", "ROLE", "MEMBER", "VM", "ADDRESS", "STATE", "LEASE", "OWNER")
	for _, tab := range r.Tables {
		for _, m := range tab.Members {
			lease, owner := "absent", ""
			if r.Present[member.PresenceKey(m.Zone, m.Role, m.ID)] {
				lease = "there"
			}
			if tab.Owner == m.ID {
				owner = "epoch " + strconv.FormatInt(tab.Epoch, 10)
			}
			t.row(m.Zone, m.Role, m.ID, m.VM, m.Address, string(m.State), lease, owner)
		}
	}
	if err := t.print(); err != nil {
		return err
	}
	a := &r.Asked
	fmt.Printf("\nasked %s: valid %t by %s, lease left %s\n", a.Self.ID, a.Valid, a.Basis, time.Duration(a.LeaseMillis)*time.Millisecond)
	for _, p := range a.Peers {
		fmt.Printf("  %s is %s, heard %s ago\n", stripControls(p.Member.ID), p.Health, time.Duration(p.LastHeardMillis)*time.Millisecond)
	}
	return nil
}

type zones struct{ opts *commonOptions }

// Execute prints the state of each zone as its owner reports it.
func (z *zones) Execute([]string) error {
	return z.opts.withScheduler(func(ctx context.Context, n *schedulerConn) error {
		cell := operate.Collect(ctx, n.pool, n.view, nil)
		if z.opts.JSON {
			return printJSON(cell.Zones)
		}
		for i := range cell.Zones {
			printZone(&cell.Zones[i], cell.At)
		}
		return missingZones(cell.Zones)
	})
}

// missingZones returns an error that names each zone without a state, or nil.
func missingZones(l []operate.Zone) error {
	var out []error
	for i := range l {
		if l[i].State == nil {
			out = append(out, fmt.Errorf("zone %s is not shown: %s", l[i].Name, l[i].Problem))
		}
	}
	return errors.Join(out...)
}

func printZone(z *operate.Zone, now time.Time) {
	fmt.Printf("zone %s, owner %s", z.Name, z.Owner)
	if z.State == nil {
		fmt.Println(": " + stripControls(z.Problem))
		return
	}
	s := z.State
	fmt.Printf(", epoch %d: %d live jobs, %d running tasks, %d of %d workers open, packing %.0f%%, %d refused\n",
		s.Epoch, s.Live, s.Stats.Running, s.Stats.Open, s.Stats.Workers, 100*s.Stats.Packing, s.Refused)
	if warning := z.Warning(); warning != "" {
		fmt.Println("  " + warning)
	}
	for _, class := range operate.PendingClasses(s.Stats.Pending) {
		fmt.Printf("  %d tasks of class %s wait\n", s.Stats.Pending[class], stripControls(class))
	}
	for _, e := range s.Ejections {
		fmt.Printf("  %s is %s since %s: %s\n", stripControls(e.ID), e.State, formatAge(now, e.Since), stripControls(e.Reason))
	}
	for _, e := range s.Ends {
		fmt.Printf("  job %s, %s, was %s: %s\n", stripControls(e.Job), formatAge(now, e.Ended), e.Outcome, stripControls(e.Reason))
	}
}
