package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/operate"
	_ "turmericgap/platform" // The key-value service of the users' platform.
	"turmericgap/rule"
	"turmericgap/rule/standard"
	"turmericgap/store"
	_ "turmericgap/store/etcd" // The platform's key-value service.
	"turmericgap/view"
)

// rulesWord is the command that holds those about rules.
type rulesWord struct{}

func rulesCommands(c *common) []command {
	return []command{
		{"get", "print the rules in force", "Prints the rule document that the store holds, ready to be edited; its version is what 'rules set' takes as --base.", &rulesGet{cell: c}},
		{"check", "check a rule document", "Reports every finding of a document with its place. Asks no cell.", &rulesCheck{cell: c}},
		{"set", "put rules in force", "Writes a document unless another edit came since --base; then nothing is written and both documents are shown.", &rulesSet{cell: c}},
		{"diff", "compare a document with the rules in force", "Shows the rules that were added, removed, changed or moved.", &rulesDiff{cell: c}},
		{"history", "list the versions that are kept", "Lists the last 16 versions with editor and time, the newest first.", &rulesHistory{cell: c}},
		{"rollback", "put an earlier version in force again", "Writes the rules of a kept version as a new version.", &rulesRollback{cell: c}},
		{"explain", "say which rule decides a submission", "Judges a hypothetical submission now: which rule holds, and why those before it do not. Nothing is submitted.", &rulesExplain{cell: c}},
	}
}

func (c *common) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Duration(c.Seconds)*time.Second)
}

func (c *common) openStore() (*store.Store, error) { return store.Open(c.StoreKind, c.Store) }

// storeError says what to do about a store that does not answer.
func (c *common) storeError(err error) error {
	return &exit{exitFailed, fmt.Errorf("the store at %s gave no answer (%w); set --store, or see what the cell has by 'ctl inforce'", c.Store, err)}
}

// current gives the newest rules of the store and of the chosen scheduler, or the standard ones at
// version zero.
//
// Failure: the store was restored and holds older rules than the processes. Symptom: an edit based
// on those is accepted and never in force, since no process goes back.
// The scheduler is read first, so that its version is above the store's only after a restoration.
func (c *common) current(ctx context.Context) (*store.Store, operate.Edition, error) {
	s, err := c.openStore()
	if err != nil {
		return nil, operate.Edition{}, err
	}
	known := c.known(ctx)
	e, err := operate.Current(ctx, s)
	if err != nil {
		return nil, e, c.storeError(err)
	}
	if known.Version > e.Version {
		fmt.Fprintf(os.Stderr, "ctl: the store holds version %d, the cell has %d: the store was restored; edits go on from %d\n", e.Version, known.Version, known.Version)
		return s, operate.Edition{Version: known.Version, Editor: "an editor unknown to the restored store", Rules: known.Raw}, nil
	}
	if e.Version == 0 {
		e.Rules, e.Editor = standard.Document(), "the standard rules"
	}
	return s, e, nil
}

// known gives the rules that the chosen scheduler has, if it answers soon.
func (c *common) known(ctx context.Context) view.Rules {
	ctx, cancel := context.WithTimeout(ctx, operate.AskTimeout)
	defer cancel()
	n, err := c.reach(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "ctl: %s\nctl: the rules are taken from the store alone\n", oneLine(err))
		return view.Rules{}
	}
	defer n.pool.Close()
	return n.view.Rules
}

type fileArgument struct {
	File string `positional-arg-name:"file" description:"a JSON file, or - for standard input"`
}

type rulesGet struct {
	cell    *common
	Version int64 `long:"version" description:"a kept version instead of the one in force"`
}

// Execute prints the document.
func (g *rulesGet) Execute([]string) error {
	ctx, cancel := g.cell.context()
	defer cancel()
	s, e, err := g.cell.current(ctx)
	if err != nil {
		return err
	}
	if g.Version > 0 {
		if e, err = g.cell.edition(ctx, s, g.Version); err != nil {
			return err
		}
	}
	if g.cell.JSON {
		return printJSON(&e)
	}
	fmt.Fprintf(os.Stderr, "ctl: version %d, by %s\n", e.Version, e.Editor)
	return printJSON(e.Rules)
}

func (c *common) edition(ctx context.Context, s *store.Store, version int64) (operate.Edition, error) {
	l, err := operate.History(ctx, s)
	if err != nil {
		return operate.Edition{}, c.storeError(err)
	}
	for _, e := range l {
		if e.Version == version {
			return e, nil
		}
	}
	return operate.Edition{}, &exit{exitUsage, fmt.Errorf("version %d is not kept; see 'ctl rules history'", version)}
}

