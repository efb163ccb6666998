package main

import (
	"fmt"
	"os"
	"time"

	"gonum.org/v1/gonum/stat"

	"turmericgap/feature"
)

type features struct {
	opts *commonOptions
	Ops  string `long:"ops" value-name:"ADDRESS" required:"yes" description:"operators' address of any entry VM, IP number and port"`
}

// Execute lists the optional parts with their states, and sums up the learned speeds of workers.
func (f *features) Execute([]string) error {
	report, err := fetchPage[feature.Report](f.opts, f.Ops, "/features")
	if err != nil {
		return err
	}
	if f.opts.JSON {
		return printJSON(report)
	}
	t := newTable("FEATURE", "MODE", "IN EFFECT", "REASON", "SINCE")
	for i := range report.Features {
		t.row(featureCells(&report.Features[i])...)
	}
	if err := t.print(); err != nil {
		return err
	}
	fmt.Fprintln(os.Stdout, speedSummary(report.Speeds))
	return nil
}

func featureCells(s *feature.State) []string {
	effective, since := "no", "-"
	if s.Effective {
		effective = "yes"
	}
	if !s.Since.IsZero() {
		since = s.Since.Format(time.RFC3339)
	}
	return []string{string(s.Name), string(s.Mode), effective, string(s.Reason), since}
}

// speedSummary describes the distribution of the learned speeds; --json lists them all.
func speedSummary(speeds []feature.WorkerSpeed) string {
	if len(speeds) == 0 {
		return "speeds of workers: none learned yet"
	}
	factors := make([]float64, 0, len(speeds))
	for _, s := range speeds {
		factors = append(factors, s.Factor)
	}
	quantile := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, factors, nil) }
	return fmt.Sprintf("run times of %d workers, 1 is typical: fastest tenth up to %.2f, median %.2f, slowest tenth from %.2f",
		len(speeds), quantile(0.1), quantile(0.5), quantile(0.9))
}
