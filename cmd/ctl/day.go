package main

import (
	"fmt"
	"io"
	"os"

	"github.com/schollz/progressbar/v3"

	"turmericgap/day"
	"turmericgap/finding"
)

// progressFrom is how large a log must be for a progress bar: smaller ones are read in a second.
const progressFrom = 32 << 20

type dayReport struct {
	cell  *common
	Page  string `long:"page" value-name:"FILE" description:"write the report as an HTML page with plots as well"`
	Named int    `long:"named" default:"10" description:"how many lost and how many slow works are named, with their lines where the log is a file"`
	Args  struct {
		Logs []string `positional-arg-name:"LOG" description:"file of JSON log lines, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute reports a day from the logs of entry VMs.
func (c *dayReport) Execute([]string) error {
	var wrong finding.List
	if len(c.Args.Logs) == 0 {
		wrong.Add("LOG", "name a file, or - for standard input")
	}
	if c.Named < 0 {
		wrong.Add("--named", "%d is below 0", c.Named)
	}
	for _, name := range c.Args.Logs {
		if info, err := os.Stat(name); name != "-" && (err != nil || info.IsDir()) {
			wrong.Add(name, "is no file that can be read")
		}
	}
	if err := wrong.Err(); err != nil {
		return err
	}
	d := day.New(day.MaxNamed(c.Named))
	for _, name := range c.Args.Logs {
		if err := read(name, "reading "+name, func(in io.Reader) error { return d.Read(in, name) }); err != nil {
			return err
		}
	}
	r := d.Report()
	for _, name := range c.Args.Logs {
		if name == "-" {
			continue
		}
		if err := read(name, "finding lines in "+name, r.AttachLines); err != nil {
			return err
		}
	}
	if err := c.write(r); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return &exit{exitUsage, fmt.Errorf("the report is without the lines that cannot be read: %w", r.Findings)}
	}
	return nil
}

// read opens a log, with a progress bar on standard error where it is long and somebody watches.
func read(name, doing string, take func(io.Reader) error) error {
	if name == "-" {
		return take(os.Stdin)
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
	if info.Size() < progressFrom || !watched() {
		return take(f)
	}
	bar := progressbar.DefaultBytes(info.Size(), doing)
	in := progressbar.NewReader(f, bar)
	return take(&in)
}

// watched reports whether standard error is a terminal.
func watched() bool {
	info, err := os.Stderr.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (c *dayReport) write(r *day.Report) error {
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
	if c.cell.JSON {
		return printJSON(r)
	}
	return r.WriteText(os.Stdout)
}
