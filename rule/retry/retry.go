// Package retry is the action that bounds how long an attempt may take and how often it is retried.
package retry

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// MaxRetries bounds the retries that a rule may ask for.
const MaxRetries = 100

// Parameters of the action.
type Parameters struct {
	// TimeoutSeconds ends an attempt that takes longer; zero means never.
	TimeoutSeconds int64 `json:"timeoutSeconds,omitempty"`
	Retries        int   `json:"retries,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "retry", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	rule.CheckMin(&l, "timeoutSeconds", p.TimeoutSeconds, 0)
	if p.Retries < 0 || p.Retries > MaxRetries {
		l.Add("with.retries", "must be from 0 to %d", MaxRetries)
	}
	e.TimeoutSeconds, e.Retries = p.TimeoutSeconds, p.Retries
	return l
}
