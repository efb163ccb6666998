package dispatch

import (
	"fmt"
	"testing"
	"time"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/worker"
)

// benchVMs is how many VMs may ask the policy service in the benchmarks.
const benchVMs = 97

// fullCell is a term with workers that are full and stages that wait, none of which can start.
func fullCell(b *testing.B, workers, stages, allowed int) *term {
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
		n.listing = worker.Listing{Info: worker.Info{ID: n.id, Has: job.Resources{Millicores: 16000, MemoryMB: 64000}}, Pool: "p"}
		n.listed, n.synced, n.heard = true, true, now.Add(time.Second)
		n.free = job.Resources{Millicores: 100, MemoryMB: 64000}
		n.file()
		ids = append(ids, n.id)
	}
	for i := range stages {
		w := &job.Work{
			ID: fmt.Sprint(i), Accepted: now.Add(time.Duration(i) * time.Millisecond), Queue: job.Queue{Pool: "p", Attempts: 2, Slack: 4, Target: time.Hour, Permit: &job.PermitCost{}},
			Steps: []job.Step{{Tasks: 10, Each: job.Resources{Millicores: 1000, MemoryMB: 100}, Gang: i%10 == 9}},
		}
		t.add(w)
		s := t.entries[w.ID].live[0].stages[0]
		s.answers = make(map[string]ticket)
		for k := range ids {
			if k < 100 {
				s.answers[ids[(i*7+k)%len(ids)]] = ticket{allowed: k < allowed, until: now.Add(time.Hour)}
			}
		}
	}
	return t
}

// BenchmarkPass measures one pass over a full cell, which each end of a task asks for.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, stages int }{{48, 60}, {350, 400}, {770, 1000}, {3000, 4000}} {
		b.Run(fmt.Sprintf("workers=%d/stages=%d", size.workers, size.stages), func(b *testing.B) {
			t := fullCell(b, size.workers, size.stages, 40)
			for b.Loop() {
				t.place(time.Now())
			}
		})
	}
}
