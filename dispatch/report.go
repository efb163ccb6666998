package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/permit"
	"turmericgap/tally"
)

// reportInterval is the interval between two log reports on the state of the cell.
const reportInterval = time.Second

// report logs the cell's capacity and backlog, so that an engineer can distinguish a request that waited for capacity
// from one that waited for a decision.
func (t *term) report(now time.Time) {
	var total, free, setAside, reserved int64
	usable, runs := 0, 0
	for _, n := range t.nodes {
		runs += len(n.runs)
		if !n.usable(now) {
			continue
		}
		usable++
		total += n.listing.Has.Millicores
		free += n.free.Millicores
		setAside += n.setAside.Millicores
		reserved += n.reserved.Millicores
	}
	waiting, openRequests, gangs := 0, 0, 0
	for s := range t.waitingStages {
		waiting += s.waiting
		openRequests += s.openRequests
		if s.spec.Gang {
			gangs++
		}
	}
	t.log.Info("dispatch: state of the cell", zap.Int("workers", len(t.nodes)), zap.Int("usable", usable),
		zap.Int64("millicores", total), zap.Int64("freeMillicores", free), zap.Int64("keptMillicores", setAside),
		zap.Int64("reservedMillicores", reserved), zap.Int("works", len(t.entries)), zap.Int("runs", runs),
		zap.Int("waitingSteps", len(t.waitingStages)), zap.Int("waitingGangs", gangs), zap.Int("waitingTasks", waiting),
		zap.Int("questions", openRequests), zap.Duration("lag", t.lag.Mean()), zap.Duration("listBehind", t.listBehind),
		zap.Float64("turnedAway", t.overloadDetector.RejectRatio()),
		zap.Int64("passes", t.pass.number), zap.Int("stagesInPass", t.pass.triedStages),
		zap.Int("looksInPass", t.pass.examined),
		zap.Duration("pass", t.pass.took))
	t.reportSizes(now)
	t.logAccounts()
}

// reportSizes logs, for each queue and size class with waiting or changed works, the outcomes of its works under this
// owner, how many wait, how many of those can still be on time, and what gangs wait for. A class that is served less
// often than the rest of its queue shows up here long before callers notice, along with the cause: the order of starts,
// permits or capacity.
func (t *term) reportSizes(now time.Time) {
	type waiting struct {
		steps, inTime int
		gangs         map[gangWaitReason]int
	}
	found := make(map[tally.Class]*waiting)
	for s := range t.waitingStages {
		key := tally.Class{Queue: s.entry.work.Queue.Name, Size: s.entry.class}
		w := found[key]
		if w == nil {
			w = &waiting{gangs: make(map[gangWaitReason]int)}
			found[key] = w
		}
		w.steps++
		if t.urgencyOf(s, now).lateness == latenessOnTime {
			w.inTime++
		}
		if s.spec.Gang {
			w.gangs[s.waitReason]++
		}
	}
	for key, counts := range t.tallies.Changed(func(key tally.Class) bool { return found[key] != nil }) {
		fields := []zap.Field{zap.String("queue", key.Queue), zap.Stringer("class", key.Size)}
		for _, o := range tally.Outcomes() {
			fields = append(fields, zap.Int(string(o), counts.Count(o)))
		}
		if w := found[key]; w != nil {
			fields = append(fields, zap.Int("waitingSteps", w.steps), zap.Int("waitingInTime", w.inTime))
			for reason, n := range w.gangs {
				fields = append(fields, zap.Int("gangsWaitFor."+string(reason), n))
			}
		}
		t.log.Info("dispatch: works by size", fields...)
	}
}

// countFull counts the workers of a permit response on which no task of the stage could start now.
func (t *term) countFull(s *stage, grants []permit.Grant, now time.Time) int {
	own := make(map[string]bool, len(s.setAside))
	for _, k := range s.setAside {
		own[k.node.id] = true
	}
	full := 0
	for i := range grants {
		n := t.nodes[grants[i].Worker]
		if n == nil || !n.usable(now) || !own[n.id] && t.tasksFitting(s, n, now) == 0 {
			full++
		}
	}
	return full
}
