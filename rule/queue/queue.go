// Package queue implements the action that sets a request's priority and the length of its queue.
package queue

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Range of priorities; zero is normal.
const (
	LowestPriority  = -8
	HighestPriority = 8
)

// Parameters are the parameters of the action.
type Parameters struct {
	Priority int `json:"priority"`
	// MaxPending limits the pending tasks under this rule; zero means no limit.
	MaxPending int `json:"mostPending,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "queue", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	if p.Priority < LowestPriority || p.Priority > HighestPriority {
		l.Add("with.priority", "must be from %d to %d", LowestPriority, HighestPriority)
	}
	rule.CheckMin(&l, "mostPending", int64(p.MaxPending), 0)
	e.Priority, e.MaxPending = p.Priority, p.MaxPending
	return l
}
