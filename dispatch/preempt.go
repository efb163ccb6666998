package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/feature"
	"turmericgap/logger"
	"turmericgap/preemption"
)

// preempted is a worker on which runs were stopped for a task of a stage.
type preempted struct {
	node *node
	runs []*run
}

// preemptFor stops runs so that the tasks of an urgent stage that found no capacity start in time. The capacity that this
// frees is set aside until the stage has tried to start there, or is late.
func (t *term) preemptFor(s *stage, now time.Time) {
	s.preempted = slices.DeleteFunc(s.preempted, func(p preempted) bool {
		return !slices.ContainsFunc(p.runs, func(r *run) bool { return !r.ended })
	})
	if e := s.entry; s.waiting == 0 || s.spec.Service || e.priority() != 0 || !t.recordHasRoom(e, 1) ||
		!t.features.Decide(feature.Preemption, t.o.Pressure, feature.Settings, now) || t.urgencyOf(s, now).lateness != latenessOnTime {
		s.preempted = nil
		return
	}
	slack := s.occurrence.deadline(s.entry).Sub(now) - s.spec.Estimate - s.entry.remainingAfter[s.index]
	t.refreshCapacities()
	cores, missing := float64(t.totalMillicores)/1000, s.waiting-len(s.preempted)
	if missing > 0 && s.openRequests == 0 && t.preemptor.IsDue(now, cores, slack, t.o.StopTimeout) {
		t.stopForUrgent(s, missing, cores, now)
	}
	for _, p := range s.preempted {
		s.setAsideCapacity(p.node, 1)
	}
}

// stopForUrgent stops runs on permitted workers for that many tasks of an urgent stage.
func (t *term) stopForUrgent(s *stage, tasks int, cores float64, now time.Time) {
	var workers []preemption.Worker[*node, *run]
	for _, n := range t.allowedNodes(s) {
		if !t.usable(n, now) || !t.matches(s, n) || !s.permitted(n, now) || s.interferes(n) || t.limitTasks(s, n, now, 1) == 0 {
			continue
		}
		w := preemption.Worker[*node, *run]{Ref: n, Free: n.available()}
		for _, r := range n.runs {
			if e, spec := r.stage.entry, r.stage.spec; r.Confirmed && !r.Recovered && !r.stopping {
				w.Runs = append(w.Runs, preemption.Run[*run]{
					Ref: r, Needs: r.need, Priority: e.priority(), Gang: spec.Gang, Service: spec.Service, Saves: spec.Checkpoints,
					Age: now.Sub(r.confirmedAt), Slack: r.stage.occurrence.deadline(e).Sub(now) - r.stage.minRemaining(),
				})
			}
		}
		workers = append(workers, w)
	}
	for _, c := range preemption.Choose(&t.preemptor, now, cores, s.taskResources(), s.entry.priority(), tasks, workers) {
		p := preempted{node: c.Worker}
		for _, v := range c.Runs {
			r := v.Ref
			t.log.Info("dispatch: run stopped for an urgent task", append(logger.Fields(v.LogFields()), zap.String("id", r.stage.entry.work.ID), zap.Int("step", r.stage.index),
				zap.Int("task", r.index), zap.Int64("run", r.number), zap.String("worker", p.node.id),
				zap.String("for", s.entry.work.ID), zap.Float64("lost", c.Lost))...)
			t.o.Metrics.Counter("dispatch.preempted").Inc(1)
			t.halt(r)
			p.runs = append(p.runs, r)
		}
		s.preempted = append(s.preempted, p)
	}
}
