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
		zap.Int("questions", asking), zap.Duration("lag", time.Duration(t.lag.usual.Load())), zap.Float64("turnedAway", t.behind.RejectRatio()),
		zap.Int64("passes", t.pass.number), zap.Int("stagesInPass", t.pass.tried), zap.Int("looksInPass", t.pass.looks),
		zap.Duration("pass", t.pass.took))
	t.reportSizes(now)
}

// reportSizes logs, where anything waits or has changed, for each queue and class of sizes what became of its works under this owner, how many wait, how
// many of them can still be in time, and what gangs wait for. A class that is served less often than its queue shows
// here long before callers count it, and whether for want of its turn, of permits or of room.
func (t *term) reportSizes(now time.Time) {
	type waiting struct {
		steps, inTime int
		gangs         map[gangWait]int
	}
	found := make(map[sizeClass]*waiting)
	for s := range t.stages {
		key := sizeClass{s.e.work.Queue.Name, s.e.class}
		w := found[key]
		if w == nil {
			w = &waiting{gangs: make(map[gangWait]int)}
			found[key] = w
		}
		w.steps++
		if t.urgencyOf(s, now).hope == hopeInTime {
			w.inTime++
		}
		if s.spec.Gang {
			w.gangs[s.waits]++
		}
	}
	for key, tally := range t.tallies {
		if tally.told && found[key] == nil {
			continue
		}
		tally.told = true
		fields := []zap.Field{zap.String("queue", key.queue), zap.Stringer("class", key.class)}
		for _, f := range []fate{fateTaken, fateInTime, fateLate, fateLost, fateFailed, fateCancelled} {
			fields = append(fields, zap.Int(string(f), tally.became[f]))
		}
		if w := found[key]; w != nil {
			fields = append(fields, zap.Int("waitingSteps", w.steps), zap.Int("waitingInTime", w.inTime))
			for why, n := range w.gangs {
				fields = append(fields, zap.Int("gangsWaitFor."+string(why), n))
			}
		}
		t.log.Info("dispatch: works by size", fields...)
	}
}
