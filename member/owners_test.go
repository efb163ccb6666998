package member

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}

// act is one fault, or its end, of a schedule; the time is what passes after it.
type act struct {
	Verb int
	A, B int
	Time time.Duration
}

var verbs = []func(c *cell, a, b string){
	func(c *cell, a, _ string) { c.nodes[a].faults.Cut(true) },
	func(c *cell, a, _ string) { c.nodes[a].faults.Cut(false) },
	func(c *cell, _, _ string) { c.each(func(n *node) { n.faults.Cut(true) }) },
	func(c *cell, _, _ string) { c.each(func(n *node) { n.faults.Cut(false) }) },
	func(c *cell, a, b string) { c.partition(a, b, a != b) },
	func(c *cell, a, b string) { c.partition(a, b, false) },
	func(c *cell, a, _ string) { c.nodes[a].freeze(true) },
	func(c *cell, a, _ string) { c.nodes[a].freeze(false) },
	func(c *cell, a, b string) { c.nodes[a].faults.LoseNext(len(b) + 1) },
	func(c *cell, a, _ string) { c.nodes[a].faults.Delay(1500 * time.Millisecond) },
	func(c *cell, a, _ string) { c.nodes[a].faults.Delay(0) },
	func(c *cell, _, _ string) { c.slow(time.Second) },
	func(c *cell, _, _ string) { c.slow(0) },
	func(c *cell, a, _ string) { c.kill(a) },
	func(c *cell, a, _ string) { c.kill(a); c.start(a) },
	func(c *cell, a, _ string) { c.kill(a); c.list(false, a) },
	func(c *cell, a, _ string) {
		if c.partition(a, "4", true); c.nodes["4"] == nil {
			c.start("4")
		}
	},
	func(c *cell, a, _ string) { c.list(false, a) },
	func(c *cell, a, _ string) { c.list(true, a) },
	func(c *cell, a, _ string) {
		n := c.nodes[a]
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = n.Leave(ctx, true)
		})
	},
}

func (c *cell) each(f func(n *node)) {
	for _, n := range c.nodes {
		f(n)
	}
}

// play runs a schedule and gives the first moment at which two processes would act as owner, or
// two owned under one epoch.
func play(t *testing.T, acts []act, plant func(c *cell)) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		defer c.end()
		plant(c)
		c.settle("1", "2", "3")
		epochs := map[int64]*node{}
		for i, a := range acts {
			from, to := fmt.Sprint(1+a.A), fmt.Sprint(1+a.B)
			verbs[a.Verb](c, from, to)
			for end := time.Now().Add(a.Time); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if violation = c.violation(epochs); violation != "" {
					violation += fmt.Sprintf(" after act %d", i)
					return
				}
			}
		}
	})
	return violation
}

func (c *cell) violation(epochs map[int64]*node) string {
	var owner *node
	for _, n := range c.nodes {
		epoch, _, ok := n.Owns()
		if !ok || n.frozen() || n.isDead() {
			continue
		}
		if owner != nil {
			return fmt.Sprintf("two owners: %+v and %+v", owner.Status(), n.Status())
		}
		owner = n
		if first, seen := epochs[epoch]; seen && first != n {
			return fmt.Sprintf("two owners of epoch %d", epoch)
		}
		epochs[epoch] = n
	}
	return ""
}

func schedules() *rapid.Generator[[]act] {
	one := rapid.Custom(func(t *rapid.T) act {
		return act{
			Verb: rapid.IntRange(0, len(verbs)-1).Draw(t, "verb"),
			A:    rapid.IntRange(0, 2).Draw(t, "a"), B: rapid.IntRange(0, 3).Draw(t, "b"),
			Time: time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second,
		}
	})
	return rapid.SliceOfN(one, 5, 25)
}

// Two processes would start work on the same workers.
// Cuts, freezes, kills, restarts, delays, lost answers and planned stops come in any order.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := schedules().Draw(rt, "acts")
		if v := play(t, acts, func(*cell) {}); v != "" {
			rt.Fatal(v)
		}
	})
}

// The property must be able to fail: it finds each planted fault.
func TestOneOwnerFindsPlanted(t *testing.T) {
	plants := map[string]func(c *cell){
		"promises that nobody keeps":    func(c *cell) { c.lie = true },
		"lease counted from the answer": func(c *cell) { c.opts = []Option{ClockDrift(-3 * time.Second)} },
	}
	for name, plant := range plants {
		t.Run(name, func(t *testing.T) {
			for seed := range 300 {
				if play(t, schedules().Example(seed), plant) != "" {
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
