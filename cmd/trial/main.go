// Command trial compares the results of two versions of the code, which script/paired.sh produces.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"turmericgap/platform/bench"
	"turmericgap/trial"
)

// exitFindings means that flags are wrong or reports cannot be read.
const exitFindings = 2

type options struct {
	JSON string `long:"json" value-name:"FILE" description:"write the whole comparison as JSON as well"`
	Plot string `long:"plot" value-name:"FILE" description:"write a plot as well; .svg, .png or .pdf"`
	Args struct {
		Old string `positional-arg-name:"OLD" description:"folder with the reports of the old version"`
		New string `positional-arg-name:"NEW" description:"folder with those of the new one"`
	} `positional-args:"yes" required:"yes"`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		fmt.Fprintln(errs, "trial:", err)
		if flags.WroteHelp(err) {
			return 0
		}
		return exitFindings
	}
	old, findings := bench.ReadReports(o.Args.Old)
	current, newFindings := bench.ReadReports(o.Args.New)
	findings = append(findings, newFindings...)
	c := trial.Compare(old, current)
	for _, write := range []func() error{
		func() error { return c.Print(out) },
		func() error { return writeJSON(c, o.JSON) },
		func() error { return writePlot(c, o.Plot) },
	} {
		if err := write(); err != nil {
			findings = append(findings, err)
		}
	}
	for _, f := range findings {
		fmt.Fprintln(errs, "trial:", f)
	}
	if len(findings) > 0 {
		return exitFindings
	}
	return 0
}

func writeJSON(c *trial.Comparison, path string) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

func writePlot(c *trial.Comparison, path string) error {
	if path == "" {
		return nil
	}
	return c.Plot(path)
}
