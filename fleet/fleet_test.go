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

// The property tests use a fixed seed, so that results are reproducible.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var startTime = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// newTestFleet returns a fleet of n workers, four in each zone, that have all answered a heartbeat.
func newTestFleet(n int, opts ...Option) (f *Fleet, ids []string) {
	f = New(opts...)
	var l []ListEntry
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		ids = append(ids, id)
		l = append(l, ListEntry{ID: id, Zone: fmt.Sprintf("z%d", i/4)})
	}
	f.UpdateList(startTime, l)
	for _, id := range ids {
		f.RecordHeartbeat(startTime, id)
	}
	return f, ids
}

// Jobs that fail on every worker must not eject healthy workers. Up to two such jobs fail in any order on any
// workers, several times on each, while other jobs succeed.
func TestFailingJobEjectsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ids := newTestFleet(rapid.IntRange(1, 12).Draw(t, "workers"))
		now := startTime
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

// A worker that fails all its tasks must be ejected after FailureThreshold failures if the same jobs succeed on
// other workers, even if all failures are of a single job. Without the comparison with other workers, repeated
// failures of one job would never count.
func TestFailingWorkerIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ids := newTestFleet(rapid.IntRange(4, 12).Draw(t, "workers"))
		jobs := rapid.IntRange(1, 5).Draw(t, "jobs")
		now := startTime
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

// With any order of failures and successes, ejections must stay within the limit and leave a worker in use in
// each zone.
func TestEjectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, ids := newTestFleet(rapid.IntRange(1, 13).Draw(t, "workers"))
		now := startTime
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

// A worker is ejected, fails some probes and recovers. It must get nothing during its backoff, a limited number
// of tasks while it is probed, and everything after enough probes have succeeded.
func TestRecoveredWorkerReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		f, ids := newTestFleet(6)
		now := startTime
		for i := range DefaultFailureThreshold {
			f.RecordOutcome(now, ids[0], fmt.Sprint("first", i), "roster", false)
		}
		for i := range rapid.IntRange(0, 8).Draw(t, "failed probes") {
			is.Equal(f.Admission(now, ids[0]).Decision, Deny)
			now = f.Ejections()[0].Until
			is.Equal(f.Admission(now, ids[0]).Decision, AllowProbes)
			f.RecordOutcome(now, ids[0], fmt.Sprint("probe", i), "roster", false)
		}
		is.True(f.Ejections()[0].Until.Sub(now) <= DefaultMaxBackoff)
		now = f.Ejections()[0].Until
		for i := range DefaultRequiredProbes {
			is.Equal(f.Admission(now, ids[0]).Limit, 1<<i)
			f.RecordOutcome(now, ids[0], fmt.Sprint("healed", i), "roster", true)
		}
		is.Equal(f.Admission(now, ids[0]), Admission{Decision: Allow})
		is.Equal(len(f.Ejections()), 0)
	})
}

// A broken release makes every job of a class fail, so that a worker is ejected for failures that are not its
// own. Once the class has failed on three otherwise healthy workers, the ejected worker must be probed at once.
func TestBrokenClassReinstatesMembers(t *testing.T) {
	is := is.New(t)
	f, ids := newTestFleet(9)
	for _, id := range ids {
		f.RecordOutcome(startTime, id, "before", "matching", true)
	}
	for i := range DefaultFailureThreshold {
		f.RecordOutcome(startTime, ids[0], fmt.Sprint("roster", i), "roster", false)
	}
	is.Equal(f.State(startTime, ids[0]), Ejected)
	f.RecordOutcome(startTime, ids[1], "roster8", "roster", false)
	f.RecordOutcome(startTime, ids[2], "roster9", "roster", false)
	is.True(f.ClassFailing("roster"))
	is.Equal(f.State(startTime, ids[0]), Probing)
	f.RecordOutcome(startTime, ids[1], "repaired", "roster", true)
	is.True(!f.ClassFailing("roster"))
}

func TestJobFailing(t *testing.T) {
	is := is.New(t)
	f, ids := newTestFleet(8)
	for _, id := range ids[:4] {
		f.RecordOutcome(startTime, id, "other", "matching", true)
	}
	for i, id := range ids[:3] {
		is.True(!f.JobFailing("bad"))
		f.RecordOutcome(startTime, id, "bad", "sweep", false)
		is.Equal(f.JobFailing("bad"), i == 2)
	}
	f.RecordOutcome(startTime, ids[1], "another", "roster", false) // Another job fails on it too, so it no longer counts as healthy.
	is.True(!f.JobFailing("bad"))
	f.RecordOutcome(startTime, ids[3], "bad", "sweep", false)
	is.True(f.JobFailing("bad"))
	f.ForgetJob("bad")
	is.True(!f.JobFailing("bad"))
	f.RecordOutcome(startTime, ids[0], "partly", "sweep", true)
	for _, id := range ids {
		f.RecordOutcome(startTime, id, "partly", "sweep", false)
	}
	is.True(!f.JobFailing("partly"))
}

