package dispatch

import (
	"fmt"
	"testing"
	"time"

	"turmericgap/job"
	"turmericgap/owner"
	"turmericgap/worker"
)

// fullCell is a term with workers that are full and stages that wait, none of which can start.
func fullCell(b *testing.B, workers, stages, allowed int) *term {
	o := newOptions(nil)
	t := newTerm(b.Context(), o, &owner.Tenure{Fence: 1, Confirmed: func(time.Duration) bool { return true }})
	now := time.Now()
	var ids []string
	for i := range workers {
		n := t.nodeFor(fmt.Sprintf("w%04d", i))
		n.listing = worker.Listing{Info: worker.Info{ID: n.id, Has: job.Resources{Millicores: 16000, MemoryMB: 64000}}, Pool: "p"}
		n.listed, n.synced, n.heard = true, true, now.Add(time.Second)
		n.free = job.Resources{Millicores: 100, MemoryMB: 64000}
		ids = append(ids, n.id)
	}
	for i := range stages {
		w := &job.Work{
			ID: fmt.Sprint(i), Accepted: now, Queue: job.Queue{Pool: "p", Slack: 4, Target: time.Hour, Permit: &job.PermitCost{}},
			Steps: []job.Step{{Tasks: 10, Each: job.Resources{Millicores: 1000, MemoryMB: 100}, Gang: i%10 == 0}},
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

// BenchmarkPass measures one pass over a full cell, which each end of a task asks for: 0.34, 2.9 and 6.8 ms
// for the three sizes. With an order of choice over all workers it took 1.2, 15.0 and 60.8 ms.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, stages int }{{48, 60}, {350, 400}, {770, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/stages=%d", size.workers, size.stages), func(b *testing.B) {
			t := fullCell(b, size.workers, size.stages, 40)
			for b.Loop() {
				t.place(time.Now())
			}
		})
	}
}
