package balancer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"turmericgap/gate/target"
)

// The properties run from a fixed seed, so that a verdict does not change from run to run.
func init() { _ = flag.Set("rapid.seed", "1") }

var zero = time.Unix(1000, 0)

func infos(n, slots int) []target.Info {
	out := make([]target.Info, n)
	for i := range out {
		out[i] = target.Info{ID: fmt.Sprint("t", i), Slots: slots}
	}
	return out
}

// drive sends n checks one after the other, 10 ms apart, each ending as end says; it counts them by target.
func drive(b *Balancer, n int, now *time.Time, repeatable bool, end func(id string) (Outcome, time.Duration)) map[string]int {
	got := make(map[string]int)
	for range n {
		*now = now.Add(10 * time.Millisecond)
		c, ok := b.Pick(&Constraints{Repeatable: repeatable}, *now)
		if !ok {
			continue
		}
		got[c.Info.ID]++
		v, took := end(c.Info.ID)
		b.Release(c.Info.ID)
		b.RecordOutcome(c.Info.ID, v, took, *now)
	}
	return got
}

func good(string) (Outcome, time.Duration) { return Succeeded, 10 * time.Millisecond }

// The callers wait behind one target, or lose checks to it, while the others are well.
// Failing and slow targets are ejected; busy ones are not, because a queue is no illness; and where
// more than half fail, the fault lies elsewhere and the rest must not be overrun.
func TestEjection(t *testing.T) {
	bad := func(sick int, v Outcome, took time.Duration) func(string) (Outcome, time.Duration) {
		return func(id string) (Outcome, time.Duration) {
			var i int
			fmt.Sscanf(id, "t%d", &i)
			if i < sick {
				return v, took
			}
			return good(id)
		}
	}
	cases := []struct {
		name string
		n    int
		end  func(string) (Outcome, time.Duration)
		want int
	}{
		{"all well", 6, good, 0},
		{"one fails", 6, bad(1, Failed, time.Millisecond), 1},
		{"one is slow", 6, bad(1, Succeeded, 200*time.Millisecond), 1},
		{"one is a little slow", 6, bad(1, Succeeded, 30*time.Millisecond), 0},
		{"one is busy", 6, bad(1, Busy, 0), 0},
		{"one loses callers", 6, bad(1, Abandoned, time.Second), 0},
		{"all are slow", 6, bad(6, Succeeded, 200*time.Millisecond), 0},
		{"all fail", 6, bad(6, Failed, time.Millisecond), 3},
		{"four of six fail", 6, bad(4, Failed, time.Millisecond), 3},
		{"one of one fails", 1, bad(1, Failed, time.Millisecond), 0},
		{"one of two fails", 2, bad(1, Failed, time.Millisecond), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b, now := New(), zero
			b.Update(infos(c.n, 8), now)
			drive(b, 600, &now, false, c.end)
			is.Equal(b.EjectedCount(), c.want)
		})
	}
}

// The callers get a healed target back, and a sick one costs them few checks.
// Only a check that may be repeated tests it at first, because a probe may be lost; one probe at a
// time, and each failure doubles the pause.
func TestProbes(t *testing.T) {
	is := is.New(t)
	b, now := New(), zero
	b.Update(infos(4, 8), now)
	sick := true
	end := func(id string) (Outcome, time.Duration) {
		if id == "t0" && sick {
			return Failed, time.Millisecond
		}
		return good(id)
	}
	drive(b, 100, &now, false, end)
	is.Equal(b.EjectedCount(), 1)
	is.Equal(drive(b, 300, &now, false, end)["t0"], 0)                          // 3 s without repeatable checks: not risked.
	is.True(drive(b, 3000, &now, true, end)["t0"] <= DefaultFailureThreshold+4) // 30 s: few probes.
	sick = false
	back := drive(b, 6000, &now, true, end)["t0"]
	is.Equal(b.EjectedCount(), 0)
	is.True(back > 500)
}

// A cold target gets its load little by little, and answers faster for it.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	b, now := New(), zero
	b.Update(infos(1, 10), now)
	b.Update(infos(2, 10), now)
	hold := func() int {
		n := 0
		for range 30 {
			if c, ok := b.Pick(&Constraints{}, now); ok && c.Info.ID == "t1" {
				n++
			}
		}
		return n
	}
	is.Equal(hold(), 1)
	now = now.Add(DefaultSlowStart / 2)
	is.Equal(hold(), 4)
	now = now.Add(DefaultSlowStart / 2)
	is.Equal(hold(), 5)
}

// A target that said it leaves gets nothing new, though the list that lags still shows it as staying.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	b, now := New(), zero
	b.Update(infos(2, 8), now)
	b.MarkLeaving("t0")
	b.Update(infos(2, 8), now)
	is.Equal(drive(b, 50, &now, true, good)["t0"], 0)
	_, ok := b.PickByID("t0", &Constraints{}, now)
	is.True(ok) // Its sessions go on.
}

// Whatever happens, no target gets more than its slots, and never is more than half ejected.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(rt, "targets")
		b, now := New(Seed(rapid.Uint64().Draw(rt, "seed"))), zero
		b.Update(infos(n, 3), now)
		var busy []Choice
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "pick") {
				if c, ok := b.Pick(&Constraints{Repeatable: rapid.Bool().Draw(rt, "probe"), Avoid: "t0"}, now); ok {
					busy = append(busy, c)
				}
			} else if len(busy) > 0 {
				i := rapid.IntRange(0, len(busy)-1).Draw(rt, "which")
				b.Release(busy[i].Info.ID)
				b.RecordOutcome(busy[i].Info.ID, Outcome(rapid.IntRange(0, 3).Draw(rt, "v")), time.Second/10, now)
				busy = append(busy[:i], busy[i+1:]...)
			}
			if 2*b.EjectedCount() > n || b.UsableCount() == 0 {
				rt.Fatalf("%d of %d ejected", b.EjectedCount(), n)
			}
			count := make(map[string]int)
			for _, c := range busy {
				if count[c.Info.ID]++; count[c.Info.ID] > 3 {
					rt.Fatalf("%s has more than its slots", c.Info.ID)
				}
			}
		}
	})
}
