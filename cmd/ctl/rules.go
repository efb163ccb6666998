package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"turmericgap/finding"
	"turmericgap/operate"
	_ "turmericgap/platform" // Registers the key-value service of the users' platform.
	"turmericgap/rule"
	"turmericgap/rule/standard"
	"turmericgap/store"
	_ "turmericgap/store/etcd" // Registers the etcd store.
	"turmericgap/view"
)

// rulesGroup is the parent of the commands about rules.
type rulesGroup struct{}

func rulesCommands(c *commonOptions) []command {
	return []command{
		{"get", "print the rules in force", "Prints the rule document that the store holds, ready to be edited; its version is what 'rules set' takes as --base.", &rulesGet{opts: c}},
		{"check", "check a rule document", "Reports every finding of a document with its place. Asks no cell.", &rulesCheck{opts: c}},
		{"set", "put rules in force", "Writes a document unless another edit came since --base; then nothing is written and both documents are shown.", &rulesSet{opts: c}},
		{"diff", "compare a document with the rules in force", "Shows the rules that were added, removed, changed or moved.", &rulesDiff{opts: c}},
		{"history", "list the versions that are kept", "Lists the last 16 versions with editor and time, the newest first.", &rulesHistory{opts: c}},
		{"rollback", "put an earlier version in force again", "Writes the rules of a kept version as a new version.", &rulesRollback{opts: c}},
		{"explain", "say which rule decides a submission", "Judges a hypothetical submission now: which rule holds, and why those before it do not. Nothing is submitted.", &rulesExplain{opts: c}},
	}
}

func (c *commonOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Duration(c.Seconds)*time.Second)
}

func (c *commonOptions) openStore() (*store.Store, error) { return store.Open(c.StoreKind, c.Store) }

// storeError returns an error for a store that does not answer, with advice.
func (c *commonOptions) storeError(err error) error {
	return &exitError{exitFailed, fmt.Errorf("the store at %s gave no answer (%w); set --store, or see what the cell has by 'ctl inforce'", c.Store, err)}
}

// current returns the newer of the rules in the store and in the chosen scheduler, or the standard rules as version
// zero if none were set yet.
//
// A store restored from a backup holds older rules than the processes. An edit based on those would be accepted but
// never come into force, because no process accepts an older version than it has. The scheduler is read before the
// store, so its version can be higher only after a restore.
func (c *commonOptions) current(ctx context.Context) (*store.Store, operate.RulesVersion, error) {
	s, err := c.openStore()
	if err != nil {
		return nil, operate.RulesVersion{}, err
	}
	known := c.schedulerRules(ctx)
	e, err := operate.Current(ctx, s)
	if err != nil {
		return nil, e, c.storeError(err)
	}
	if known.Version > e.Version {
		fmt.Fprintf(os.Stderr, "ctl: the store holds version %d, the cell has %d: the store was restored; edits continue from %d\n", e.Version, known.Version, known.Version)
		return s, operate.RulesVersion{Version: known.Version, Editor: "an editor unknown to the restored store", Rules: known.Raw}, nil
	}
	if e.Version == 0 {
		e.Rules, e.Editor = standard.Document(), "the standard rules"
	}
	return s, e, nil
}

// schedulerRules returns the rules of the chosen scheduler, or none if it does not answer in time.
func (c *commonOptions) schedulerRules(ctx context.Context) view.Rules {
	ctx, cancel := context.WithTimeout(ctx, operate.StateTimeout)
	defer cancel()
	n, err := c.connect(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "ctl: %s\nctl: using the rules of the store only\n", oneLine(err))
		return view.Rules{}
	}
	defer n.pool.Close()
	return n.view.Rules
}

type fileArgument struct {
	File string `positional-arg-name:"file" description:"a JSON file, or - for standard input"`
}

type rulesGet struct {
	opts    *commonOptions
	Version int64 `long:"version" description:"a kept version instead of the one in force"`
}

// Execute prints the rule document.
func (g *rulesGet) Execute([]string) error {
	ctx, cancel := g.opts.context()
	defer cancel()
	s, e, err := g.opts.current(ctx)
	if err != nil {
		return err
	}
	if g.Version > 0 {
		if e, err = g.opts.findVersion(ctx, s, g.Version); err != nil {
			return err
		}
	}
	if g.opts.JSON {
		return printJSON(&e)
	}
	fmt.Fprintf(os.Stderr, "ctl: version %d, by %s\n", e.Version, e.Editor)
	return printJSON(e.Rules)
}

