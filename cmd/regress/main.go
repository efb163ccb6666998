// Command regress compares the scores of sites with those of the last landing. script/regress.sh produces the scores.
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

// Exit codes.
const (
	// exitRegression means that a rule was broken, a gate failed or the worth of a site fell by more than maxWorthDrop.
	exitRegression = 1
	// exitFindings means that flags are wrong or files cannot be read.
	exitFindings = 2
)

// maxWorthDrop is the tolerated drop of a site's worth since the last landing. Scores vary by as much from run to run.
const maxWorthDrop = 0.03

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
	baseline, err := readBaseline(o.Against)
	if err != nil {
		findings = append(findings, err)
	}
	regressed, err := compare(out, scores, baseline)
	if err != nil {
		findings = append(findings, err)
	}
	if err := writeScores(o.Keep, scores); err != nil {
		findings = append(findings, err)
	}
	for _, f := range findings {
		fmt.Fprintln(errs, "regress:", f)
	}
	switch {
	case len(findings) > 0:
		return exitFindings
	case regressed:
		return exitRegression
	}
	return 0
}

// readBaseline reads the scores of the last landing and returns them by site.
func readBaseline(path string) (map[string]*bench.Score, error) {
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
	baseline := make(map[string]*bench.Score, len(list))
	for _, s := range list {
		baseline[s.Site] = s
	}
	return baseline, nil
}

func writeScores(path string, scores []*bench.Score) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(scores, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// compare prints a row for each site and then all regressions, and reports whether there are any.
func compare(out io.Writer, scores []*bench.Score, baseline map[string]*bench.Score) (regressed bool, err error) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "site\tdays\tworth\tlast landing\tdifference\tgate\trules broken\tclasses short\t")
	var regressions []string
	for _, s := range scores {
		before, differs := "-", "-"
		if l := baseline[s.Site]; l != nil {
			before, differs = fmt.Sprintf("%.3f", l.Worth), fmt.Sprintf("%+.3f", s.Worth-l.Worth)
			if s.Worth < l.Worth-maxWorthDrop {
				regressions = append(regressions, fmt.Sprintf("%s: worth %.3f, %.3f at the last landing", s.Site, s.Worth, l.Worth))
			}
		}
		gate := "passed"
		if !s.Gate {
			gate = "failed"
			regressions = append(regressions, s.Site+": gate failed")
		}
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%s\t%s\t%s\t%d\t%d\t\n", s.Site, s.Days, s.Worth, before, differs, gate, len(s.Broken), len(s.Short))
		for _, b := range s.Broken {
			regressions = append(regressions, s.Site+" "+b)
		}
		for _, b := range s.Short {
			regressions = append(regressions, s.Site+" below its floor, "+b)
		}
	}
	if err := t.Flush(); err != nil {
		return false, err
	}
	for _, w := range regressions {
		fmt.Fprintln(out, w)
	}
	return len(regressions) > 0, nil
}
