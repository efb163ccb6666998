package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/quarantine"
	"turmericgap/worker"
)

// newTermWithWorkers returns a term with a synced worker of four cores in each of the racks.
func newTermWithWorkers(t *testing.T, racks ...string) *term {
	term := newTerm(t.Context(), newOptions(nil), &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
	now := time.Now()
	for i, rack := range racks {
		n := term.nodeFor(string(rune('a' + i)))
		n.listing = worker.ListedWorker{Info: worker.Info{ID: n.id, Rack: rack, Has: job.Resources{Millicores: 4000, MemoryMB: 100}}}
		n.listed, n.synced, n.lastAnswerAt, n.free = true, true, now.Add(time.Hour), n.listing.Has
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

// Guards against using up the last attempt of a task, or failing a whole gang, by a trial run on a suspect worker while
// others can show whether it is sound, and against a worker that is never tried because nothing else needs it.
func TestTrialsAreOfFreshTasksFirst(t *testing.T) {
	is := is.New(t)
	stageWith := func(attempts, failures int) *stage {
		s := newTestStage(&job.Work{Queue: job.Queue{MaxAttempts: attempts}, Steps: []job.Step{{Tasks: 1}}})
		s.mostFailures = failures
		return s
	}
	fresh, failed, last, gang := stageWith(3, 0), stageWith(3, 1), stageWith(3, 2), newTestStage(gangOfTwo(nil))
	elsewhere := stageWith(3, 0)
	elsewhere.recordFailureOn("another")
	stalledService := newTestStage(&job.Work{Queue: job.Queue{MaxAttempts: 1}, Steps: []job.Step{{Tasks: 1, Service: true}}})
	now := time.Now()
	u := &health{}
	for i := range quarantine.After {
		u.AddFailure(string(rune('a'+i)), 0, now, func() bool { return true })
	}
	for _, c := range []struct {
		after  time.Duration
		accept []*stage
		reject []*stage
	}{
		{999 * time.Millisecond, nil, []*stage{fresh, failed, elsewhere, last, gang, stalledService}},
		{time.Second, []*stage{fresh, stalledService}, []*stage{failed, elsewhere, last, gang}},
		{1500 * time.Millisecond, []*stage{fresh, failed, elsewhere}, []*stage{last, gang}},
		{2 * time.Second, []*stage{fresh, failed, gang}, []*stage{last}},
		{5 * time.Second, []*stage{fresh, failed, elsewhere, last, gang}, nil},
	} {
		for i, s := range c.accept {
			if !u.acceptsTrial(s, now.Add(c.after)) {
				t.Errorf("after %v: stage %d is rejected", c.after, i)
			}
		}
		for i, s := range c.reject {
			if u.acceptsTrial(s, now.Add(c.after)) {
				t.Errorf("after %v: stage %d is accepted", c.after, i)
			}
		}
	}
	u.trial = &run{}
	is.True(!u.acceptsTrial(fresh, now.Add(time.Hour)))
}

// Guards against a task that is to run alone and is never started, as the only worker for it is on trial.
func TestTrialMayRunAlone(t *testing.T) {
	is := is.New(t)
	term := newTermWithWorkers(t, "r1")
	n, now := term.nodes["a"], time.Now()
	s := newTestStage(&job.Work{Queue: job.Queue{MaxAttempts: 3}, Steps: []job.Step{{Tasks: 1}}})
	for i := range quarantine.After {
		n.AddFailure(string(rune('a'+i)), 0, now, func() bool { return true })
	}
	is.True(!s.fitsAlone(&suspect{}, n, now))
	is.True(s.fitsAlone(&suspect{}, n, now.Add(time.Second)))
}

// Guards against quarantining most workers when every task fails everywhere, as with a broken program: work that could
// run would wait for a worker.
func TestFewWorkersRest(t *testing.T) {
	is := is.New(t)
	term := newTermWithWorkers(t, "r1", "r1", "r1", "r1", "r1", "r1", "r1", "r1")
	for id, n := range term.nodes {
		for i := range quarantine.After {
			s := newTestStage(&job.Work{ID: id + string(rune('0'+i)), Steps: []job.Step{{Tasks: 1}}})
			term.recordEnding(&run{stage: s, node: n}, worker.OutcomeFailed)
		}
	}
	quarantined := 0
	for _, n := range term.nodes {
		if n.isQuarantined(time.Now()) {
			quarantined++
		}
	}
	is.Equal(quarantined, len(term.nodes)/quarantine.Divisor)
}

// Guards against spreading a gang over two racks, where it runs three times as long, while an open permit request may
// still allow a second worker in the same rack.
func TestGangAwaitsItsRack(t *testing.T) {
	is := is.New(t)
	term := newTermWithWorkers(t, "r1", "r2")
	s := newTestStage(gangOfTwo(nil))
	now := time.Now()
	nodes := term.sortedCandidates(s, now, anyNode)
	is.Equal(len(nodes), 2)
	s.openRequests = 1
	is.True(term.planGang(s, nodes, now, anyNode) == nil)
	s.openRequests = 0
	is.Equal(len(term.planGang(s, nodes, now, anyNode)), 2)
}
