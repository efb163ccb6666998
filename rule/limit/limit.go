// Package limit is the action that bounds how many tasks run at once under a rule.
package limit

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Parameters of the action.
type Parameters struct {
	MostRunning int `json:"mostRunning"`
}

func init() { rule.Register(rule.Kind{Name: "limit", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	rule.CheckMin(&l, "mostRunning", int64(p.MostRunning), 1)
	e.MostRunning = p.MostRunning
	return l
}
