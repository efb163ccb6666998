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

// doc returns a document with one rule per ID. An upper-case ID gives the rule of the lower-case ID another
// limit.
func doc(ids ...string) []byte {
	rules := make([]string, len(ids))
	for i, id := range ids {
		rules[i] = fmt.Sprintf(`{"id":%q,"then":[{"kind":"limit","with":{"mostRunning":%d}}]}`, strings.ToLower(id), len(id)+int(id[0]))
	}
	return []byte(`{"rules":[` + strings.Join(rules, ",") + `]}`)
}

func TestSetRulesKeepsHistory(t *testing.T) {
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
	current, err := Current(ctx, s)
	is.NoErr(err)
	parsed, err := rule.Parse(current.Rules)
	is.NoErr(err)
	is.Equal(parsed.Version(), current.Version)
	is.Equal(string(current.Rules), string(l[0].Rules))
}

// An edit that is refused, because of findings, a conflict or a lost race in its transaction, must not
// appear in the history, which would then hold rules that were never in force.
func TestRefusedEditIsNotInHistory(t *testing.T) {
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
	versions, err := History(ctx, s)
	is.NoErr(err)
	is.Equal(len(versions), 2)
	is.Equal(versions[0].Editor, "meera")
}

func TestDiff(t *testing.T) {
	cases := []struct {
		name     string
		from, to []string
		want     string
	}{
		{"equal", []string{"a", "b"}, []string{"a", "b"}, ""},
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
