// Package quota implements the action that limits the resources that a pool of requests uses together.
package quota

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/rule"
)

// Parameters are the parameters of the action.
type Parameters struct {
	// Pool is the pool to charge; empty means the request's team.
	Pool  string        `json:"pool,omitempty"`
	Limit job.Resources `json:"most"`
	// Borrow allows the pool to use idle capacity beyond Limit.
	Borrow bool `json:"borrow,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "quota", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	rule.CheckMin(&l, "most.millicores", p.Limit.Millicores, 0)
	rule.CheckMin(&l, "most.memoryMB", p.Limit.MemoryMB, 0)
	rule.CheckMin(&l, "most.accelerators", p.Limit.Accelerators, 0)
	if len(p.Pool) > job.MaxNameBytes {
		l.Add("with.pool", "must be at most %d bytes", job.MaxNameBytes)
	}
	e.Quota = &rule.Quota{Pool: p.Pool, Limit: p.Limit, Borrow: p.Borrow}
	return l
}
