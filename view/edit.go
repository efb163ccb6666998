package view

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"turmericgap/finding"
	"turmericgap/store"
)

// maxRememberedEdits limits the edits recorded in a document, by which editors recognize their own.
const maxRememberedEdits = 16

// document is the rule document as stored.
type document struct {
	Version int64  `json:"version"`
	Editor  string `json:"editor"`
	// Edits lists the last edits, the newest last.
	Edits []acceptedEdit  `json:"edits"`
	Rules json.RawMessage `json:"rules"`
}

// acceptedEdit is an edit that was written.
type acceptedEdit struct {
	Identity string `json:"identity"`
	Version  int64  `json:"version"`
}

func decodeDocument(raw []byte) (document, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return d, eris.Wrap(err, "decode rule document")
	}
	return d, nil
}

func (d *document) rules() Rules { return Rules{Version: d.Version, Raw: d.Rules} }

// Edit is an operator's change of the rules.
type Edit struct {
	// BaseVersion is the version on which the edit is based; zero if there were no rules.
	BaseVersion int64
	Raw         []byte
	// Editor is the name of the operator.
	Editor string
	// Check validates the document; nothing is written if it returns findings.
	Check func(raw []byte) finding.List
}

// Conflict means that another edit was written first and this one was not.
type Conflict struct {
	// Yours is the rejected document with its base version; Theirs is the document in force.
	Yours, Theirs Rules
	// Editor is the operator who wrote Theirs.
	Editor string
}

// Error returns a message with both versions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("rules were changed by %s: version %d is in force, the edit began at %d",
		c.Editor, c.Theirs.Version, c.Yours.Version)
}

// SetRules writes new rules and returns their version. It fails with a finding.List, a *Conflict,
// or another error, after which it is unknown whether the edit was written.
func SetRules(ctx context.Context, s *store.Store, e Edit) (int64, error) {
	if err := e.validate(); err != nil {
		return 0, err
	}
	identity := newID()
	b := newBackoff()
	for {
		version, err := e.attempt(ctx, s, identity)
		if err == nil || isDefinite(err) {
			return version, err
		}
		// A lost answer does not mean that the write failed. The next attempt reads the document
		// first and recognizes this edit by its identity if it was written.
		if b.Wait(ctx) != nil {
			return 0, eris.Wrap(err, "edit of unknown outcome")
		}
	}
}

func (e *Edit) validate() error {
	var l finding.List
	if !json.Valid(e.Raw) {
		l.Add("rules", "must be a JSON document")
	} else if e.Check != nil {
		l = e.Check(e.Raw)
	}
	return l.Err()
}

func isDefinite(err error) bool {
	var c *Conflict
	return eris.As(err, &c)
}

// errChanged means that the document changed between read and write; the next attempt reads it
// again.
var errChanged = eris.New("rule document changed")

func (e *Edit) attempt(ctx context.Context, s *store.Store, identity string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*CallTimeout)
	defer cancel()
	got, err := s.Range(ctx, store.Range{Key: RulesKey})
	if err != nil {
		return 0, err
	}
	var d document
	var revision int64
	if len(got.Pairs) == 1 {
		revision = got.Pairs[0].ModRevision
		if d, err = decodeDocument(got.Pairs[0].Value); err != nil {
			return 0, err
		}
	}
	for _, past := range d.Edits {
		if past.Identity == identity {
			return past.Version, nil
		}
	}
	// A restored store may hold an older version than the base, which peers still have.
	if d.Version > e.BaseVersion {
		return 0, &Conflict{Yours: Rules{Version: e.BaseVersion, Raw: e.Raw}, Theirs: d.rules(), Editor: d.Editor}
	}
	next := document{
		Version: e.BaseVersion + 1, Editor: e.Editor, Rules: e.Raw,
		Edits: append(d.Edits[max(0, len(d.Edits)-maxRememberedEdits+1):], acceptedEdit{identity, e.BaseVersion + 1}),
	}
	raw, err := json.Marshal(&next)
	if err != nil {
		return 0, eris.Wrap(err, "encode rule document")
	}
	res, err := s.Txn(ctx, store.Txn{
		Compares: []store.Compare{{Key: RulesKey, Target: store.ModRevision, Revision: revision}},
		Then:     []store.Op{{Key: RulesKey, Value: raw}},
	})
	if err != nil {
		return 0, err
	}
	if !res.Succeeded {
		return 0, errChanged
	}
	return next.Version, nil
}
