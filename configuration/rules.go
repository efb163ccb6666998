package configuration

import (
	"encoding/json"
	"slices"
	"sync"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/rule"
)

// Rules holds the newest rules of the operators that this process has seen. Without any, each work is
// decided by its queue alone.
type Rules struct {
	log *zap.Logger

	mu      sync.Mutex
	version int64
	list    *rule.List
}

// withoutEffect names the actions that works of steps do not know: their attempts and pool are those of their
// queue, nothing is preempted, and there are no teams to charge.
var withoutEffect = []string{"preempt", "quota", "retry", "route"}

// NewRules returns a Rules that holds none.
func NewRules(log *zap.Logger) *Rules { return &Rules{log: log} }

// storedRules is the stored form; editors and past edits stand beside.
type storedRules struct {
	Version int64           `json:"version"`
	Rules   json.RawMessage `json:"rules"`
}

// Apply puts a stored document in force if it is newer. A store that was restored may tell of an older one;
// rules that were accepted never come back.
func (r *Rules) Apply(raw []byte) {
	var s storedRules
	if err := json.Unmarshal(raw, &s); err != nil {
		r.log.Error("configuration: stored rules cannot be read, the last ones stay in force", zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version <= r.version {
		return
	}
	list, err := rule.Parse(s.Rules)
	if err != nil {
		r.log.Error("configuration: stored rules have findings, the last ones stay in force", zap.Int64("version", s.Version), zap.Error(err))
		return
	}
	r.version, r.list = s.Version, list
	for _, one := range list.Document().Rules {
		for _, a := range one.Then {
			if slices.Contains(withoutEffect, a.Kind) {
				r.log.Warn("configuration: an action has no effect on works of steps", zap.String("rule", one.ID), zap.String("action", a.Kind))
			}
		}
	}
	r.log.Info("configuration: rules in force", zap.Int64("version", s.Version), zap.Int("rules", len(list.Document().Rules)))
}

// Current gives the rules in force, or nil.
func (r *Rules) Current() *rule.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// Decide gives what the rules in force decide for a work.
func (r *Rules) Decide(w *job.Work) rule.Effect { return r.Current().DecideWork(w) }
