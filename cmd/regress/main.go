// Command regress compares the scores of sites with those of the last landing; script/regress.sh plays them.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"turmericgap/platform/bench"
)

// Codes of exit.
const (
	// exitWorse means that a rule broke, a gate failed or a mean fell by more than worthLess.
	exitWorse = 1
	// exitFindings means wrong flags, or files that cannot be read.
	exitFindings = 2
)

// worthLess is how much less a site may be worth than at the last landing: what one score differs from another.
const worthLess = 0.03

type options struct {
	Against string `long:"against" value-name:"FILE" description:"the scores of the last landing; none are compared without it"`
	Keep    string `long:"keep" value-name:"FILE" description:"write these scores, for the next landing"`
	Args    struct {
		Entries []string `positional-arg-name:"ENTRY" required:"1" description:"entries of scores in the journal"`
	} `positional-args:"yes"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		fmt.Fprintln(errs, "regress:", err)
		if flags.WroteHelp(err) {
			return 0
		}
		return exitFindings
	}
	var findings []error
	var scores []*bench.Score
	for _, path := range o.Args.Entries {
		s, err := bench.ReadScore(path)
		if err != nil {
			findings = append(findings, err)
			continue
		}
		scores = append(scores, s)
	}
	last, err := readLast(o.Against)
	if err != nil {
		findings = append(findings, err)
	}
	worse, err := compare(out, scores, last)
	if err != nil {
		findings = append(findings, err)
	}
	if err := keep(o.Keep, scores); err != nil {
		findings = append(findings, err)
	}
	for _, f := range findings {
		fmt.Fprintln(errs, "regress:", f)
	}
	switch {
	case len(findings) > 0:
		return exitFindings
	case worse:
		return exitWorse
	}
	return 0
}

// readLast reads the scores of the last landing, by site.
func readLast(path string) (map[string]*bench.Score, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list []*bench.Score
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	last := make(map[string]*bench.Score, len(list))
	for _, s := range list {
		last[s.Site] = s
	}
	return last, nil
}

func keep(path string, scores []*bench.Score) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(scores, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// compare prints a row for each site and then what is wrong, and tells whether anything is.
func compare(out io.Writer, scores []*bench.Score, last map[string]*bench.Score) (worse bool, err error) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "site\tdays\tworth\tlast landing\tdifference\tgate\trules broken\tclasses short\t")
	var wrong []string
	for _, s := range scores {
		before, differs := "-", "-"
		if l := last[s.Site]; l != nil {
			before, differs = fmt.Sprintf("%.3f", l.Worth), fmt.Sprintf("%+.3f", s.Worth-l.Worth)
			if s.Worth < l.Worth-worthLess {
				wrong = append(wrong, fmt.Sprintf("%s: worth %.3f, %.3f at the last landing", s.Site, s.Worth, l.Worth))
			}
		}
		gate := "passed"
		if !s.Gate {
			gate = "failed"
			wrong = append(wrong, s.Site+": gate failed")
		}
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\t%s\t%s\t%d\t%d\t\n", s.Site, s.Days, s.Worth, before, differs, gate, len(s.Broken), len(s.Short))
		for _, b := range s.Broken {
			wrong = append(wrong, s.Site+" "+b)
		}
		for _, b := range s.Short {
			wrong = append(wrong, s.Site+" below its floor, "+b)
		}
	}
	if err := t.Flush(); err != nil {
		return false, err
	}
	for _, w := range wrong {
		fmt.Fprintln(out, w)
	}
	return len(wrong) > 0, nil
}
