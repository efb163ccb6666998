package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/worker"
)

// cellOf is a term with workers of four cores that answer.
func cellOf(t *testing.T, racks ...string) *term {
	term := newTerm(t.Context(), newOptions(nil), &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
	now := time.Now()
	for i, rack := range racks {
		n := term.nodeFor(string(rune('a' + i)))
		n.listing = worker.Listing{Info: worker.Info{ID: n.id, Rack: rack, Has: job.Resources{Millicores: 4000, MemoryMB: 100}}}
		n.listed, n.synced, n.heard, n.free = true, true, now.Add(time.Hour), n.listing.Has
		n.file()
	}
	return term
}

func gangOfTwo(permit *job.PermitCost) *job.Work {
	return &job.Work{
		ID: "gang", Queue: job.Queue{Attempts: 2, Permit: permit}, Accepted: time.Now(),
		Steps: []job.Step{{Tasks: 2, Gang: true, SameRack: true, Each: job.Resources{Millicores: 4000}}},
	}
}

// A worker on trial gets one run. That must not be the second try of a task, which may be its last, nor a
// member of a gang, all of which would fail with it.
func TestTrialsAreOfFreshTasks(t *testing.T) {
	is := is.New(t)
	fresh := stageOf(&job.Work{Steps: []job.Step{{Tasks: 1}}})
	failed := stageOf(&job.Work{Steps: []job.Step{{Tasks: 1}}})
	failed.failedOn("another")
	u := &trust{failed: restAfter}
	is.True(u.tries(fresh))
	is.True(!u.tries(failed))
	is.True(!u.tries(stageOf(gangOfTwo(nil))))
	u.trial = &run{}
	is.True(!u.tries(fresh))
}

// Everything fails on every worker, as where a program is broken. Workers must not rest one after the other
// until work that could run waits for a worker to be trusted again.
func TestFewWorkersRest(t *testing.T) {
	is := is.New(t)
	term := cellOf(t, "r1", "r1", "r1", "r1", "r1", "r1", "r1", "r1")
	for id, n := range term.nodes {
		for i := range restAfter {
			s := stageOf(&job.Work{ID: id + string(rune('0'+i)), Steps: []job.Step{{Tasks: 1}}})
			term.judge(&run{s: s, n: n}, worker.EndingFailed)
		}
	}
	resting := 0
	for _, n := range term.nodes {
		if n.rests(time.Now()) {
			resting++
		}
	}
	is.Equal(resting, len(term.nodes)/restShare)
}

// A gang that runs three times as long over two racks has asked for workers in two questions, and the first
// answer allows one worker in each rack. The second may bring another one in the same rack: the gang must not
// start before it is there.
func TestGangAwaitsItsRack(t *testing.T) {
	is := is.New(t)
	term := cellOf(t, "r1", "r2")
	s := stageOf(gangOfTwo(nil))
	now := time.Now()
	nodes := term.sorted(s, now, all)
	is.Equal(len(nodes), 2)
	s.asking = 1
	is.True(term.spread(s, nodes, now, all) == nil)
	s.asking = 0
	is.Equal(len(term.spread(s, nodes, now, all)), 2)
}
