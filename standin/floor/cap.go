package floor

import (
	"fmt"

	"turmericgap/job"
)

// checkCap records a violation if a start brings what its account has running on all workers above the cap, its overrun
// and one task.
func (c *Cluster) checkCap(started *activeRun) {
	account := started.behaviour.Account
	if c.CapOf == nil || account == "" {
		return
	}
	limit := c.CapOf(account)
	var others job.Resources
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r != started && r.behaviour.Account == account {
				others = others.Plus(r.behaviour.Resources)
			}
		}
	}
	exceeds := func(used, limit int64) bool { return limit > 0 && float64(used) > float64(limit)*(1+c.CapOverrun) }
	if exceeds(others.Millicores, limit.Millicores) || exceeds(others.MemoryMB, limit.MemoryMB) || exceeds(others.Accelerators, limit.Accelerators) {
		c.violations = append(c.violations, fmt.Sprintf("account %s above its cap %v: %s starts beside %v", account, limit, started.record.describe(), others))
	}
}
