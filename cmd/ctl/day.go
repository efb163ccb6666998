package main

import (
	"fmt"
	"io"
	"os"

	"github.com/schollz/progressbar/v3"

	"turmericgap/day"
	"turmericgap/finding"
)

// minProgressBytes is the smallest log that gets a progress bar. Smaller ones are read within a second.
const minProgressBytes = 32 << 20

type dayReport struct {
	opts     *commonOptions
	Page     string `long:"page" value-name:"FILE" description:"write the report as an HTML page with plots as well"`
	MaxNamed int    `long:"named" default:"10" description:"how many lost and how many slow works are named, with their lines where the log is a file"`
	Args     struct {
		Logs []string `positional-arg-name:"LOG" description:"file of JSON log lines, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints a report on a day from the logs of entry VMs.
func (c *dayReport) Execute([]string) error {
	var findings finding.List
	if len(c.Args.Logs) == 0 {
		findings.Add("LOG", "name a file, or - for standard input")
	}
	if c.MaxNamed < 0 {
		findings.Add("--named", "%d is below 0", c.MaxNamed)
	}
	for _, name := range c.Args.Logs {
		if info, err := os.Stat(name); name != "-" && (err != nil || info.IsDir()) {
			findings.Add(name, "is not a readable file")
		}
	}
	if err := findings.Err(); err != nil {
		return err
	}
	d := day.New(day.MaxNamed(c.MaxNamed))
	for _, name := range c.Args.Logs {
		if err := readLog(name, "reading "+name, func(in io.Reader) error { return d.Read(in, name) }); err != nil {
			return err
		}
	}
	r := d.Report()
	for _, name := range c.Args.Logs {
		if name == "-" {
			continue
		}
		if err := readLog(name, "finding lines in "+name, r.AttachLines); err != nil {
			return err
		}
	}
	if err := c.writeReport(r); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return &exitError{exitUsage, fmt.Errorf("the report omits unreadable lines: %w", r.Findings)}
	}
	return nil
}

// readLog passes a log to process. It shows a progress bar if the log is long and standard error is a terminal.
func readLog(name, label string, process func(io.Reader) error) error {
	if name == "-" {
		return process(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if info.Size() < minProgressBytes || !stderrIsTerminal() {
		return process(f)
	}
	bar := progressbar.DefaultBytes(info.Size(), label)
	in := progressbar.NewReader(f, bar)
	return process(&in)
}

// stderrIsTerminal reports whether standard error is a terminal.
func stderrIsTerminal() bool {
	info, err := os.Stderr.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (c *dayReport) writeReport(r *day.Report) error {
	if c.Page != "" {
		f, err := os.Create(c.Page)
		if err != nil {
			return err
		}
		if err := r.WritePage(f); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	if c.opts.JSON {
		return printJSON(r)
	}
	return r.WriteText(os.Stdout)
}
