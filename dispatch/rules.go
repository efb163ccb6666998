package dispatch

import (
	"go.uber.org/zap"

	"turmericgap/workrecord"
)

// applyRules sets the effect of the first of the operators' rules that matches a work. The configuration of the work's
// queue applies to what the rule leaves open.
func (t *term) applyRules(e *entry) {
	previous := e.effect.Rule
	e.effect = t.rules.DecideWork(e.work)
	if e.effect.Rule != previous {
		t.log.Info("dispatch: rule decides", zap.String("id", e.work.ID), zap.String("rule", e.effect.Rule),
			zap.Int64("rules", t.rulesVersion()), zap.Int("priority", e.priority()), zap.Int("mostRunning", e.effect.MaxRunning))
	}
}

func (t *term) rulesVersion() int64 {
	if t.rules == nil {
		return 0
	}
	return t.rules.Version()
}

func (t *term) configVersion() int64 {
	if t.config == nil {
		return 0
	}
	return t.config.Version
}

// priority returns the priority of the queue, raised by the amount that the rule sets; lower values go first.
func (e *entry) priority() int { return e.queue.Priority - e.effect.Priority }

// strategySpread is the strategy of a rule that places tasks on the emptiest workers.
const strategySpread = "spread"

// emptiestFirst reports whether a stage prefers the workers with the most available CPU: a gang, which then needs fewer
// workers, and tasks spread by a rule or lost with a worker, which then share their workers with fewer others.
func (s *stage) emptiestFirst() bool {
	return s.spec.Gang || s.entry.effect.Strategy == strategySpread || len(s.suspects) > 0
}

// refreshRuleLimits computes for each rule with a limit how many more tasks may run under it.
func (t *term) refreshRuleLimits() {
	clear(t.ruleCapacity)
	if t.rules == nil {
		return
	}
	for _, e := range t.entries {
		if limit := e.effect.MaxRunning; limit > 0 {
			remaining, known := t.ruleCapacity[e.effect.Rule]
			if !known {
				remaining = limit
			}
			t.ruleCapacity[e.effect.Rule] = remaining - e.activeRuns
		}
	}
}

// mayStart reports whether one more task of a stage may run under its rule and the cap of its account, and whether the
// record of its work has room for that.
func (t *term) mayStart(s *stage) bool {
	need := s.capNeed()
	return t.ruleAllows(s.entry, 1) && t.accounts.ledger.Fit(&need) > 0 && t.recordHasRoom(s.entry, 1)
}

// recordHasRoom reports whether this many more tasks of a work may run without its record growing too large.
func (t *term) recordHasRoom(e *entry, tasks int) bool {
	return e.room.Fits(tasks*workrecord.TaskBytes, t.o.MaxRecordBytes)
}

// ruleAllows reports whether this many more tasks of a work may run under its rule.
func (t *term) ruleAllows(e *entry, tasks int) bool {
	return e.effect.MaxRunning == 0 || t.ruleCapacity[e.effect.Rule] >= tasks
}
