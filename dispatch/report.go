package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// reportEvery is the pause between two lines on the whole cell.
const reportEvery = time.Second

// report logs what the cell has and what waits for it, so that an engineer can tell a request that waited
// for room from one that waited for a decision.
func (t *term) report(now time.Time) {
	var has, free, kept, reserved int64
	usable, runs := 0, 0
	for _, n := range t.nodes {
		runs += len(n.runs)
		if !n.usable(now) {
			continue
		}
		usable++
		has += n.listing.Has.Millicores
		free += n.free.Millicores
		kept += n.held.Millicores
		reserved += n.reserved.Millicores
	}
	waiting, asking, gangs := 0, 0, 0
	for s := range t.stages {
		waiting += s.waiting
		asking += s.asking
		if s.spec.Gang {
			gangs++
		}
	}
	t.log.Info("dispatch: state of the cell", zap.Int("workers", len(t.nodes)), zap.Int("usable", usable),
		zap.Int64("millicores", has), zap.Int64("freeMillicores", free), zap.Int64("keptMillicores", kept),
		zap.Int64("reservedMillicores", reserved), zap.Int("works", len(t.entries)), zap.Int("runs", runs),
		zap.Int("waitingSteps", len(t.stages)), zap.Int("waitingGangs", gangs), zap.Int("waitingTasks", waiting),
		zap.Int("questions", asking))
}
