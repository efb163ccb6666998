package standard

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/rule"
	"turmericgap/standin/golden"
)

var now = time.Date(2027, 3, 5, 4, 30, 0, 0, time.UTC)

func TestExplain(t *testing.T) {
	for _, class := range []string{"roster", "certificate", "booking", "matching", "sweep", "balance", "other"} {
		t.Run(class, func(t *testing.T) {
			is := is.New(t)
			var r rule.Request
			r.ForJob(now, &job.Submission{Class: class, Kind: job.Batch, Tasks: 4, TaskResources: job.Resources{Millicores: 1}})
			got, err := json.MarshalIndent(List().Explain(&r), "", "  ")
			is.NoErr(err)
			golden.Equal(t, "testdata/explain-"+class+".json", append(got, '\n'))
		})
	}
}

// An operator saves a document with several errors. If only the first were reported, each edit would reveal the next
// one, so all must be reported, each with its position.
func TestFindingsHavePaths(t *testing.T) {
	is := is.New(t)
	_, err := rule.Parse([]byte(`{"version":-1,"rules":[
		{"id":"a","when":"class == 3","then":[{"kind":"queue","with":{"priority":99}}]},
		{"id":"a","when":"size == \"x\"","then":[{"kind":"fly"}]},
		{"id":"","when":"tasks + 1","then":[]},
		{"id":"b","when":"now() > 0","then":[{"kind":"refuse"},{"kind":"retry","with":{"retrys":1}}]},
		{"id":"c","then":[{"kind":"limit","with":{"mostRunning":1}},{"kind":"limit","with":{"mostRunning":2}}]}]}`))
	is.True(err != nil)
	golden.Equal(t, "testdata/findings.txt", []byte(err.Error()+"\n"))
}

// Guards against compiled predicates that decide otherwise than the expr VM.
func TestPredicatesAgreeWithExprVM(t *testing.T) {
	conditions := []string{
		`class == "roster"`, `class != "roster"`, `not urgent`, `urgent || gang`, `!(urgent && gang)`,
		`class in ["roster", "sweep"]`, `tasks > 3 && tasks <= 5`, `each.millicores >= 2`, `hour < 5 or day == 5`,
		`class startsWith "ro" && urgent`, `hour % 2 == 0 && tasks != 4`, `each.memoryMB < 1 || class matches "^s"`,
	}
	for _, when := range conditions {
		is := is.New(t)
		then := []rule.Action{{Kind: "queue"}}
		compiled, err := rule.New(rule.Document{Rules: []rule.Rule{{ID: "x", When: when, Then: then}}})
		is.NoErr(err)
		// A leading builtin call forces the whole condition into the expr VM.
		interpreted, err := rule.New(rule.Document{Rules: []rule.Rule{{ID: "x", When: "(abs(1) == 1) == (" + when + ")", Then: then}}})
		is.NoErr(err)
		for i := range 64 {
			r := rule.Request{Class: []string{"roster", "sweep", "x"}[i%3], Tasks: i % 7, Urgent: i&1 > 0, Gang: i&2 > 0, Hour: i % 9, Day: i % 6}
			r.Each.Millicores, r.Each.MemoryMB = int64(i%4), int64(i%2)
			is.Equal(compiled.Decide(&r) != nil, interpreted.Decide(&r) != nil) // compiled and interpreted agree
		}
	}
}

func fiftyRules(condition string) *rule.List {
	var d rule.Document
	for i := range 50 {
		d.Rules = append(d.Rules, rule.Rule{
			ID: fmt.Sprint(i), When: fmt.Sprintf(condition, i),
			Then: []rule.Action{{Kind: "queue"}},
		})
	}
	l, err := rule.New(d)
	if err != nil {
		panic(err)
	}
	return l
}

func BenchmarkDecideNoneOfFifty(b *testing.B) {
	for name, condition := range map[string]string{
		"native":  `class == "class-%d" && team == "desk" && tasks > 10`,
		"mixed":   `class == "class-%d" && team startsWith "d"`,
		"machine": `(abs(1) == 1) == (class == "class-%d")`,
	} {
		l := fiftyRules(condition)
		r := rule.Request{Class: "none", Team: "desk", Tasks: 4}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if l.Decide(&r) != nil {
					b.Fatal("a rule holds")
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(Document())
	f.Add([]byte(`{"rules":[{"id":"a","when":"tasks / 0 > 1 || each.millicores in [1]","then":[{"kind":"queue"}]}]}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		l, err := rule.Parse(raw)
		if err != nil {
			return
		}
		r := rule.Request{Class: "roster", Tasks: 4}
		l.Decide(&r)
		l.Explain(&r)
	})
}
