package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"turmericgap/operate"
	"turmericgap/rule"
	"turmericgap/view"
)

type rulesDiff struct {
	opts    *commonOptions
	Version int64        `long:"version" description:"compare with a kept version instead of the one in force"`
	Args    fileArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the changes.
func (d *rulesDiff) Execute([]string) error {
	raw, err := readFile(d.Args.File)
	if err != nil {
		return err
	}
	to, err := rule.Parse(raw)
	if err != nil {
		return err
	}
	ctx, cancel := d.opts.context()
	defer cancel()
	s, e, err := d.opts.current(ctx)
	if err != nil {
		return err
	}
	if d.Version > 0 {
		if e, err = d.opts.findVersion(ctx, s, d.Version); err != nil {
			return err
		}
	}
	from, err := rule.Parse(e.Rules)
	if err != nil {
		return err
	}
	changes := operate.Diff(from.Document(), to.Document())
	if d.opts.JSON {
		return printJSON(append([]operate.Change{}, changes...))
	}
	fmt.Printf("from version %d (%s) to %s:\n", e.Version, e.Editor, d.Args.File)
	printChanges(changes)
	return nil
}

func printChanges(changes []operate.Change) {
	if len(changes) == 0 {
		fmt.Println("  no rule differs")
	}
	for _, c := range changes {
		fmt.Printf("  %-8s %s", c.Kind, c.Rule)
		if c.Kind == operate.Moved {
			fmt.Printf(" from place %d to %d", c.From, c.To)
		}
		fmt.Println()
		if c.Before != nil {
			fmt.Printf("    - %s\n", compactJSON(c.Before))
		}
		if c.After != nil {
			fmt.Printf("    + %s\n", compactJSON(c.After))
		}
	}
}

type rulesHistory struct{ opts *commonOptions }

// Execute lists the stored versions.
func (h *rulesHistory) Execute([]string) error {
	s, err := h.opts.openStore()
	if err != nil {
		return err
	}
	ctx, cancel := h.opts.context()
	defer cancel()
	l, err := operate.History(ctx, s)
	if err != nil {
		return h.opts.storeError(err)
	}
	if h.opts.JSON {
		return printJSON(l)
	}
	t := newTable("VERSION", "EDITOR", "AT", "RULES")
	for _, e := range l {
		var d rule.Document
		_ = json.Unmarshal(e.Rules, &d)
		t.row(strconv.FormatInt(e.Version, 10), e.Editor, e.At.Format(time.RFC3339), strconv.Itoa(len(d.Rules)))
	}
	return t.print()
}

type rulesRollback struct {
	opts   *commonOptions
	Editor string `long:"editor" env:"USER" required:"yes" description:"who edits"`
	Args   struct {
		Version int64 `positional-arg-name:"version"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the earlier rules as a new version.
func (r *rulesRollback) Execute([]string) error {
	ctx, cancel := r.opts.context()
	defer cancel()
	s, now, err := r.opts.current(ctx)
	if err != nil {
		return err
	}
	e, err := r.opts.findVersion(ctx, s, r.Args.Version)
	if err != nil {
		return err
	}
	return r.opts.writeRules(ctx, s, view.Edit{BaseVersion: now.Version, Raw: e.Rules, Editor: r.Editor})
}