func (c *commonOptions) findVersion(ctx context.Context, s *store.Store, version int64) (operate.RulesVersion, error) {
	l, err := operate.History(ctx, s)
	if err != nil {
		return operate.RulesVersion{}, c.storeError(err)
	}
	for _, e := range l {
		if e.Version == version {
			return e, nil
		}
	}
	return operate.RulesVersion{}, &exitError{exitUsage, fmt.Errorf("version %d is not kept; see 'ctl rules history'", version)}
}

type rulesCheck struct {
	opts *commonOptions
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the findings.
func (k *rulesCheck) Execute([]string) error {
	raw, err := readFile(k.Args.File)
	if err != nil {
		return err
	}
	l := operate.Check(raw)
	if k.opts.JSON {
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
	if !k.opts.JSON {
		fmt.Println("rules: no findings")
	}
	return nil
}

type rulesSet struct {
	opts   *commonOptions
	Base   int64        `long:"base" required:"yes" description:"the version that was edited, 0 where none was set yet"`
	Editor string       `long:"editor" env:"USER" required:"yes" description:"who edits"`
	Args   fileArgument `positional-args:"yes" required:"yes"`
}

// Execute writes the rules unless another edit was written since the base.
func (r *rulesSet) Execute([]string) error {
	raw, err := readFile(r.Args.File)
	if err != nil {
		return err
	}
	if l := operate.Check(raw); len(l) > 0 {
		return l
	}
	ctx, cancel := r.opts.context()
	defer cancel()
	s, now, err := r.opts.current(ctx)
	if err != nil {
		return err
	}
	switch {
	case r.Base < 0 || r.Base > now.Version:
		return finding.List{{Path: "base", Reason: fmt.Sprintf("must be at most %d, the version in force; see 'ctl rules get'", now.Version)}}
	case r.Base < now.Version:
		return r.opts.printConflict(&view.Conflict{
			Yours:  view.Rules{Version: r.Base, Raw: raw},
			Theirs: view.Rules{Version: now.Version, Raw: now.Rules}, Editor: now.Editor,
		})
	}
	return r.opts.writeRules(ctx, s, view.Edit{BaseVersion: r.Base, Raw: raw, Editor: r.Editor})
}

// writeOutput is the JSON output of a successful write of rules.
type writeOutput struct {
	Version int64 `json:"version"`
}

// conflictOutput is the JSON output of a conflict.
type conflictOutput struct {
	Editor string          `json:"editor"`
	Base   int64           `json:"base"`
	Yours  json.RawMessage `json:"yours"`
	// Version and Theirs are the version and document in force.
	Version int64            `json:"version"`
	Theirs  json.RawMessage  `json:"theirs"`
	Changes []operate.Change `json:"changes"`
}

func (c *commonOptions) writeRules(ctx context.Context, s *store.Store, e view.Edit) error {
	version, err := operate.SetRules(ctx, s, e)
	var conflict *view.Conflict
	var l finding.List
	switch {
	case err == nil && c.JSON:
		return printJSON(&writeOutput{version})
	case err == nil:
		fmt.Printf("rules: version %d accepted; 'ctl inforce' tells which processes have it\n", version)
		return nil
	case errors.As(err, &conflict):
		return c.printConflict(conflict)
	case errors.As(err, &l):
		return l
	default:
		return &exitError{exitUnknown, fmt.Errorf("the edit may have been accepted (%w); look by 'ctl rules history' before trying again", err)}
	}
}

func (c *commonOptions) printConflict(x *view.Conflict) error {
	out := conflictOutput{Editor: x.Editor, Base: x.Yours.Version, Yours: x.Yours.Raw, Version: x.Theirs.Version, Theirs: x.Theirs.Raw}
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
		fmt.Printf("--- in force: version %d by %s\n%s\n+++ yours, from base %d\n%s\n", x.Theirs.Version, x.Editor, indentJSON(x.Theirs.Raw), x.Yours.Version, indentJSON(x.Yours.Raw))
		fmt.Println("What yours would change in those in force:")
		printChanges(out.Changes)
	}
	return &exitError{exitConflict, fmt.Errorf("%w; nothing was written. Merge both, and set with --base %d", x, x.Theirs.Version)}
}
