package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/worker"
)

// termWithWorkers is a term with workers of four cores that answer.
func termWithWorkers(t *testing.T, racks ...string) *term {
	term := newTerm(t.Context(), newOptions(nil), &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
	now := time.Now()
	for i, rack := range racks {
		n := term.nodeFor(string(rune('a' + i)))
		n.listing = worker.ListedWorker{Info: worker.Info{ID: n.id, Rack: rack, Has: job.Resources{Millicores: 4000, MemoryMB: 100}}}
		n.listed, n.synced, n.heardAt, n.free = true, true, now.Add(time.Hour), n.listing.Has
		n.updateIndex()
	}
	return term
}

func gangOfTwo(permit *job.PermitCost) *job.Work {
	return &job.Work{
		ID: "gang", Queue: job.Queue{MaxAttempts: 2, Permit: permit}, Accepted: time.Now(),
		Steps: []job.Step{{Tasks: 2, Gang: true, SameRack: true, TaskResources: job.Resources{Millicores: 4000}}},
	}
}

// A worker on trial gets one run. That must not be the second try of a task, which may be its last, nor a
// member of a gang, all of which would fail with it.
func TestTrialsAreOfFreshTasks(t *testing.T) {
	is := is.New(t)
	fresh := stageOf(&job.Work{Steps: []job.Step{{Tasks: 1}}})
	failed := stageOf(&job.Work{Steps: []job.Step{{Tasks: 1}}})
	failed.noteFailureOn("another")
	u := &health{failedInARow: quarantineAfter}
	is.True(u.acceptsTrial(fresh))
	is.True(!u.acceptsTrial(failed))
	is.True(!u.acceptsTrial(stageOf(gangOfTwo(nil))))
	u.trialRun = &run{}
	is.True(!u.acceptsTrial(fresh))
}

// Everything fails on every worker, as where a program is broken. Workers must not rest one after the other
// until work that could run waits for a worker to be trusted again.
func TestFewWorkersRest(t *testing.T) {
	is := is.New(t)
	term := termWithWorkers(t, "r1", "r1", "r1", "r1", "r1", "r1", "r1", "r1")
	for id, n := range term.nodes {
		for i := range quarantineAfter {
			s := stageOf(&job.Work{ID: id + string(rune('0'+i)), Steps: []job.Step{{Tasks: 1}}})
			term.noteEnding(&run{stage: s, node: n}, worker.OutcomeFailed)
		}
	}
	resting := 0
	for _, n := range term.nodes {
		if n.isQuarantined(time.Now()) {
			resting++
		}
	}
	is.Equal(resting, len(term.nodes)/quarantineShare)
}

// A gang that runs three times as long over two racks has asked for workers in two questions, and the first
// answer allows one worker in each rack. The second may bring another one in the same rack: the gang must not
// start before it is there.
func TestGangAwaitsItsRack(t *testing.T) {
	is := is.New(t)
	term := termWithWorkers(t, "r1", "r2")
	s := stageOf(gangOfTwo(nil))
	now := time.Now()
	nodes := term.sortedCandidates(s, now, anyNode)
	is.Equal(len(nodes), 2)
	s.openRequests = 1
	is.True(term.planGang(s, nodes, now, anyNode) == nil)
	s.openRequests = 0
	is.Equal(len(term.planGang(s, nodes, now, anyNode)), 2)
}
