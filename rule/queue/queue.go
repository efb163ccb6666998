// Package queue is the action that sets a request's priority and the length of its queue.
package queue

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Priorities run from the lowest to the highest, zero being ordinary.
const (
	LowestPriority  = -8
	HighestPriority = 8
)

// Parameters of the action.
type Parameters struct {
	Priority int `json:"priority"`
	// MostPending bounds the tasks that wait under this rule; zero means no bound.
	MostPending int `json:"mostPending,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "queue", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	if p.Priority < LowestPriority || p.Priority > HighestPriority {
		l.Add("with.priority", "must be from %d to %d", LowestPriority, HighestPriority)
	}
	rule.CheckMin(&l, "mostPending", int64(p.MostPending), 0)
	e.Priority, e.MostPending = p.Priority, p.MostPending
	return l
}
