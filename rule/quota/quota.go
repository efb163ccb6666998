// Package quota is the action that bounds what a pool of requests may hold together.
package quota

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/rule"
)

// Parameters of the action.
type Parameters struct {
	// Pool is charged; empty means the request's team.
	Pool string        `json:"pool,omitempty"`
	Most job.Resources `json:"most"`
	// Borrow lets the pool use idle capacity beyond Most.
	Borrow bool `json:"borrow,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "quota", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	rule.CheckMin(&l, "most.millicores", p.Most.Millicores, 0)
	rule.CheckMin(&l, "most.memoryMB", p.Most.MemoryMB, 0)
	rule.CheckMin(&l, "most.accelerators", p.Most.Accelerators, 0)
	if len(p.Pool) > job.MaxNameBytes {
		l.Add("with.pool", "must be at most %d bytes", job.MaxNameBytes)
	}
	e.Quota = &rule.Quota{Pool: p.Pool, Most: p.Most, Borrow: p.Borrow}
	return l
}
