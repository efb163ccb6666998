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

// faultStep starts or ends one fault of a schedule, then waits for Duration.
type faultStep struct {
	Action   int
	A, B     int
	Duration time.Duration
}

var faultActions = []func(c *cell, a, b string){
	func(c *cell, a, _ string) { c.nodes[a].faults.Cut(true) },
	func(c *cell, a, _ string) { c.nodes[a].faults.Cut(false) },
	func(c *cell, _, _ string) { c.eachNode(func(n *node) { n.faults.Cut(true) }) },
	func(c *cell, _, _ string) { c.eachNode(func(n *node) { n.faults.Cut(false) }) },
	func(c *cell, a, b string) { c.partition(a, b, a != b) },
	func(c *cell, a, b string) { c.partition(a, b, false) },
	func(c *cell, a, _ string) { c.nodes[a].freeze(true) },
	func(c *cell, a, _ string) { c.nodes[a].freeze(false) },
	func(c *cell, a, b string) { c.nodes[a].faults.LoseNext(len(b) + 1) },
	func(c *cell, a, _ string) { c.nodes[a].faults.Delay(1500 * time.Millisecond) },
	func(c *cell, a, _ string) { c.nodes[a].faults.Delay(0) },
	func(c *cell, _, _ string) { c.setReplyDelay(time.Second) },
	func(c *cell, _, _ string) { c.setReplyDelay(0) },
	func(c *cell, a, _ string) { c.kill(a) },
	func(c *cell, a, _ string) { c.kill(a); c.start(a) },
	func(c *cell, a, _ string) { c.kill(a); c.setListed(false, a) },
	func(c *cell, a, _ string) {
		if c.partition(a, "4", true); c.nodes["4"] == nil {
			c.start("4")
		}
	},
	func(c *cell, a, _ string) { c.setListed(false, a) },
	func(c *cell, a, _ string) { c.setListed(true, a) },
	func(c *cell, a, _ string) {
		n := c.nodes[a]
		c.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = n.Leave(ctx, true)
		})
	},
}

func (c *cell) eachNode(f func(n *node)) {
	for _, n := range c.nodes {
		f(n)
	}
}

// runSchedule runs a schedule and returns the first violation: two processes that would act as owner at the same time,
// or that own the zone under the same epoch.
func runSchedule(t *testing.T, steps []faultStep, inject func(c *cell)) (violation string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		defer c.close()
		inject(c)
		c.startAll("1", "2", "3")
		epochs := map[int64]*node{}
		for i, a := range steps {
			from, to := fmt.Sprint(1+a.A), fmt.Sprint(1+a.B)
			faultActions[a.Action](c, from, to)
			for end := time.Now().Add(a.Duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if violation = c.violation(epochs); violation != "" {
					violation += fmt.Sprintf(" after step %d", i)
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

func schedules() *rapid.Generator[[]faultStep] {
	step := rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			Action: rapid.IntRange(0, len(faultActions)-1).Draw(t, "verb"),
			A:      rapid.IntRange(0, 2).Draw(t, "a"), B: rapid.IntRange(0, 3).Draw(t, "b"),
			Duration: time.Duration(rapid.IntRange(0, 12).Draw(t, "seconds")) * time.Second,
		}
	})
	return rapid.SliceOfN(step, 5, 25)
}

// Two owners would start work on the same workers.
// Store outages, network partitions, frozen, killed and restarted processes, delays, lost answers and planned stops
// occur in any order.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := schedules().Draw(rt, "steps")
		if v := runSchedule(t, steps, func(*cell) {}); v != "" {
			rt.Fatal(v)
		}
	})
}

// The property test must be able to fail: it finds each injected fault.
func TestOneOwnerFindsPlanted(t *testing.T) {
	faults := map[string]func(c *cell){
		"promises that were never given": func(c *cell) { c.fakePromises = true },
		"lease counted from the answer":  func(c *cell) { c.opts = []Option{ClockDrift(-3 * time.Second)} },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range 300 {
				if runSchedule(t, schedules().Example(seed), inject) != "" {
					return
				}
			}
			t.Fatal("no schedule found the injected fault")
		})
	}
}
