package policy

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"turmericgap/job"
	"turmericgap/planner"
	"turmericgap/rule/standard"
	"turmericgap/standin/golden"
)

func plannerPolicy(l *Load) Policy {
	return Planner("planner", planner.Rules(standard.List()), planner.Quotas(l.Quotas))
}

// Guards against unnoticed changes of the planner's decisions: the figures of each load, under the planner and both
// baselines, must equal the golden file.
func TestMeasure(t *testing.T) {
	for _, l := range []*Load{Kayal(1), Padan(1), TwoYear(1, 10)} {
		t.Run(l.Name, func(t *testing.T) {
			var got strings.Builder
			for _, p := range []Policy{FirstFit(), RandomOfTwo(1), plannerPolicy(l)} {
				got.WriteString(Replay(l, p).String())
			}
			t.Log(got.String())
			path := "testdata/" + strings.ReplaceAll(l.Name, " ", "-") + ".txt"
			golden.Equal(t, path, []byte(got.String()))
		})
	}
}

// BenchmarkNights compares policies by their totals over twelve nights of each load, since single nights vary by
// chance.
func BenchmarkNights(b *testing.B) {
	classes := map[string][3]string{"kayal": {"fleet", "roster", "booking"}, "padan": {"closing", "matching", "balance"}}
	for _, load := range []func(uint64) *Load{Kayal, Padan} {
		for _, policy := range []func(*Load) Policy{func(*Load) Policy { return FirstFit() }, func(*Load) Policy { return RandomOfTwo(1) }, plannerPolicy} {
			l := load(1)
			b.Run(l.Name+"/"+policy(l).Name, func(b *testing.B) {
				const nights = 12
				var missedLarge, missedSmall int
				var packing, wait float64
				for seed := range uint64(nights * b.N) {
					l := load(1 + seed)
					r := Replay(l, policy(l))
					c := classes[l.Name]
					missedLarge, missedSmall = missedLarge+r.byClass[c[0]].Missed, missedSmall+r.byClass[c[1]].Missed
					packing, wait = packing+r.Packing()/nights, wait+r.WaitQuantile(c[2], 0.99).Seconds()/nights
				}
				b.ReportMetric(float64(missedLarge)/float64(b.N), "missed-large")
				b.ReportMetric(float64(missedSmall)/float64(b.N), "missed-small")
				b.ReportMetric(packing/float64(b.N), "packing")
				b.ReportMetric(wait/float64(b.N), "interactive-p99-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// newFullPlanner returns a planner with workers and more tasks than they can run, from 22 teams. Each class has the
// given number of sizes.
func newFullPlanner(l *Load, workers, tasks, sizes int) *planner.Planner {
	p := planner.New(planner.Rules(standard.List()), planner.Quotas(l.Quotas))
	now := l.From
	for i := range workers {
		p.SetWorker(now, l.Workers[i], true, false)
	}
	for i := range tasks / 10 {
		s := &job.Submission{
			Key: fmt.Sprint(i), Team: fmt.Sprintf("team%02d", i%22), Class: []string{"sweep", "matching", "other"}[i%3],
			Kind: job.Batch, Tasks: 10, Repeatable: true, RunSeconds: 10,
			TaskResources: job.Resources{Millicores: int64(1000 + 250*(i/22%sizes)), MemoryMB: int64(2000 + 500*(i/22%sizes))},
		}
		p.Add(now, &planner.Job{ID: s.Key, Spec: s, Accepted: now})
	}
	return p
}

// BenchmarkMemory measures the memory of a full planner for one zone and for a whole cell.
func BenchmarkMemory(b *testing.B) {
	for name, workers := range map[string]int{"zone": 128, "cell": 770} {
		b.Run(name, func(b *testing.B) {
			l := TwoYear(1, 1)
			heap := func() uint64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heap()
			p := newFullPlanner(l, workers, workers*13, 4)
			for now := l.From; len(p.Next(now, 64).Starts) > 0; {
				continue
			}
			b.ReportMetric(float64(heap()-before), "bytes")
			s := p.Stats(l.From)
			b.ReportMetric(float64(s.Running), "running")
			b.ReportMetric(float64(s.Pending["sweep"]+s.Pending["matching"]+s.Pending["other"]), "pending")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkDecide measures the end of a task and the pass that starts its replacement.
func BenchmarkDecide(b *testing.B) {
	for _, sizes := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("sizes=%d", sizes), func(b *testing.B) { benchmarkDecide(b, sizes) })
	}
}

func benchmarkDecide(b *testing.B, sizes int) {
	l := TwoYear(1, 1)
	p, now := newFullPlanner(l, len(l.Workers), 19_000, sizes), l.From
	var running []planner.Start
	for {
		plan := p.Next(now, 64)
		if len(plan.Starts) == 0 {
			break
		}
		running = append(running, plan.Starts...)
	}
	b.ReportAllocs()
	latencies := make([]time.Duration, 0, 1<<20)
	starts, i := 0, 0
	for b.Loop() {
		now = now.Add(3 * time.Millisecond)
		start := time.Now()
		s := running[i%len(running)]
		p.Release(now, s.Job, s.Task, planner.AttemptResult{Completed: true, RunTime: 10 * time.Second, Requeue: true})
		plan := p.Next(now, 64)
		latencies = append(latencies, time.Since(start))
		starts += len(plan.Starts)
		if len(plan.Starts) > 0 {
			running[i%len(running)] = plan.Starts[0]
			running = append(running, plan.Starts[1:]...)
		} else {
			running[i%len(running)] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		i++
	}
	b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(quantile(latencies, 0.99).Microseconds()), "p99-us")
	b.ReportMetric(float64(quantile(latencies, 1).Microseconds()), "max-us")
	b.ReportMetric(float64(p.Stats(now).Running), "running")
	pending := 0
	for _, n := range p.Stats(now).Pending {
		pending += n
	}
	b.ReportMetric(float64(pending), "pending")
}