type rulesCheck struct {
	cell *common
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute reports the findings.
func (k *rulesCheck) Execute([]string) error {
	raw, err := readFile(k.Args.File)
	if err != nil {
		return err
	}
	l := operate.Check(raw)
	if k.cell.JSON {
		if l == nil {
			l = finding.List{}
		}
		if err := printJSON(l); err != nil {
			return err
		}
	}
	if err := l.Err(); err != nil {
		return err
	}
	if !k.cell.JSON {
		fmt.Println("rules: no findings")
	}
	return nil
}

type rulesSet struct {
	cell   *common
	Base   int64        `long:"base" required:"yes" description:"the version that was edited, 0 where none was set yet"`
	Editor string       `long:"editor" env:"USER" required:"yes" description:"who edits"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

// Execute writes the rules.
func (r *rulesSet) Execute([]string) error {
	raw, err := readFile(r.Args.File)
	if err != nil {
		return err
	}
	if l := operate.Check(raw); len(l) > 0 {
		return l
	}
	ctx, cancel := r.cell.context()
	defer cancel()
	s, now, err := r.cell.current(ctx)
	if err != nil {
		return err
	}
	switch {
	case r.Base < 0 || r.Base > now.Version:
		return finding.List{{Place: "base", Reason: fmt.Sprintf("must be at most %d, the version in force; see 'ctl rules get'", now.Version)}}
	case r.Base < now.Version:
		return r.cell.printConflict(&view.Conflict{
			Yours:  view.Rules{Version: r.Base, Raw: raw},
			Theirs: view.Rules{Version: now.Version, Raw: now.Rules}, Editor: now.Editor,
		})
	}
	return r.cell.write(ctx, s, view.Edit{Base: r.Base, Raw: raw, Editor: r.Editor})
}

// accepted is what a write of rules prints as JSON.
type accepted struct {
	Version int64 `json:"version"`
}

// refused is what a conflict prints as JSON.
type refused struct {
	Editor string          `json:"editor"`
	Base   int64           `json:"base"`
	Yours  json.RawMessage `json:"yours"`
	// Version and Theirs are what is in force.
	Version int64            `json:"version"`
	Theirs  json.RawMessage  `json:"theirs"`
	Changes []operate.Change `json:"changes"`
}

func (c *common) write(ctx context.Context, s *store.Store, e view.Edit) error {
	version, err := operate.SetRules(ctx, s, e)
	var conflict *view.Conflict
	var l finding.List
	switch {
	case err == nil && c.JSON:
		return printJSON(&accepted{version})
	case err == nil:
		fmt.Printf("rules: version %d accepted; 'ctl inforce' tells which processes have it\n", version)
		return nil
	case errors.As(err, &conflict):
		return c.printConflict(conflict)
	case errors.As(err, &l):
		return l
	default:
		return &exit{exitUnknown, fmt.Errorf("the edit may have been accepted (%w); look by 'ctl rules history' before trying again", err)}
	}
}

func (c *common) printConflict(x *view.Conflict) error {
	out := refused{Editor: x.Editor, Base: x.Yours.Version, Yours: x.Yours.Raw, Version: x.Theirs.Version, Theirs: x.Theirs.Raw}
	theirs, errTheirs := rule.Parse(x.Theirs.Raw)
	yours, errYours := rule.Parse(x.Yours.Raw)
	if errTheirs == nil && errYours == nil {
		out.Changes = operate.Diff(theirs.Document(), yours.Document())
	}
	if c.JSON {
		if err := printJSON(&out); err != nil {
			return err
		}
	} else {
		fmt.Printf("--- in force: version %d by %s\n%s\n+++ yours, from base %d\n%s\n", x.Theirs.Version, x.Editor, indent(x.Theirs.Raw), x.Yours.Version, indent(x.Yours.Raw))
		fmt.Println("What yours would change in those in force:")
		printChanges(out.Changes)
	}
	return &exit{exitConflict, fmt.Errorf("%w; nothing was written. Merge both, and set with --base %d", x, x.Theirs.Version)}
}

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
	return r.cell.write(ctx, s, view.Edit{Base: now.Version, Raw: e.Rules, Editor: r.Editor})
}

type rulesExplain struct {
	cell  *common
	Rules string       `long:"rules" description:"a rule document instead of the rules in force"`
	Args  fileArgument `positional-args:"yes" required:"yes"`
}

// explained is what an explanation prints as JSON.
type explained struct {
	rule.Explanation
	// Rule is the one that decided.
	Rule *rule.Rule `json:"rule,omitempty"`
}

// Execute judges the submission.
func (x *rulesExplain) Execute([]string) error {
	raw, err := readFile(x.Args.File)
	if err != nil {
		return err
	}
	var spec job.Submission
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return finding.List{{Place: x.Args.File, Reason: err.Error()}}
	}
	if l := spec.Check(); len(l) > 0 {
		return l
	}
	list, err := x.list()
	if err != nil {
		return err
	}
	var r rule.Request
	r.ForJob(time.Now(), &spec)
	out := explained{Explanation: list.Explain(&r)}
	for _, each := range list.Document().Rules {
		if each.ID == out.Decided {
			out.Rule = &each
		}
	}
	if x.cell.JSON {
		return printJSON(&out)
	}
	printExplanation(&out.Explanation)
	if out.Rule != nil {
		fmt.Println("  it does " + compact(out.Rule.Then))
	}
	return nil
}

func (x *rulesExplain) list() (*rule.List, error) {
	if x.Rules != "" {
		raw, err := readFile(x.Rules)
		if err != nil {
			return nil, err
		}
		return rule.Parse(raw)
	}
	ctx, cancel := x.cell.context()
	defer cancel()
	_, e, err := x.cell.current(ctx)
	if err != nil {
		return nil, err
	}
	return rule.Parse(e.Rules)
}

func printExplanation(x *rule.Explanation) {
	fmt.Printf("rules, version %d:\n", x.Version)
	for _, v := range x.Asked {
		switch {
		case v.Holds:
			fmt.Printf("  %s holds and decides\n", v.Rule)
		case v.Values != "":
			fmt.Printf("  %s does not hold: %s, but %s\n", v.Rule, v.Failed, v.Values)
		default:
			fmt.Printf("  %s does not hold: %s\n", v.Rule, v.Failed)
		}
	}
	if x.Decided == "" {
		fmt.Println("  no rule holds; everything is at its default")
	}
}
