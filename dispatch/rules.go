package dispatch

import "go.uber.org/zap"

// applyRules puts the first of the operators' rules that holds for a work in force for it. What the rule leaves
// open is as the work's queue says.
func (t *term) applyRules(e *entry) {
	was := e.effect.Rule
	e.effect = t.rules.DecideWork(e.work)
	if e.effect.Rule != was {
		t.log.Info("dispatch: rule decides", zap.String("id", e.work.ID), zap.String("rule", e.effect.Rule),
			zap.Int64("rules", t.rulesVersion()), zap.Int("priority", e.priority()), zap.Int("mostRunning", e.effect.MostRunning))
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

// priority orders works, the lowest first: that of the queue, raised by as much as the rule says.
func (e *entry) priority() int { return e.queue.Priority - e.effect.Priority }

// strategySpread is the strategy by which a rule has tasks placed on the emptiest workers.
const strategySpread = "spread"

// emptiestFirst reports whether a stage's tasks go to the workers with the most room: a gang then needs few
// of them, and what a rule spreads shares its worker with little else.
func (s *stage) emptiestFirst() bool { return s.spec.Gang || s.entry.effect.Strategy == strategySpread }

// refreshRuleLimits counts, for each rule with a bound, how many more tasks may run under it.
func (t *term) refreshRuleLimits() {
	clear(t.ruleCapacity)
	if t.rules == nil {
		return
	}
	for _, e := range t.entries {
		if most := e.effect.MostRunning; most > 0 {
			left, known := t.ruleCapacity[e.effect.Rule]
			if !known {
				left = most
			}
			t.ruleCapacity[e.effect.Rule] = left - e.activeRuns
		}
	}
}

// ruleAllows reports whether so many more tasks of a work may run under its rule.
func (t *term) ruleAllows(e *entry, tasks int) bool {
	return e.effect.MostRunning == 0 || t.ruleCapacity[e.effect.Rule] >= tasks
}
