package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The properties run from a fixed seed, so that a verdict does not change from run to run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var start = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// cell lists n workers in zones of four and lets each answer a heartbeat.
func cell(n int, opts ...Option) (f *Fleet, ids []string) {
	f = New(opts...)
	var l []ListEntry
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		ids = append(ids, id)
		l = append(l, ListEntry{ID: id, Zone: fmt.Sprintf("z%d", i/4)})
	}
	f.UpdateList(start, l)
	for _, id := range ids {
		f.RecordHeartbeat(start, id)
	}
	return f, ids
}

// The caller's job fails wherever it runs, one or two such jobs at a time, among jobs that succeed.
// Its failures come in any order on any workers, several times on each.
// No worker may be ejected for them, since all workers are sound.
func TestFailingJobEjectsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ids := cell(rapid.IntRange(1, 12).Draw(t, "workers"))
		now := start
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Second)
			id := rapid.SampledFrom(ids).Draw(t, "worker")
			switch rapid.IntRange(0, 2).Draw(t, "job") {
			case 0:
				f.RecordOutcome(now, id, fmt.Sprintf("good%d", i), "roster", true)
			case 1:
				f.RecordOutcome(now, id, "bad1", "sweep", false)
			case 2:
				f.RecordOutcome(now, id, "bad2", "matching", false)
			}
			for _, o := range ids {
				if s := f.State(now, o); s != Healthy {
					t.Fatalf("%s is %s after step %d", o, s, i)
				}
			}
		}
	})
}

// A worker fails everything that it starts, while the same jobs succeed on others.
// Some failures are of jobs that it failed before; the first N that count eject it.
// Without the comparison with other workers, a batch of one job would never eject it.
func TestFailingWorkerIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ids := cell(rapid.IntRange(4, 12).Draw(t, "workers"))
		jobs := rapid.IntRange(1, 5).Draw(t, "jobs")
		now := start
		for j := range jobs {
			for _, id := range ids[1:] {
				f.RecordOutcome(now, id, fmt.Sprint("job", j), "roster", true)
			}
		}
		for range DefaultFailureThreshold {
			is.New(t).True(f.Admission(now, ids[0]).Decision == Allow)
			f.RecordOutcome(now, ids[0], fmt.Sprint("job", rapid.IntRange(0, jobs-1).Draw(t, "job")), "roster", false)
		}
		is.New(t).Equal(f.State(now, ids[0]), Ejected)
		is.New(t).True(!f.JobFailing("job0"))
	})
}

// Anything fails and succeeds anywhere, in any order, with time passing.
// The ejected part stays within its share, and each zone keeps a worker in use.
func TestShareHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ids := cell(rapid.IntRange(1, 13).Draw(t, "workers"))
		now := start
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			id := rapid.SampledFrom(ids).Draw(t, "worker")
			if f.Admission(now, id).Decision == Deny {
				continue
			}
			f.RecordOutcome(now, id, fmt.Sprint(i%7), fmt.Sprint(i%3), rapid.IntRange(0, 9).Draw(t, "luck") == 0)
			out, kept := 0, map[string]bool{}
			for j, o := range ids {
				zone := fmt.Sprint(j / 4)
				s := f.State(now, o)
				isOut := s == Ejected || s == Probing
				if isOut {
					out++
				}
				kept[zone] = kept[zone] || !isOut
			}
			if out > max(1, len(ids)/DefaultEjectionDivisor) || (out > 0 && out >= len(ids)) {
				t.Fatalf("%d of %d are ejected", out, len(ids))
			}
			for zone, ok := range kept {
				if !ok {
					t.Fatalf("zone %s has no worker in use", zone)
				}
			}
		}
	})
}

// A worker fails everything, is ejected, fails some probes, and heals.
// It gets nothing before its back-off ends, then one task at a time, and all after enough successes.
func TestHealedWorkerReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		f, ids := cell(6)
		now := start
		for i := range DefaultFailureThreshold {
			f.RecordOutcome(now, ids[0], fmt.Sprint("first", i), "roster", false)
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "failed probes") {
			is.Equal(f.Admission(now, ids[0]).Decision, Deny)
			now = f.Ejections()[0].Until
			is.Equal(f.Admission(now, ids[0]).Decision, AllowProbes)
			f.RecordOutcome(now, ids[0], fmt.Sprint("probe", i), "roster", false)
		}
		is.True(f.Ejections()[0].Until.Sub(now) <= DefaultMaxBackOff)
		now = f.Ejections()[0].Until
		for i := range DefaultRequiredProbes {
			is.Equal(f.Admission(now, ids[0]).Limit, 1<<i)
			f.RecordOutcome(now, ids[0], fmt.Sprint("healed", i), "roster", true)
		}
		is.Equal(f.Admission(now, ids[0]), Admission{Decision: Allow})
		is.Equal(len(f.Ejections()), 0)
	})
}

