// Package preempt implements the action that allows requests to preempt others, or protects them from preemption.
package preempt

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Parameters are the parameters of the action.
type Parameters struct {
	// May allows the request to preempt lower-priority work.
	May bool `json:"may,omitempty"`
	// Never protects the request's tasks from preemption.
	Never bool `json:"never,omitempty"`
	// EvenNotRepeatable allows preemption of tasks that are services or not repeatable.
	EvenNotRepeatable bool `json:"evenNotRepeatable,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "preempt", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	if p.Never && p.EvenNotRepeatable {
		l.Add("with", "never and evenNotRepeatable exclude each other")
	}
	e.Preemption = rule.Preemption(p)
	return l
}
