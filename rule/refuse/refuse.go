// Package refuse is the action that refuses requests with a reason.
package refuse

import (
	"encoding/json"

	"turmericgap/finding"
	"turmericgap/rule"
)

// Parameters of the action.
type Parameters struct {
	Reason string `json:"reason"`
	// RetryAfterSeconds tells the caller when to ask again; zero means never.
	RetryAfterSeconds int64 `json:"retryAfterSeconds,omitempty"`
}

func init() { rule.Register(rule.Kind{Name: "refuse", Apply: apply}) }

func apply(with json.RawMessage, e *rule.Effect) finding.List {
	var p Parameters
	l := rule.Decode(with, &p)
	if p.Reason == "" {
		l.Add("with.reason", "must not be empty")
	}
	rule.CheckMin(&l, "retryAfterSeconds", p.RetryAfterSeconds, 0)
	e.Refuse, e.RetryAfterSeconds = p.Reason, p.RetryAfterSeconds
	return l
}