// All workers of a broken release's class fail, each job once, so that single workers look bad.
// Once three sound workers have seen the class fail, those it ejected are let back at once.
func TestBrokenClassIsExonerated(t *testing.T) {
	is := is.New(t)
	f, ids := cell(9)
	for _, id := range ids {
		f.RecordOutcome(start, id, "before", "matching", true)
	}
	for i := range DefaultFailureThreshold {
		f.RecordOutcome(start, ids[0], fmt.Sprint("roster", i), "roster", false)
	}
	is.Equal(f.State(start, ids[0]), Ejected)
	f.RecordOutcome(start, ids[1], "roster8", "roster", false)
	f.RecordOutcome(start, ids[2], "roster9", "roster", false)
	is.True(f.ClassFailing("roster"))
	is.Equal(f.State(start, ids[0]), Probing)
	f.RecordOutcome(start, ids[1], "repaired", "roster", true)
	is.True(!f.ClassFailing("roster"))
}

func TestJobFailing(t *testing.T) {
	is := is.New(t)
	f, ids := cell(8)
	for _, id := range ids[:4] {
		f.RecordOutcome(start, id, "other", "matching", true)
	}
	for i, id := range ids[:3] {
		is.True(!f.JobFailing("bad"))
		f.RecordOutcome(start, id, "bad", "sweep", false)
		is.Equal(f.JobFailing("bad"), i == 2)
	}
	f.RecordOutcome(start, ids[1], "another", "roster", false) // It fails otherwise, so it is no witness.
	is.True(!f.JobFailing("bad"))
	f.RecordOutcome(start, ids[3], "bad", "sweep", false)
	is.True(f.JobFailing("bad"))
	f.ForgetJob("bad")
	is.True(!f.JobFailing("bad"))
	f.RecordOutcome(start, ids[0], "partly", "sweep", true)
	for _, id := range ids {
		f.RecordOutcome(start, id, "partly", "sweep", false)
	}
	is.True(!f.JobFailing("partly"))
}

func TestListAndSigns(t *testing.T) {
	second := start.Add(time.Second)
	cases := []struct {
		name string
		do   func(f *Fleet, l []ListEntry)
		want State
		give Decision
	}{
		{"seen", func(*Fleet, []ListEntry) {}, Healthy, Allow},
		{"one missed heartbeat", func(f *Fleet, _ []ListEntry) { f.RecordMissedHeartbeat(second, "w00") }, Healthy, Allow},
		{"missed heartbeats win over the list", func(f *Fleet, l []ListEntry) {
			f.RecordMissedHeartbeat(second, "w00")
			f.RecordMissedHeartbeat(second, "w00")
			f.UpdateList(second, l)
		}, Suspect, Deny},
		{"an answer ends the suspicion", func(f *Fleet, _ []ListEntry) {
			f.RecordMissedHeartbeat(second, "w00")
			f.RecordMissedHeartbeat(second, "w00")
			f.RecordHeartbeat(second, "w00")
		}, Healthy, Allow},
		{"leaving", func(f *Fleet, l []ListEntry) {
			l[0].Leaving = true
			f.UpdateList(second, l)
			f.RecordHeartbeat(second, "w00")
		}, Draining, Deny},
		{"gone although it answers", func(f *Fleet, l []ListEntry) {
			f.UpdateList(second, l[1:])
			f.RecordHeartbeat(second.Add(1), "w00")
		}, Gone, Deny},
		{"listed again", func(f *Fleet, l []ListEntry) { f.UpdateList(second, l[1:]); f.UpdateList(second, l) }, Healthy, Allow},
		{"a list that lost most members is not believed of those that answer", func(f *Fleet, l []ListEntry) {
			f.UpdateList(second, l[5:])
			f.RecordHeartbeat(second.Add(1), "w00")
		}, Healthy, Allow},
		{"but of those that do not", func(f *Fleet, l []ListEntry) { f.UpdateList(second, l[5:]) }, Gone, Deny},
		{"listed and never seen", func(f *Fleet, l []ListEntry) {
			f.UpdateList(second, append(l, ListEntry{ID: "new"}))
			f.members["w00"] = f.members["new"]
		}, Unknown, AllowProbes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, ids := cell(6)
			l := make([]ListEntry, len(ids))
			for i, id := range ids {
				l[i].ID = id
			}
			c.do(f, l)
			is.New(t).Equal(f.State(second, "w00"), c.want)
			is.New(t).Equal(f.Admission(second, "w00").Decision, c.give)
		})
	}
}

