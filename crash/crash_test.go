package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/crash"
)

const clearAge = 15 * time.Second

func crashed(alone bool, scope crash.Scope) crash.Loss {
	return crash.Loss{Crashed: true, Alone: alone, Scope: scope, Age: 100 * time.Millisecond, ClearAge: clearAge}
}

func late(l crash.Loss) crash.Loss {
	l.Age = 3 * time.Second
	return l
}

var (
	shared  = crashed(false, crash.SingleWorker)
	alone   = crashed(true, crash.SingleWorker)
	several = crashed(true, crash.SeveralWorkers)
	rack    = crashed(false, crash.WholeRack)
	silent  = crash.Loss{Age: time.Second, ClearAge: clearAge}
	old     = crash.Loss{Crashed: true, Alone: true, Age: time.Minute, ClearAge: clearAge}
)

// Checks the verdict after each of a series of losses.
func TestVerdict(t *testing.T) {
	const cont, spread, isolate, giveUp = crash.Continue, crash.Spread, crash.Isolate, crash.GiveUp
	cases := map[string]struct {
		losses []crash.Loss
		want   []crash.Verdict
	}{
		"beside others, then alone":        {[]crash.Loss{shared, shared, alone}, []crash.Verdict{spread, isolate, giveUp}},
		"alone twice":                      {[]crash.Loss{alone, alone}, []crash.Verdict{isolate, giveUp}},
		"with others, then alone":          {[]crash.Loss{several, several, alone}, []crash.Verdict{spread, isolate, giveUp}},
		"always with others":               {[]crash.Loss{several, several, several, several}, []crash.Verdict{spread, isolate, isolate, giveUp}},
		"late, always with others":         {[]crash.Loss{late(several), late(several), late(several), late(several), late(several)}, []crash.Verdict{spread, spread, isolate, isolate, giveUp}},
		"late, beside others, then alone":  {[]crash.Loss{late(shared), late(shared), late(shared), late(alone), late(alone)}, []crash.Verdict{spread, spread, isolate, isolate, giveUp}},
		"late, alone":                      {[]crash.Loss{late(alone), late(alone), late(alone), late(alone)}, []crash.Verdict{spread, isolate, isolate, giveUp}},
		"started as its rack was lost":     {[]crash.Loss{rack, shared, several, alone}, []crash.Verdict{spread, isolate, isolate, giveUp}},
		"racks lost":                       {[]crash.Loss{late(rack), late(rack), late(rack), late(rack), late(rack), late(rack)}, []crash.Verdict{cont, cont, cont, cont, cont, cont}},
		"workers silent":                   {[]crash.Loss{silent, silent, silent, silent, silent, silent, silent}, []crash.Verdict{spread, spread, isolate, isolate, isolate, isolate, isolate}},
		"silent after three crashes":       {[]crash.Loss{late(several), late(several), late(several), silent, silent}, []crash.Verdict{spread, spread, isolate, isolate, giveUp}},
		"cleared by a run that has lasted": {[]crash.Loss{shared, shared, old, shared}, []crash.Verdict{spread, isolate, cont, spread}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r crash.Record
			for i, l := range c.losses {
				r.Add(l)
				is.Equal(r.Verdict(), c.want[i])
			}
		})
	}
}

// Guards against counting the crash of a worker that was first thought cut off twice, or not at all.
func TestResolvedLossCountsAsCrash(t *testing.T) {
	is := is.New(t)
	r := crash.Record{}
	r.Add(silent)
	r.Resolve()
	r.Resolve()
	is.Equal(r, crash.Record{Crashes: 1, Evidence: 1})
}

// Guards against more than two starts after the third crash, in any order of losses that leaves a crash in doubt.
func TestStartsAfterThirdCrashAreBounded(t *testing.T) {
	kinds := []crash.Loss{late(shared), alone, rack, silent}
	const otherEnd = 4 // the run neither crashes its worker nor is lost with it
	for seq := range 400_000 {
		var r crash.Record
		crashes, startsAfter := 0, 0
		for rest, i := seq, 0; i < 8 && r.Verdict() != crash.GiveUp; i++ {
			if crashes >= 3 {
				startsAfter++
			}
			kind := rest % (otherEnd + 1)
			rest /= otherEnd + 1
			if kind == otherEnd {
				r.AddEnd()
				continue
			}
			r.Add(kinds[kind])
			if kinds[kind].Crashed {
				crashes++
			}
		}
		if startsAfter > 2 {
			t.Fatalf("%d starts after the third crash in series %d: %+v", startsAfter, seq, r)
		}
	}
}

// Checks how much of a cell counts as lost with a worker.
func TestScope(t *testing.T) {
	start := time.Unix(1000, 0)
	outage := func(worker, rack string, after time.Duration, isolated bool) crash.Outage {
		return crash.Outage{Worker: worker, Rack: rack, At: start.Add(after), Isolated: isolated}
	}
	rackOf := func(lost int, after time.Duration) (list []crash.Outage) {
		for i := range lost {
			list = append(list, outage(fmt.Sprint("mate", i), "r1", after, false))
		}
		return list
	}
	cases := map[string]struct {
		others    []crash.Outage
		survivors int
		want      crash.Scope
	}{
		"by itself":                        {nil, 7, crash.SingleWorker},
		"the whole rack":                   {rackOf(7, 900*time.Millisecond), 0, crash.WholeRack},
		"most of the rack":                 {rackOf(5, 0), 2, crash.WholeRack},
		"half of the rack":                 {rackOf(3, 0), 4, crash.SeveralWorkers},
		"the rack, at another moment":      {rackOf(7, 3*time.Second), 0, crash.SingleWorker},
		"a rack of two":                    {rackOf(1, 0), 0, crash.SeveralWorkers},
		"a mate that ran a suspect":        {[]crash.Outage{outage("mate", "r1", 0, true)}, 6, crash.SingleWorker},
		"one elsewhere":                    {[]crash.Outage{outage("b", "r2", 0, false)}, 7, crash.SingleWorker},
		"two elsewhere":                    {[]crash.Outage{outage("b", "r2", 0, false), outage("c", "r3", 0, false)}, 7, crash.SeveralWorkers},
		"suspects elsewhere":               {[]crash.Outage{outage("b", "r2", 0, true), outage("c", "r3", 0, true)}, 7, crash.SingleWorker},
		"the same worker, recorded before": {[]crash.Outage{outage("a", "r1", 0, false)}, 7, crash.SingleWorker},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var o crash.Outages
			for _, other := range c.others {
				o.Add(other)
			}
			is.New(t).Equal(o.ScopeOf(outage("a", "r1", 0, false), c.survivors), c.want)
		})
	}
}

// Guards against taking a worker that answers again for a lost one.
func TestAnsweringWorkerIsNotLost(t *testing.T) {
	var o crash.Outages
	o.Add(crash.Outage{Worker: "b", Rack: "r1", At: time.Unix(1000, 0)})
	o.Remove("b")
	is.New(t).Equal(o.ScopeOf(crash.Outage{Worker: "a", Rack: "r1", At: time.Unix(1000, 0)}, 6), crash.SingleWorker)
}
