// Package route implements the action that sets the target service and the preferred zones of a check.
package route

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// MaxZones is the maximum number of zones in a rule.
const MaxZones = 32

// Parameters are the parameters of the action.
type Parameters struct {
	Service string `json:"service,omitempty"`
	// Zones are tried in this order before all others.
	Zones []string `json:"zones,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "route", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	if p.Service == "" && len(p.Zones) == 0 {
		l.Add("with", "must have a service or zones")
	}
	if len(p.Zones) > MaxZones {
		l.Add("with.zones", "must be at most %d", MaxZones)
	}
	e.Service, e.Zones = p.Service, p.Zones
	return l
}
