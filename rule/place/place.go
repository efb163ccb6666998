// Package place implements the action that sets how workers are chosen.
package place

import (
	"encoding/json"
	"slices"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Parameters are the parameters of the action.
type Parameters struct {
	Strategy string `json:"strategy"`
}

var strategies = []string{"pack", "spread"}

func init() { rule.Register(rule.Kind{Name: "place", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	if !slices.Contains(strategies, p.Strategy) {
		l.Add("with.strategy", "must be one of %q", strategies)
	}
	e.Strategy = p.Strategy
	return l
}