func TestMemoryFollowsWhatLives(t *testing.T) {
	is := is.New(t)
	f := New()
	now := start
	for i := range 2000 {
		now = now.Add(time.Minute)
		f.UpdateList(now, []ListEntry{{ID: fmt.Sprint("w", i)}, {ID: fmt.Sprint("w", i+1)}})
		f.RecordOutcome(now, fmt.Sprint("w", i), fmt.Sprint("j", i), fmt.Sprint("c", i), i%2 == 0)
		f.ForgetJob(fmt.Sprint("j", i))
	}
	is.True(len(f.members) < 10)
	is.True(len(f.classes) < 70)
	is.Equal(len(f.jobs), 0)
}

// policy is what the comparison compares.
type policy struct {
	may     func(now time.Time, id string) bool
	outcome func(now time.Time, id, job, class string, ok bool)
}

func fleetPolicy(ids []string) policy {
	f, _ := cell(len(ids))
	return policy{
		func(now time.Time, id string) bool { return f.Admission(now, id).Decision != Deny }, f.RecordOutcome,
	}
}

// countPolicy closes a worker for ten seconds after three failures in a row, whatever failed.
func countPolicy([]string) policy {
	fails, until := map[string]int{}, map[string]time.Time{}
	return policy{
		func(now time.Time, id string) bool { return !now.Before(until[id]) },
		func(now time.Time, id, _, _ string, ok bool) {
			if fails[id]++; ok {
				fails[id] = 0
			}
			if fails[id] >= DefaultFailureThreshold {
				fails[id], until[id] = 0, now.Add(DefaultBackOff)
			}
		},
	}
}

func nonePolicy([]string) policy {
	return policy{
		func(time.Time, string) bool { return true }, func(time.Time, string, string, string, bool) {},
	}
}

// result counts what a policy cost.
type result struct{ wasted, starved, soundClosed int }

// play runs ten minutes, twenty tasks a second, on 30 workers: three fail all from the first to the
// sixth minute, and after two minutes a third of all tasks belong to a broken class.
func play(seed uint64, build func([]string) policy) (r result) {
	rng := rand.New(rand.NewPCG(seed, 0))
	_, ids := cell(30)
	p := build(ids)
	for tick := range 600 * 20 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		minute := tick / 1200
		class := []string{"roster", "sweep", "matching"}[rng.IntN(3)]
		bad := func(id string) bool { return id < "w03" && minute >= 1 && minute < 6 }
		var open []string
		for _, id := range ids {
			if p.may(now, id) {
				open = append(open, id)
			} else if !bad(id) {
				r.soundClosed++
			}
		}
		if len(open) == 0 {
			r.starved++
			continue
		}
		id := open[rng.IntN(len(open))]
		broken := class == "sweep" && minute >= 2 && minute < 8
		if bad(id) && !broken {
			r.wasted++
		}
		p.outcome(now, id, fmt.Sprint("j", tick/4), class, !bad(id) && !broken)
	}
	return r
}

func TestComparedWithCounting(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		none, count, own := play(seed, nonePolicy), play(seed, countPolicy), play(seed, fleetPolicy)
		t.Logf("seed %d, none %+v, count %+v, fleet %+v", seed, none, count, own)
		is.True(own.wasted < none.wasted)
		is.True(own.soundClosed < count.soundClosed)
	}
}

// BenchmarkOutcome tells one failure and one success of a cell of 130 workers, and asks for one.
func BenchmarkOutcome(b *testing.B) {
	f, ids := cell(130)
	b.ReportAllocs()
	for i := range b.N {
		id := ids[i%len(ids)]
		f.RecordOutcome(start, id, "job", "roster", i%16 != 0)
		f.Admission(start, id)
	}
}
