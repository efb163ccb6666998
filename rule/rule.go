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

// Document is the operators' list as it is edited and stored.
type Document struct {
	// Version grows with each edit; an older one never replaces a newer.
	Version int64  `json:"version" msgpack:"v"`
	Rules   []Rule `json:"rules" msgpack:"r"`
}

// Rule decides the requests for which When holds and no earlier rule's does.
type Rule struct {
	ID string `json:"id" msgpack:"i"`
	// When is a condition over Request; empty always holds.
	When string   `json:"when,omitempty" msgpack:"w,omitempty"`
	Then []Action `json:"then" msgpack:"t"`
}

// Action is one thing to do, with the parameters of its kind.
type Action struct {
	Kind string          `json:"kind" msgpack:"k"`
	With json.RawMessage `json:"with,omitempty" msgpack:"w,omitempty"`
}

// List is a compiled document. It does not change and is safe for concurrent use.
type List struct {
	document Document
	rules    []compiled
}

type compiled struct {
	condition condition
	effect    Effect
}

// Parse compiles a document from JSON; the error is a finding.List with all faults.
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

// New compiles a document; the error is a finding.List with all faults.
func New(d Document) (*List, error) {
	var l finding.List
	if d.Version < 0 {
		l.Add("version", "must be at least 0")
	}
	if len(d.Rules) > MaxRules {
		l.Add("rules", "must be at most %d", MaxRules)
		return nil, l
	}
	list := &List{document: d, rules: make([]compiled, len(d.Rules))}
	seen := make(map[string]int, len(d.Rules))
	for i := range d.Rules {
		place := fmt.Sprintf("rules[%d]", i)
		r := &d.Rules[i]
		if first, ok := seen[r.ID]; ok {
			l.Add(place+".id", "is that of rules[%d]", first)
		}
		seen[r.ID] = i
		l.AddUnder(place, list.rules[i].compile(r))
	}
	if len(l) > 0 {
		return nil, l
	}
	return list, nil
}

func (c *compiled) compile(r *Rule) finding.List {
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
	done := make([]string, 0, len(r.Then))
	for i, a := range r.Then {
		place := fmt.Sprintf("then[%d]", i)
		kind, ok := kinds[a.Kind]
		switch {
		case !ok:
			l.Add(place+".kind", "%q is not one of %q", a.Kind, Kinds())
		case slices.Contains(done, a.Kind):
			l.Add(place+".kind", "%q stands twice in this rule", a.Kind)
		default:
			l.AddUnder(place, kind.Apply(a.With, &c.effect))
		}
		done = append(done, a.Kind)
	}
	return l
}

// Document gives what the list was compiled from; it must not be changed.
func (l *List) Document() Document { return l.document }

// Version gives the document's version.
func (l *List) Version() int64 { return l.document.Version }

// Decide gives the effect of the first rule that holds for r, or nil if none does.
func (l *List) Decide(r *Request) *Effect {
	for i := range l.rules {
		if l.rules[i].condition.holds(r) {
			return &l.rules[i].effect
		}
	}
	return nil
}

// DecideWork gives the effect of the first rule that holds for a work; that of no rule, and of no list,
// leaves everything at its default.
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
