package day

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"
)

const (
	// tabPadding is the minimum space between two columns.
	tabPadding  = 2
	clockLayout = "15:04:05.000"
)

// printer writes tables as text and keeps the first error.
type printer struct {
	w   *tabwriter.Writer
	err error
}

func (p *printer) row(cells ...string) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.w, stripControls(strings.Join(cells, "\t")))
	}
}

// stripControls removes control characters, which a terminal would interpret. It keeps tabs.
func stripControls(s string) string {
	return strings.Map(func(r rune) rune {
		if r != '\t' && unicode.IsControl(r) {
			return -1
		}
		return r
	}, s)
}

// beginTable ends the previous table and prints the title and header of the next one.
func (p *printer) beginTable(title string, columns ...string) {
	if p.err == nil {
		p.err = p.w.Flush()
	}
	p.row("")
	p.row(title)
	if p.err == nil {
		p.err = p.w.Flush()
	}
	p.row(columns...)
}

// WriteText writes the report as plain text.
func (r *Report) WriteText(out io.Writer) error {
	p := &printer{w: tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)}
	p.row(fmt.Sprintf("%s to %s, %d lines, %d others, %d unreadable, %d of works beyond the bound",
		r.From.Format(time.RFC3339), r.Until.Format(time.RFC3339), r.Lines, r.Others, r.Unreadable, r.LeftOut))
	r.printGroups(p)
	r.printCoreSeconds(p)
	r.printAccounts(p)
	r.printStages(p)
	r.printRuns(p)
	r.printPermits(p)
	r.printWaits(p)
	r.printWindows(p)
	r.printConfiguration(p)
	r.printOwnersAndOutages(p)
	p.beginTable("Refused", "COUNT", "METHOD", "STATUS", "FIRST", "LAST", "FREE", "REASON")
	for i := range r.Refusals {
		f := &r.Refusals[i]
		p.row(fmt.Sprint(f.Count), f.Method, fmt.Sprint(f.Status), f.First.Format(clockLayout), f.Last.Format(clockLayout), fmt.Sprintf("%.2f", f.Free), f.Reason)
	}
	r.printGivenUp(p)
	printWorks(p, "Lost, the largest first", r.Lost)
	printWorks(p, "Slowest", r.Slowest)
	if p.err == nil {
		p.err = p.w.Flush()
	}
	return p.err
}

func (r *Report) printGivenUp(p *printer) {
	if len(r.GivenUp) == 0 {
		return
	}
	p.beginTable("Given up, as a task crashed its workers", "ID", "QUEUE", "AT", "TASK", "CRASHES", "LOSSES")
	for i := range r.GivenUp {
		g := &r.GivenUp[i]
		p.row(g.ID, g.Queue, g.At.Format(clockLayout), g.Task, fmt.Sprint(g.Crashes), fmt.Sprint(g.Losses))
	}
}

// scope describes the part of the queue that the group covers.
func (g *Group) scope() string {
	switch {
	case g.Class != "":
		return "size " + g.Class
	case g.Zone != "":
		return "zone " + g.Zone
	}
	return "all"
}

// formatShare formats a share, or a dash if no work was owed.
func formatShare(owed int, served float64) string {
	if owed == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", served)
}

func (r *Report) printGroups(p *printer) {
	p.beginTable("What became of works", "QUEUE", "OF", "WORKS", "SERVED", "IN TIME", "LATE", "LOST", "FAILED", "CANCELLED", "OPEN", "DONE", "MARGIN")
	for i := range r.Groups {
		g := &r.Groups[i]
		cells := []string{g.Queue, g.scope(), fmt.Sprint(g.Works), formatShare(g.Owed, g.Served)}
		for _, f := range outcomes {
			cells = append(cells, fmt.Sprint(g.Outcomes[f]))
		}
		cells = append(cells, fmt.Sprintf("%.2f", g.Done), fmt.Sprintf("%.2f", g.Margin))
		p.row(cells...)
	}
}

// printCoreSeconds prints the sizes of the works of whole queues by outcome.
func (r *Report) printCoreSeconds(p *printer) {
	all := make(map[Outcome]float64)
	var queues []*Group
	for i := range r.Groups {
		if g := &r.Groups[i]; g.Zone == "" && g.Class == "" {
			queues = append(queues, g)
			for o, n := range g.CoreSeconds {
				all[o] += n
			}
		}
	}
	if sumOutcomes(all) == 0 {
		return
	}
	p.beginTable("Core-seconds by outcome, with their share", "QUEUE", "TOTAL", "IN TIME", "LATE", "LOST", "FAILED", "CANCELLED", "OPEN")
	for _, g := range queues {
		p.row(coreSecondCells(g.Queue, g.CoreSeconds)...)
	}
	p.row(coreSecondCells("all", all)...)
}

func coreSecondCells(name string, byOutcome map[Outcome]float64) []string {
	total := sumOutcomes(byOutcome)
	cells := []string{name, fmt.Sprintf("%.0f", total)}
	for _, o := range outcomes {
		cells = append(cells, formatPart(byOutcome[o], total))
	}
	return cells
}

