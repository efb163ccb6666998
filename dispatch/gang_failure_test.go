package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/presence"
	"turmericgap/worker"
	"turmericgap/workrecord"
)

// Guards against counting the failure of one run of a gang twice, when a member that was ended with its gang reports a
// failure of its own after or before another has.
func TestFailureOfGangCountsOnce(t *testing.T) {
	for name, lateFirst := range map[string]bool{"late report first": true, "late report last": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			term := newTermWithWorkers(t, "r1", "r1", "r1")
			w := gangOfTwo(nil)
			w.Queue.MaxAttempts, w.Steps[0].Tasks = 3, 3
			s := newTestStage(w)
			term.entries[w.ID] = s.entry
			s.gang = &gangRun{number: 1, membersLeft: 3, Gang: presence.Gang{Complete: true}}
			s.waiting = 0
			var runs []*run
			for i, id := range []string{"a", "b", "c"} {
				r := &run{stage: s, index: i, number: 1, node: term.nodes[id], need: s.taskResources(), sentAt: time.Now(), Run: presence.Run{Confirmed: true}}
				s.tasks[i] = task{phase: workrecord.Started, run: r, number: 1}
				s.entry.activeRuns++
				r.node.charge(r)
				runs = append(runs, r)
			}
			late := func() {
				term.onLateEnd(term.nodes["a"], &worker.EndedRun{Task: runs[0].task(), Run: 1, Outcome: worker.OutcomeFailed})
			}
			term.endRun(runs[2], worker.OutcomeGangBroken, "")
			term.breakMember(runs[0], presence.GangEnded)
			if lateFirst {
				late()
			}
			term.endRun(runs[1], worker.OutcomeFailed, "")
			if !lateFirst {
				late()
			}
			is.Equal(s.failures, 1)
			is.Equal(len(s.unresolved), 0)
			is.Equal(s.entry.state, job.WorkQueued)
		})
	}
}
