package configuration

import (
	"encoding/json"
	"slices"
	"sync"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/rule"
)

// Rules holds the operators' newest rules that this process has seen. Without rules, each work is
// handled by its queue's configuration alone.
type Rules struct {
	log *zap.Logger

	mu      sync.Mutex
	version int64
	list    *rule.List
	// raw is the stored document of version.
	raw []byte
}

// unsupportedActions lists the actions that have no effect on a Work: its attempts and pool come from
// its queue, it preempts nothing, and there are no teams to charge.
var unsupportedActions = []string{"preempt", "quota", "retry", "route"}

// NewRules returns an empty Rules.
func NewRules(log *zap.Logger) *Rules { return &Rules{log: log} }

// storedRules is the part of the stored document that is needed here; editors and past edits are ignored.
type storedRules struct {
	Version int64           `json:"version"`
	Rules   json.RawMessage `json:"rules"`
}

// Apply puts a stored document in force if it is newer than the current rules. A restored store may hold
// an older document, and replaced rules must not come back.
func (r *Rules) Apply(raw []byte) {
	var s storedRules
	if err := json.Unmarshal(raw, &s); err != nil {
		r.log.Error("configuration: stored rules cannot be decoded, keeping the current rules", zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version <= r.version {
		return
	}
	list, err := rule.Parse(s.Rules)
	if err != nil {
		r.log.Error("configuration: stored rules are invalid, keeping the current rules", zap.Int64("version", s.Version), zap.Error(err))
		return
	}
	r.version, r.list, r.raw = s.Version, list, raw
	for _, ru := range list.Document().Rules {
		for _, a := range ru.Then {
			if slices.Contains(unsupportedActions, a.Kind) {
				r.log.Warn("configuration: action has no effect on works with steps", zap.String("rule", ru.ID), zap.String("action", a.Kind))
			}
		}
	}
	r.log.Info("configuration: rules in force", zap.Int64("version", s.Version), zap.Int("rules", len(list.Document().Rules)))
}

// Current returns the rules in force, or nil.
func (r *Rules) Current() *rule.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// versionInForce returns the version of the rules in force, or 0.
func (r *Rules) versionInForce() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// newerThan returns the stored document of the rules in force if it is newer than a version.
func (r *Rules) newerThan(known int64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version <= known {
		return nil
	}
	return r.raw
}

// Decide returns the effect of the rules in force on a work.
func (r *Rules) Decide(w *job.Work) rule.Effect { return r.Current().DecideWork(w) }
