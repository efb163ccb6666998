package operate

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"turmericgap/finding"
	"turmericgap/rule"
	_ "turmericgap/rule/standard"
	"turmericgap/store"
	"turmericgap/store/memory"
	"turmericgap/view"
)

func doc(ids ...string) []byte {
	rules := make([]string, len(ids))
	for i, id := range ids {
		rules[i] = fmt.Sprintf(`{"id":%q,"then":[{"kind":"limit","with":{"mostRunning":%d}}]}`, strings.ToLower(id), len(id)+int(id[0]))
	}
	return []byte(`{"rules":[` + strings.Join(rules, ",") + `]}`)
}

func TestSetRulesKeepsEditions(t *testing.T) {
	is := is.New(t)
	ctx, s := context.Background(), memory.New().Store()
	for base := range int64(MaxHistory + 3) {
		version, err := SetRules(ctx, s, view.Edit{BaseVersion: base, Raw: doc("a"), Editor: "asha"})
		is.NoErr(err)
		is.Equal(version, base+1)
	}
	l, err := History(ctx, s)
	is.NoErr(err)
	is.Equal(len(l), MaxHistory)
	is.Equal(l[0].Version, int64(MaxHistory+3))
	is.Equal(l[MaxHistory-1].Version, int64(4))
	now, err := Current(ctx, s)
	is.NoErr(err)
	parsed, err := rule.Parse(now.Rules)
	is.NoErr(err)
	is.Equal(parsed.Version(), now.Version)
	is.Equal(string(now.Rules), string(l[0].Rules))
}

// An operator's history would tell of rules that were never in force.
// An edit is refused, by findings or by a conflict, or its transaction fails its comparison.
func TestRefusedEditLeavesNoEdition(t *testing.T) {
	is := is.New(t)
	ctx, s := context.Background(), memory.New().Store()
	_, err := SetRules(ctx, s, view.Edit{Raw: doc("a"), Editor: "asha"})
	is.NoErr(err)
	var l finding.List
	_, err = SetRules(ctx, s, view.Edit{BaseVersion: 1, Raw: doc("a", "a"), Editor: "ravi"})
	is.True(errors.As(err, &l))
	var conflict *view.Conflict
	_, err = SetRules(ctx, s, view.Edit{Raw: doc("b"), Editor: "ravi"})
	is.True(errors.As(err, &conflict))
	raced := *s
	raced.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
		_, err := SetRules(ctx, s, view.Edit{BaseVersion: 1, Raw: doc("c"), Editor: "meera"})
		is.NoErr(err)
		raced.Txn = s.Txn
		return s.Txn(ctx, t)
	}
	_, err = SetRules(ctx, &raced, view.Edit{BaseVersion: 1, Raw: doc("b"), Editor: "ravi"})
	is.True(errors.As(err, &conflict))
	editions, err := History(ctx, s)
	is.NoErr(err)
	is.Equal(len(editions), 2)
	is.Equal(editions[0].Editor, "meera")
}

func TestDiff(t *testing.T) {
	cases := []struct {
		name     string
		from, to []string
		want     string
	}{
		{"alike", []string{"a", "b"}, []string{"a", "b"}, ""},
		{"added", []string{"a"}, []string{"b", "a"}, "added b -1 0"},
		{"removed", []string{"a", "b"}, []string{"b"}, "removed a 0 -1"},
		{"changed", []string{"a", "b"}, []string{"A", "b"}, "changed a 0 0"},
		{"moved", []string{"a", "b"}, []string{"b", "a"}, "moved b 1 0, moved a 0 1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			parse := func(ids []string) rule.Document {
				l, err := rule.Parse(doc(ids...))
				is.NoErr(err)
				return l.Document()
			}
			var got []string
			for _, c := range Diff(parse(tc.from), parse(tc.to)) {
				got = append(got, fmt.Sprintf("%s %s %d %d", c.Kind, c.Rule, c.From, c.To))
			}
			is.Equal(strings.Join(got, ", "), tc.want)
		})
	}
}
