package floor

import "turmericgap/worker"

// members returns the present runs of a gang and their workers.
func (c *Cluster) members(key runKey) map[*activeRun]*Worker {
	out := make(map[*activeRun]*Worker)
	for _, w := range c.workers {
		for k, r := range w.runs {
			task := k.task
			task.Index = key.task.Index
			if task == key.task && k.run == key.run {
				out[r] = w
			}
		}
	}
	return out
}

// startGang starts the work of a gang once all its members are present.
func (c *Cluster) startGang(key runKey, size int) {
	members := c.members(key)
	if len(members) < size {
		return
	}
	slowest := 0.0
	for _, w := range members {
		slowest = max(slowest, w.slowness())
	}
	for r, w := range members {
		r.behaviour.Duration = scale(r.behaviour.Duration, slowest)
		w.startWork(r)
	}
}

// endGang ends the other members of a gang: as done if one is done, otherwise as broken.
func (c *Cluster) endGang(key runKey, ending worker.RunOutcome) {
	memberEnding := worker.OutcomeGangBroken
	if ending == worker.OutcomeDone {
		memberEnding = worker.OutcomeDone
	}
	for r, w := range c.members(key) {
		if w.runs[r.key] == r {
			w.endRun(r, memberEnding)
		}
	}
}
