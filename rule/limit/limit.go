// Package limit implements the action that limits how many tasks run at once under a rule.
package limit

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Parameters are the parameters of the action.
type Parameters struct {
	MaxRunning int `json:"mostRunning"`
}

func init() { rule.Register(rule.Kind{Name: "limit", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	rule.CheckMin(&l, "mostRunning", int64(p.MaxRunning), 1)
	e.MaxRunning = p.MaxRunning
	return l
}
