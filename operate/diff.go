package operate

import (
	"bytes"
	"encoding/json"
	"slices"

	"turmericgap/rule"
)

// ChangeKind is how a rule differs between two documents.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
	Moved   ChangeKind = "moved"
)

// Change is the difference of one rule between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Rule string     `json:"rule"`
	// From and To are the rule's positions, counted from zero, or -1 if it is missing.
	From   int        `json:"from"`
	To     int        `json:"to"`
	Before *rule.Rule `json:"before,omitempty"`
	After  *rule.Rule `json:"after,omitempty"`
}

// Diff returns the changes from one document to another, removed rules first. A rule counts as moved if its
// position among the rules that both documents have is different.
func Diff(from, to rule.Document) []Change {
	var out []Change
	common := make([]string, 0, len(from.Rules))
	for i := range from.Rules {
		if indexOf(to, from.Rules[i].ID) < 0 {
			out = append(out, Change{Kind: Removed, Rule: from.Rules[i].ID, From: i, To: -1, Before: &from.Rules[i]})
			continue
		}
		common = append(common, from.Rules[i].ID)
	}
	rank := 0
	for i := range to.Rules {
		r := &to.Rules[i]
		k := indexOf(from, r.ID)
		if k < 0 {
			out = append(out, Change{Kind: Added, Rule: r.ID, From: -1, To: i, After: r})
			continue
		}
		switch moved := common[rank] != r.ID; {
		case !equalRules(&from.Rules[k], r):
			out = append(out, Change{Kind: Changed, Rule: r.ID, From: k, To: i, Before: &from.Rules[k], After: r})
		case moved:
			out = append(out, Change{Kind: Moved, Rule: r.ID, From: k, To: i})
		}
		rank++
	}
	return out
}

func indexOf(d rule.Document, id string) int {
	return slices.IndexFunc(d.Rules, func(r rule.Rule) bool { return r.ID == id })
}

// equalRules compares rules by their compact JSON, which ignores white space in parameters.
func equalRules(a, b *rule.Rule) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
