// Package preempt is the action that lets requests preempt others, or shields them from it.
package preempt

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Parameters of the action.
type Parameters struct {
	// May lets the request preempt lower work.
	May bool `json:"may,omitempty"`
	// Never shields the request's tasks.
	Never bool `json:"never,omitempty"`
	// EvenNotRepeatable gives up tasks that are services or not repeatable.
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
