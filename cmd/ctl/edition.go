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
	cell    *common
	Version int64        `long:"version" description:"compare with a kept version instead of the one in force"`
	Args    fileArgument `positional-args:"yes" required:"yes"`
}

// Execute shows the changes.
func (d *rulesDiff) Execute([]string) error {
	raw, err := readFile(d.Args.File)
	if err != nil {
		return err
	}
	to, err := rule.Parse(raw)
	if err != nil {
		return err
	}
	ctx, cancel := d.cell.context()
	defer cancel()
	s, e, err := d.cell.current(ctx)
	if err != nil {
		return err
	}
	if d.Version > 0 {
		if e, err = d.cell.edition(ctx, s, d.Version); err != nil {
			return err
		}
	}
	from, err := rule.Parse(e.Rules)
	if err != nil {
		return err
	}
	changes := operate.Diff(from.Document(), to.Document())
	if d.cell.JSON {
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
			fmt.Printf("    - %s\n", compact(c.Before))
		}
		if c.After != nil {
			fmt.Printf("    + %s\n", compact(c.After))
		}
	}
}

type rulesHistory struct{ cell *common }

// Execute lists the editions.
func (h *rulesHistory) Execute([]string) error {
	s, err := h.cell.openStore()
	if err != nil {
		return err
	}
	ctx, cancel := h.cell.context()
	defer cancel()
	l, err := operate.History(ctx, s)
	if err != nil {
		return h.cell.storeError(err)
	}
	if h.cell.JSON {
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
	cell   *common
	Editor string `long:"editor" env:"USER" required:"yes" description:"who edits"`
	Args   struct {
		Version int64 `positional-arg-name:"version"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the earlier rules as a new version.
func (r *rulesRollback) Execute([]string) error {
	ctx, cancel := r.cell.context()
	defer cancel()
	s, now, err := r.cell.current(ctx)
	if err != nil {
		return err
	}
	e, err := r.cell.edition(ctx, s, r.Args.Version)
	if err != nil {
		return err
	}
	return r.cell.write(ctx, s, view.Edit{BaseVersion: now.Version, Raw: e.Rules, Editor: r.Editor})
}
