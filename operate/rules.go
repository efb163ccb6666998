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
	// HistoryPrefix is the store prefix of past rules. It lies outside the prefix that all VMs watch.
	HistoryPrefix = "/turmericgap/rules/"
	// MaxHistory is the number of versions to keep.
	MaxHistory = 16
)

// RulesVersion is one accepted version of the rules.
type RulesVersion struct {
	Version int64           `json:"version"`
	Editor  string          `json:"editor"`
	At      time.Time       `json:"at"`
	Rules   json.RawMessage `json:"rules"`
}

// Check returns the findings of a rule document.
func Check(raw []byte) finding.List {
	_, err := rule.Parse(raw)
	var l finding.List
	if err != nil && !eris.As(err, &l) {
		l.Add("document", "%s", err.Error())
	}
	return l
}

// SetRules checks and writes rules, and adds them to the history in the same transaction. Its errors are
// those of view.SetRules.
func SetRules(ctx context.Context, s *store.Store, e view.Edit) (int64, error) {
	e.Check = Check
	versioned, err := setVersion(e.Raw, e.BaseVersion+1)
	if err != nil {
		return 0, err
	}
	e.Raw = versioned
	return view.SetRules(ctx, withHistory(s, &e), e)
}

// setVersion returns the document with its new version.
func setVersion(raw []byte, version int64) ([]byte, error) {
	if l := Check(raw); len(l) > 0 {
		return nil, l
	}
	var d rule.Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, eris.Wrap(err, "set version of rule document")
	}
	d.Version = version
	if d.Rules == nil {
		d.Rules = []rule.Rule{}
	}
	return json.Marshal(&d)
}

// withHistory returns a store whose transaction also adds the rules to the history and deletes the oldest
// version. With a separate transaction, a version could be missing from the history, or the history could
// hold rules that were never in force.
func withHistory(s *store.Store, e *view.Edit) *store.Store {
	out := *s
	out.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
		version := e.BaseVersion + 1
		raw, err := json.Marshal(&RulesVersion{Version: version, Editor: e.Editor, At: time.Now().UTC(), Rules: e.Raw})
		if err != nil {
			return store.TxnResult{}, eris.Wrap(err, "encode rules version")
		}
		t.Then = append(slices.Clone(t.Then), store.Op{Key: historyKey(version), Value: raw})
		if old := version - MaxHistory; old > 0 {
			t.Then = append(t.Then, store.Op{Delete: true, Key: HistoryPrefix, End: historyKey(old + 1)})
		}
		return s.Txn(ctx, t)
	}
	return &out
}

// historyKey returns the key of a version; keys sort in the order of versions.
func historyKey(version int64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// History returns the stored versions, the newest first.
func History(ctx context.Context, s *store.Store) ([]RulesVersion, error) {
	got, err := s.Range(ctx, store.Range{Key: HistoryPrefix, End: store.PrefixEnd(HistoryPrefix)})
	if err != nil {
		return nil, err
	}
	out := make([]RulesVersion, len(got.Pairs))
	for i, p := range got.Pairs {
		if err := json.Unmarshal(p.Value, &out[i]); err != nil {
			return nil, eris.Wrapf(err, "decode rules version %s", p.Key)
		}
	}
	slices.Reverse(out)
	return out, nil
}

// Current returns the rules in the store; the version is zero if there are none yet.
func Current(ctx context.Context, s *store.Store) (RulesVersion, error) {
	got, err := s.Range(ctx, store.Range{Key: view.RulesKey})
	if err != nil || len(got.Pairs) == 0 {
		return RulesVersion{}, err
	}
	var e RulesVersion
	return e, eris.Wrap(json.Unmarshal(got.Pairs[0].Value, &e), "decode rule document")
}
