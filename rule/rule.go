package rule

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"turmericgap/finding"
	"turmericgap/job"
)

// Limits of a document.
const (
	MaxBytes     = 512 << 10
	MaxRules     = 500
	MaxActions   = 16
	MaxWhenBytes = 4 << 10
	MaxIDBytes   = 64
)

// Document is the list of rules as operators edit it and as it is stored.
type Document struct {
	// Version increases with each edit; an older document never replaces a newer one.
	Version int64  `json:"version" msgpack:"v"`
	Rules   []Rule `json:"rules" msgpack:"r"`
}

// Rule decides the requests that match its When and match no earlier rule.
type Rule struct {
	ID string `json:"id" msgpack:"i"`
	// When is a condition over Request; an empty one matches every request.
	When string   `json:"when,omitempty" msgpack:"w,omitempty"`
	Then []Action `json:"then" msgpack:"t"`
}

// Action is one action of a rule, with the parameters of its kind.
type Action struct {
	Kind string          `json:"kind" msgpack:"k"`
	With json.RawMessage `json:"with,omitempty" msgpack:"w,omitempty"`
}

// List is a compiled document. It is immutable and safe for concurrent use.
type List struct {
	document Document
	rules    []compiledRule
}

type compiledRule struct {
	condition condition
	effect    Effect
}

// Parse compiles a document from JSON. Its error is a finding.List with all findings.
func Parse(raw []byte) (*List, error) {
	var l finding.List
	if len(raw) > MaxBytes {
		l.Add("document", "must be at most %d bytes", MaxBytes)
		return nil, l
	}
	var d Document
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		l.Add("document", "%s", err.Error())
		return nil, l
	}
	if dec.More() {
		l.Add("document", "must hold one value")
		return nil, l
	}
	return New(d)
}

// New compiles a document. Its error is a finding.List with all findings.
func New(d Document) (*List, error) {
	var l finding.List
	if d.Version < 0 {
		l.Add("version", "must be at least 0")
	}
	if len(d.Rules) > MaxRules {
		l.Add("rules", "must be at most %d", MaxRules)
		return nil, l
	}
	list := &List{document: d, rules: make([]compiledRule, len(d.Rules))}
	seen := make(map[string]int, len(d.Rules))
	for i := range d.Rules {
		path := fmt.Sprintf("rules[%d]", i)
		r := &d.Rules[i]
		if first, ok := seen[r.ID]; ok {
			l.Add(path+".id", "is that of rules[%d]", first)
		}
		seen[r.ID] = i
		l.AddUnder(path, list.rules[i].compile(r))
	}
	if len(l) > 0 {
		return nil, l
	}
	return list, nil
}

func (c *compiledRule) compile(r *Rule) finding.List {
	var l finding.List
	if r.ID == "" || len(r.ID) > MaxIDBytes {
		l.Add("id", "must have from 1 to %d bytes", MaxIDBytes)
	}
	var err error
	if c.condition, err = newCondition(r.When); err != nil {
		l.Add("when", "%s", err.Error())
	}
	if len(r.Then) == 0 || len(r.Then) > MaxActions {
		l.Add("then", "must have from 1 to %d actions", MaxActions)
		return l
	}
	c.effect.Rule = r.ID
	seen := make([]string, 0, len(r.Then))
	for i, a := range r.Then {
		path := fmt.Sprintf("then[%d]", i)
		kind, ok := kinds[a.Kind]
		switch {
		case !ok:
			l.Add(path+".kind", "%q is not one of %q", a.Kind, Kinds())
		case slices.Contains(seen, a.Kind):
			l.Add(path+".kind", "%q stands twice in this rule", a.Kind)
		default:
			l.AddUnder(path, kind.Apply(a.With, &c.effect))
		}
		seen = append(seen, a.Kind)
	}
	return l
}

// Document returns the document that the list was compiled from; callers must not modify it.
func (l *List) Document() Document { return l.document }

// Version returns the document's version.
func (l *List) Version() int64 { return l.document.Version }

// Decide returns the effect of the first rule that matches r, or nil if none does.
func (l *List) Decide(r *Request) *Effect {
	for i := range l.rules {
		if l.rules[i].condition.matches(r) {
			return &l.rules[i].effect
		}
	}
	return nil
}

// DecideWork returns the effect of the first rule that matches a work, or the zero Effect if none does or l is nil.
func (l *List) DecideWork(w *job.Work) Effect {
	if l == nil {
		return Effect{}
	}
	var r Request
	r.ForWork(w)
	if e := l.Decide(&r); e != nil {
		return *e
	}
	return Effect{}
}
