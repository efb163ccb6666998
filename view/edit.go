package view

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"turmericgap/finding"
	"turmericgap/store"
)

// maxEdits is how many edits a document remembers, for editors that look for theirs.
const maxEdits = 16

// document is the rule document as the store holds it.
type document struct {
	Version int64  `json:"version"`
	Editor  string `json:"editor"`
	// Edits holds the last edits, this one last.
	Edits []pastEdit      `json:"edits"`
	Rules json.RawMessage `json:"rules"`
}

// pastEdit is an edit that was accepted.
type pastEdit struct {
	Identity string `json:"identity"`
	Version  int64  `json:"version"`
}

func decode(raw []byte) (document, error) {
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return d, eris.Wrap(err, "decode rule document")
	}
	return d, nil
}

func (d *document) rules() Rules { return Rules{Version: d.Version, Raw: d.Rules} }

// Edit is an operator's change of the rules.
type Edit struct {
	// BaseVersion is the version that the editor changed; zero where there was none.
	BaseVersion int64
	Raw         []byte
	// Editor names who edits.
	Editor string
	// Check gives the findings of a document; nothing is written while there are any.
	Check func(raw []byte) finding.List
}

// Conflict means that another edit came first; nothing was written.
type Conflict struct {
	// Yours is the refused document under its base version, Theirs the one in force.
	Yours, Theirs Rules
	// Editor names who wrote theirs.
	Editor string
}

// Error names both versions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("rules were changed by %s: version %d is in force, the edit began at %d",
		c.Editor, c.Theirs.Version, c.Yours.Version)
}

// SetRules writes new rules and gives their version. It fails with a finding.List, with a
// *Conflict, or with another error, which leaves open whether the edit was accepted.
func SetRules(ctx context.Context, s *store.Store, e Edit) (int64, error) {
	if err := e.check(); err != nil {
		return 0, err
	}
	identity := newName()
	b := newBackoff()
	for {
		version, err := e.try(ctx, s, identity)
		if err == nil || isDefinite(err) {
			return version, err
		}
		// A lost answer is not a failed write: the next try reads first and finds this edit, if
		// it was applied, by its identity.
		if b.Wait(ctx) != nil {
			return 0, eris.Wrap(err, "edit of unknown outcome")
		}
	}
}

func (e *Edit) check() error {
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

// errRaced means that the document changed between reading and writing; the next reading tells.
var errRaced = eris.New("rule document changed")

func (e *Edit) try(ctx context.Context, s *store.Store, identity string) (int64, error) {
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
		if d, err = decode(got.Pairs[0].Value); err != nil {
			return 0, err
		}
	}
	for _, past := range d.Edits {
		if past.Identity == identity {
			return past.Version, nil
		}
	}
	// A store that was restored may hold less than the base that peers still have.
	if d.Version > e.BaseVersion {
		return 0, &Conflict{Yours: Rules{Version: e.BaseVersion, Raw: e.Raw}, Theirs: d.rules(), Editor: d.Editor}
	}
	next := document{
		Version: e.BaseVersion + 1, Editor: e.Editor, Rules: e.Raw,
		Edits: append(d.Edits[max(0, len(d.Edits)-maxEdits+1):], pastEdit{identity, e.BaseVersion + 1}),
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
		return 0, errRaced
	}
	return next.Version, nil
}
