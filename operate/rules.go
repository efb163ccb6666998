package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"turmericgap/finding"
	"turmericgap/rule"
	"turmericgap/store"
	"turmericgap/view"
)

const (
	// HistoryPrefix is where the store keeps past rules; it lies outside the prefix that all VMs watch.
	HistoryPrefix = "/turmericgap/rules/"
	// MaxHistory bounds the versions that are kept.
	MaxHistory = 16
)

// RulesVersion is one accepted version of the rules.
type RulesVersion struct {
	Version int64           `json:"version"`
	Editor  string          `json:"editor"`
	At      time.Time       `json:"at"`
	Rules   json.RawMessage `json:"rules"`
}

// Check gives the findings of a rule document.
func Check(raw []byte) finding.List {
	_, err := rule.Parse(raw)
	var l finding.List
	if err != nil && !eris.As(err, &l) {
		l.Add("document", "%s", err.Error())
	}
	return l
}

// SetRules checks and writes rules, and keeps them as an edition in the same transaction. It fails
// as view.SetRules does.
func SetRules(ctx context.Context, s *store.Store, e view.Edit) (int64, error) {
	e.Check = Check
	numbered, err := number(e.Raw, e.BaseVersion+1)
	if err != nil {
		return 0, err
	}
	e.Raw = numbered
	return view.SetRules(ctx, recording(s, &e), e)
}

// number gives the document the version that it will have.
func number(raw []byte, version int64) ([]byte, error) {
	if l := Check(raw); len(l) > 0 {
		return nil, l
	}
	var d rule.Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, eris.Wrap(err, "number rule document")
	}
	d.Version = version
	if d.Rules == nil {
		d.Rules = []rule.Rule{}
	}
	return json.Marshal(&d)
}

// recording adds the edition to the transaction that writes the rules, and drops the oldest one.
// Written apart from it, an edition could be missing, or tell of rules that were never in force.
func recording(s *store.Store, e *view.Edit) *store.Store {
	out := *s
	out.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
		version := e.BaseVersion + 1
		raw, err := json.Marshal(&RulesVersion{Version: version, Editor: e.Editor, At: time.Now().UTC(), Rules: e.Raw})
		if err != nil {
			return store.TxnResult{}, eris.Wrap(err, "encode edition")
		}
		t.Then = append(slices.Clone(t.Then), store.Op{Key: editionKey(version), Value: raw})
		if old := version - MaxHistory; old > 0 {
			t.Then = append(t.Then, store.Op{Delete: true, Key: HistoryPrefix, End: editionKey(old + 1)})
		}
		return s.Txn(ctx, t)
	}
	return &out
}

// editionKey sorts as the versions do.
func editionKey(version int64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// History gives the editions that are kept, the newest first.
func History(ctx context.Context, s *store.Store) ([]RulesVersion, error) {
	got, err := s.Range(ctx, store.Range{Key: HistoryPrefix, End: store.PrefixEnd(HistoryPrefix)})
	if err != nil {
		return nil, err
	}
	out := make([]RulesVersion, len(got.Pairs))
	for i, p := range got.Pairs {
		if err := json.Unmarshal(p.Value, &out[i]); err != nil {
			return nil, eris.Wrapf(err, "decode edition %s", p.Key)
		}
	}
	slices.Reverse(out)
	return out, nil
}

// Current gives the rules that the store holds; its version is zero where there are none yet.
func Current(ctx context.Context, s *store.Store) (RulesVersion, error) {
	got, err := s.Range(ctx, store.Range{Key: view.RulesKey})
	if err != nil || len(got.Pairs) == 0 {
		return RulesVersion{}, err
	}
	var e RulesVersion
	return e, eris.Wrap(json.Unmarshal(got.Pairs[0].Value, &e), "decode rule document")
}