// sumOutcomes sums in a fixed order, which keeps the result reproducible.
func sumOutcomes(byOutcome map[Outcome]float64) float64 {
	sum := 0.0
	for _, o := range outcomes {
		sum += byOutcome[o]
	}
	return sum
}

func (r *Report) printStages(p *printer) {
	columns := []string{"QUEUE", "WORKS"}
	for _, s := range Stages {
		columns = append(columns, strings.ToUpper(string(s)))
	}
	p.beginTable("Time in each stage, ms, mean and 0.9 quantile", columns...)
	for i := range r.Groups {
		g := &r.Groups[i]
		cells := []string{g.Queue, g.scope()}
		for _, s := range Stages {
			cell := "-"
			for _, t := range g.Stages {
				if t.Stage == s {
					cell = fmt.Sprintf("%.0f %.0f", t.Mean, t.P90)
				}
			}
			cells = append(cells, cell)
		}
		p.row(cells...)
	}
}

// waitReasons lists the reasons why gangs wait, in the order of processing.
var waitReasons = []string{"service", "answer", "room", "reserved", "rest", "rule", "cap"}

func waitCells(seconds map[string]int) []string {
	cells := make([]string, 0, len(waitReasons))
	for _, reason := range waitReasons {
		cells = append(cells, fmt.Sprint(seconds[reason]))
	}
	return cells
}

func waitColumns() []string {
	columns := make([]string, 0, len(waitReasons))
	for _, reason := range waitReasons {
		columns = append(columns, strings.ToUpper(reason))
	}
	return columns
}

func (r *Report) printWaits(p *printer) {
	p.beginTable("How long steps waited, step-seconds", "QUEUE", "WORKS", "IN TIME", "LATE")
	for i := range r.Groups {
		if g := &r.Groups[i]; g.InTimeSeconds+g.LateSeconds > 0 {
			p.row(g.Queue, g.scope(), fmt.Sprint(g.InTimeSeconds), fmt.Sprint(g.LateSeconds))
		}
	}
	p.beginTable("What gangs waited for, gang-seconds", append([]string{"QUEUE", "WORKS"}, waitColumns()...)...)
	for i := range r.Groups {
		if g := &r.Groups[i]; len(g.GangSeconds) > 0 {
			p.row(append([]string{g.Queue, g.scope()}, waitCells(g.GangSeconds)...)...)
		}
	}
}

// printWindows prints the windows of whole queues only; the JSON report has those of all groups.
func (r *Report) printWindows(p *printer) {
	for i := range r.Groups {
		g := &r.Groups[i]
		if g.Zone != "" || g.Class != "" {
			continue
		}
		p.beginTable("Queue "+g.Queue+" by when works were accepted", append([]string{"SECOND", "WORKS", "SERVED", "TURN", "PERMITS", "BATCH", "AGAIN", "FULL", "ROOM"}, waitColumns()...)...)
		for _, w := range g.Windows {
			cells := []string{fmt.Sprintf("%.0f", w.After/1000), fmt.Sprint(w.Works), formatShare(w.Owed, w.Served)}
			for _, s := range stagesBeforeStart {
				cells = append(cells, fmt.Sprintf("%.0f", w.Stages[s]))
			}
			p.row(append(cells, waitCells(w.GangSeconds)...)...)
		}
	}
}

func (r *Report) printOwnersAndOutages(p *printer) {
	p.beginTable("Owners of the cell", "FROM", "UNTIL", "VM", "FENCE", "ENDED BY")
	for _, t := range r.Tenures {
		until := "-"
		if !t.Until.IsZero() {
			until = t.Until.Format(clockLayout)
		}
		p.row(t.From.Format(clockLayout), until, t.VM, fmt.Sprint(t.Fence), t.Reason)
	}
	p.beginTable("Load of the owner, the worst of two seconds", "SECOND", "LAG MS", "PASS MS", "WAITING STEPS", "QUESTIONS", "USABLE", "WORKERS")
	for i := range r.Loads {
		o := &r.Loads[i]
		p.row(fmt.Sprintf("%.0f", o.After/1000), fmt.Sprintf("%.0f", o.Lag), fmt.Sprintf("%.0f", o.Pass), fmt.Sprint(o.WaitingSteps),
			fmt.Sprint(o.Questions), fmt.Sprint(o.Usable), fmt.Sprint(o.Workers))
	}
	p.beginTable("Calls of the store without an answer", "FROM", "UNTIL", "CALLS")
	for _, o := range r.Outages {
		p.row(o.From.Format(clockLayout), o.Until.Format(clockLayout), fmt.Sprint(o.Calls))
	}
}

func printWorks(p *printer, title string, list []WorkDetail) {
	p.beginTable(title, "ID", "QUEUE", "ZONE", "CLASS", "CORE-SECONDS", "TOOK MS", "STAGES")
	for i := range list {
		n := &list[i]
		var stages []string
		for _, s := range Stages {
			if t, ok := n.Stages[s]; ok {
				stages = append(stages, fmt.Sprintf("%s %.0f", s, t))
			}
		}
		p.row(n.ID, n.Queue, n.Zone, n.Class, fmt.Sprintf("%.0f", n.CoreSeconds), fmt.Sprintf("%.0f", n.Took), strings.Join(stages, ", "))
		for _, l := range n.Lines {
			p.row("  " + l)
		}
	}
}