func TestListAndHeartbeats(t *testing.T) {
	second := startTime.Add(time.Second)
	cases := []struct {
		name     string
		do       func(f *Fleet, l []ListEntry)
		want     State
		decision Decision
	}{
		{"seen", func(*Fleet, []ListEntry) {}, Healthy, Allow},
		{"one missed heartbeat", func(f *Fleet, _ []ListEntry) { f.RecordMissedHeartbeat(second, "w00") }, Healthy, Allow},
		{"missed heartbeats take precedence over the list", func(f *Fleet, l []ListEntry) {
			f.RecordMissedHeartbeat(second, "w00")
			f.RecordMissedHeartbeat(second, "w00")
			f.UpdateList(second, l)
		}, Suspect, Deny},
		{"an answered heartbeat ends the suspicion", func(f *Fleet, _ []ListEntry) {
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
		{"mass removal is ignored for members that answer", func(f *Fleet, l []ListEntry) {
			f.UpdateList(second, l[5:])
			f.RecordHeartbeat(second.Add(1), "w00")
		}, Healthy, Allow},
		{"mass removal holds for silent members", func(f *Fleet, l []ListEntry) { f.UpdateList(second, l[5:]) }, Gone, Deny},
		{"listed and never seen", func(f *Fleet, l []ListEntry) {
			f.UpdateList(second, append(l, ListEntry{ID: "new"}))
			f.members["w00"] = f.members["new"]
		}, Unknown, AllowProbes},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, ids := newTestFleet(6)
			l := make([]ListEntry, len(ids))
			for i, id := range ids {
				l[i].ID = id
			}
			c.do(f, l)
			is.New(t).Equal(f.State(second, "w00"), c.want)
			is.New(t).Equal(f.Admission(second, "w00").Decision, c.decision)
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	f := New()
	now := startTime
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

// admissionPolicy is one of the policies that the simulation compares.
type admissionPolicy struct {
	admits        func(now time.Time, id string) bool
	recordOutcome func(now time.Time, id, job, class string, ok bool)
}

func fleetPolicy(ids []string) admissionPolicy {
	f, _ := newTestFleet(len(ids))
	return admissionPolicy{
		func(now time.Time, id string) bool { return f.Admission(now, id).Decision != Deny }, f.RecordOutcome,
	}
}

// consecutiveFailuresPolicy denies work to a worker for ten seconds after three consecutive failures of any jobs.
func consecutiveFailuresPolicy([]string) admissionPolicy {
	fails, until := map[string]int{}, map[string]time.Time{}
	return admissionPolicy{
		func(now time.Time, id string) bool { return !now.Before(until[id]) },
		func(now time.Time, id, _, _ string, ok bool) {
			if fails[id]++; ok {
				fails[id] = 0
			}
			if fails[id] >= DefaultFailureThreshold {
				fails[id], until[id] = 0, now.Add(DefaultBackoff)
			}
		},
	}
}

func noPolicy([]string) admissionPolicy {
	return admissionPolicy{
		func(time.Time, string) bool { return true }, func(time.Time, string, string, string, bool) {},
	}
}

// policyCost counts the losses under a policy: tasks that failing workers received, tasks that no worker was
// admitted for, and denials of healthy workers.
type policyCost struct{ wasted, noCapacity, healthyDenied int }

// simulate runs twenty tasks a second on 30 workers for ten minutes. Three workers fail all tasks from minute 1 to
// minute 6, and one of three classes fails everywhere from minute 2 to minute 8.
func simulate(seed uint64, build func([]string) admissionPolicy) (r policyCost) {
	rng := rand.New(rand.NewPCG(seed, 0))
	_, ids := newTestFleet(30)
	p := build(ids)
	for tick := range 600 * 20 {
		now := startTime.Add(time.Duration(tick) * 50 * time.Millisecond)
		minute := tick / 1200
		class := []string{"roster", "sweep", "matching"}[rng.IntN(3)]
		bad := func(id string) bool { return id < "w03" && minute >= 1 && minute < 6 }
		var open []string
		for _, id := range ids {
			if p.admits(now, id) {
				open = append(open, id)
			} else if !bad(id) {
				r.healthyDenied++
			}
		}
		if len(open) == 0 {
			r.noCapacity++
			continue
		}
		id := open[rng.IntN(len(open))]
		broken := class == "sweep" && minute >= 2 && minute < 8
		if bad(id) && !broken {
			r.wasted++
		}
		p.recordOutcome(now, id, fmt.Sprint("j", tick/4), class, !bad(id) && !broken)
	}
	return r
}

// The fleet must waste fewer tasks than no policy at all, and deny work to fewer healthy workers than a plain
// count of consecutive failures.
func TestComparedWithConsecutiveFailures(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		none, count, own := simulate(seed, noPolicy), simulate(seed, consecutiveFailuresPolicy), simulate(seed, fleetPolicy)
		t.Logf("seed %d, none %+v, count %+v, fleet %+v", seed, none, count, own)
		is.True(own.wasted < none.wasted)
		is.True(own.healthyDenied < count.healthyDenied)
	}
}

// BenchmarkOutcome measures recording an outcome and deciding an admission in a cell of 130 workers.
func BenchmarkOutcome(b *testing.B) {
	f, ids := newTestFleet(130)
	b.ReportAllocs()
	for i := range b.N {
		id := ids[i%len(ids)]
		f.RecordOutcome(startTime, id, "job", "roster", i%16 != 0)
		f.Admission(startTime, id)
	}
}
