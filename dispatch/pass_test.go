package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/worker"
)

// benchVMs is how many VMs can send permit requests in the benchmarks.
const benchVMs = 97

// newFullTerm returns a term with full workers and waiting stages, none of which can start. Each stage has tickets for
// up to 100 workers; that many of them allow it.
func newFullTerm(b *testing.B, workers, stages, allowed int) *term {
	var vms []owner.Node
	for i := range benchVMs {
		vms = append(vms, owner.Node{ID: fmt.Sprintf("vm%03d", i)})
	}
	o := newOptions([]Option{Permits(func() []owner.Node { return vms }, nil)})
	t := newTerm(b.Context(), o, &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
	now := time.Now()
	var ids []string
	for i := range workers {
		n := t.nodeFor(fmt.Sprintf("w%04d", i))
		n.listing = worker.ListedWorker{Info: worker.Info{ID: n.id, Has: job.Resources{Millicores: 16000, MemoryMB: 64000}}, Pool: "p"}
		n.listed, n.synced, n.lastAnswerAt = true, true, now.Add(time.Second)
		n.free = job.Resources{Millicores: 100, MemoryMB: 64000}
		n.updateIndex()
		ids = append(ids, n.id)
	}
	for i := range stages {
		w := &job.Work{
			ID: fmt.Sprint(i), Accepted: now.Add(time.Duration(i) * time.Millisecond), Queue: job.Queue{Pool: "p", MaxAttempts: 2, SlackFactor: 4, Objective: time.Hour, Permit: &job.PermitCost{}},
			Steps: []job.Step{{Tasks: 10, TaskResources: job.Resources{Millicores: 1000, MemoryMB: 100}, Gang: i%10 == 9}},
		}
		t.addWork(w)
		s := t.entries[w.ID].occurrences[0].stages[0]
		s.tickets = make(map[string]ticket)
		for k := range ids {
			if k < 100 {
				s.tickets[ids[(i*7+k)%len(ids)]] = ticket{allowed: k < allowed, until: now.Add(time.Hour)}
			}
		}
	}
	return t
}

// BenchmarkPass measures one pass over a full cell, which the end of each run triggers.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, stages int }{{48, 60}, {350, 400}, {770, 1000}, {3000, 4000}, {6000, 8000}, {12000, 16000}} {
		b.Run(fmt.Sprintf("workers=%d/stages=%d", size.workers, size.stages), func(b *testing.B) {
			t := newFullTerm(b, size.workers, size.stages, 40)
			for b.Loop() {
				t.runPass(time.Now())
			}
		})
	}
}

// BenchmarkPassWithAccounts measures the same pass with client accounts, which share the starts by their weights.
func BenchmarkPassWithAccounts(b *testing.B) {
	for _, accounts := range []int{0, 20, 2000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			t := newFullTerm(b, 350, 400, 40)
			t.config = &job.Config{Version: 1}
			for i := range accounts {
				t.config.Accounts = append(t.config.Accounts, job.Account{
					Name: fmt.Sprint("account", i), Weight: float64(1 + i%7), Cap: job.Resources{Millicores: 1 << 40},
				})
			}
			t.applyAccounts()
			i := 0
			for _, e := range t.entries {
				if accounts > 0 {
					e.work.Account = fmt.Sprint("account", i%accounts)
					i++
				}
				t.applyAccount(e)
			}
			for b.Loop() {
				t.runPass(time.Now())
			}
		})
	}
}

// Guards against starving expired works, or trying thousands of them in each pass after an overload. Each pass tries a
// few of them in rotation. Those with capacity set aside for a permit request are always tried, since nobody else can
// use that capacity.
func TestLostWorksHaveTheirTurns(t *testing.T) {
	is := is.New(t)
	const expired = 300
	stages := make([]*stage, expired)
	order := []urgency{{stage: &stage{}, lateness: latenessOnTime}, {stage: &stage{}, lateness: latenessLate}}
	for i := range stages {
		stages[i] = &stage{}
		order = append(order, urgency{stage: stages[i], lateness: latenessExpired})
	}
	stages[250].setAside = []allocation{{tasks: 1}}
	tried := make(map[*stage]int)
	var p pass
	for range expired/expiredPerPass + 1 {
		p.number++
		limited := p.limitExpired(slices.Clone(order))
		is.Equal(limited[0].stage, order[0].stage)
		is.Equal(limited[1].stage, order[1].stage)
		is.Equal(limited[2].stage, stages[250])
		is.Equal(len(limited), 3+expiredPerPass)
		for _, u := range limited {
			tried[u.stage]++
		}
	}
	is.Equal(len(tried), expired+2)
	is.Equal(len(p.limitExpired(slices.Clone(order[:2+expiredPerPass]))), 2+expiredPerPass)
}

// Guards against a first permit request that names only workers of the caller's zone while these get no new tasks, as
// when the zone has just been cut off: this request and the next one would be useless.
func TestFirstPermitRequestNamesUsableWorkers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	tm := newTerm(t.Context(), newOptions(nil), &owner.Tenure{Fence: 1})
	has := job.Resources{Millicores: 16000, MemoryMB: 64000}
	for i := range maxFullScan + 100 {
		n := tm.nodeFor(fmt.Sprintf("w%04d", i))
		n.listing = worker.ListedWorker{Info: worker.Info{ID: n.id, Zone: fmt.Sprint("z", i%2), Has: has}, Pool: "p"}
		n.listed, n.synced, n.lastAnswerAt, n.free = true, i%2 == 1, now.Add(time.Second), has
		n.updateIndex()
	}
	s := newTestStage(&job.Work{
		ID: "check", Zone: "z0", Queue: job.Queue{Pool: "p", Permit: &checkCost},
		Steps: []job.Step{{Tasks: 3, TaskResources: job.Resources{Millicores: 4000, MemoryMB: 100}}},
	})
	list := tm.unnamedCandidates(s, now)
	named := list[:tm.nameCount(s, list)]
	usable := 0
	for _, c := range named {
		if c.fits > 0 {
			usable++
		}
	}
	is.Equal(len(named), minNamedWorkers)
	is.Equal(usable, minNamedWorkers)
}
