package gate

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/balancer"
	"turmericgap/budget"
	"turmericgap/gate/target"
	"turmericgap/job"
	"turmericgap/share"
)

// The cell of course-desk: 50 targets of 8 slots in three zones, 8 gates, and more callers at some.
const (
	cellTargets  = 50
	cellSlots    = 8
	cellZones    = 3
	cellMean     = 100 * time.Millisecond
	cellRate     = 2600 // checks a second, about two thirds of what the well targets can do
	cellDeadline = 2 * time.Second
)

var lasts = flag.Duration("lasts", 2*time.Second, "how long callers send checks in the comparison of policies")

var cellGates = []int{3, 3, 2}

// policy is a way to choose targets; order is nil for the gate's own.
type policy struct {
	name   string
	order  func() func(n int) []int
	budget int
}

// picker takes the first target with a free slot in the order of the policy, and knows no health.
func (p *policy) picker(b *balancer.Balancer, infos []target.Info) func(*balancer.Constraints, time.Time) (balancer.Choice, bool) {
	order := p.order()
	return func(ask *balancer.Constraints, now time.Time) (balancer.Choice, bool) {
		for _, i := range order(len(infos)) {
			if infos[i].ID == ask.Avoid {
				continue
			}
			if c, ok := b.PickByID(infos[i].ID, ask, now); ok {
				return c, true
			}
		}
		return balancer.Choice{}, false
	}
}

func randomOrder() func(n int) []int { return rand.New(rand.NewPCG(7, 7)).Perm }

func roundRobin() func(n int) []int {
	next := 0
	return func(n int) []int {
		next++
		out := make([]int, n)
		for i := range out {
			out[i] = (next + i) % n
		}
		return out
	}
}

// cell is one run: its figures are about all checks of all gates.
type cell struct {
	mu       sync.Mutex
	rng      *rand.Rand
	sick     func(id int, r *target.Request) (time.Duration, error)
	waits    []time.Duration
	times    []time.Duration
	outcomes map[job.Outcome]int
	sent     int
}

// arrival is when a check came to its gate, until its first request has started.
type arrival struct{ at time.Time }

type arrivalKey struct{}

func (c *cell) serve(ctx context.Context, id int, r *target.Request) (*target.Response, error) {
	c.mu.Lock()
	c.sent++
	if a, ok := ctx.Value(arrivalKey{}).(*arrival); ok && !a.at.IsZero() {
		c.waits = append(c.waits, time.Since(a.at))
		a.at = time.Time{}
	}
	took := time.Duration(float64(cellMean) * (0.2 + 0.8*c.rng.ExpFloat64()))
	c.mu.Unlock()
	factor, err := c.sick(id, r)
	if err != nil {
		took = time.Millisecond
	}
	select {
	case <-time.After(took * max(1, factor)):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return answer(r, ""), nil
}

// run sends checks for the given time through all gates of the cell and waits for their ends.
func (c *cell) run(p policy, rate int, lasts time.Duration) {
	c.rng, c.outcomes = rand.New(rand.NewPCG(1, 2)), make(map[job.Outcome]int)
	var infos []target.Info
	for i := range cellTargets {
		infos = append(infos, target.Info{
			ID: fmt.Sprint(i), Address: fmt.Sprint(i), Zone: fmt.Sprint("z", i%cellZones), Service: "desk", Slots: cellSlots, Connections: 64,
		})
	}
	dial := func(info target.Info, _ int) *target.Client {
		var id int
		fmt.Sscan(info.ID, &id)
		return &target.Client{Do: func(ctx context.Context, r *target.Request) (*target.Response, error) { return c.serve(ctx, id, r) }}
	}
	var all []*Gate
	for z, n := range cellGates {
		siblings := make(map[string]*Gate)
		var ids []string
		for i := range n {
			id := fmt.Sprint("z", z, "g", i)
			g := New(ID(id), Zone(fmt.Sprint("z", z)), Targets(func() []target.Info { return infos }), Dial(dial), Seed(uint64(i)),
				listed, direct(siblings, time.Millisecond))
			if p.order != nil {
				local := slices.DeleteFunc(slices.Clone(infos), func(info target.Info) bool { return info.Zone != g.opts.Zone })
				g.mu.Lock()
				g.pools["desk"].pick = p.picker(g.pools["desk"].balancer, local)
				g.mu.Unlock()
			}
			if p.budget > 0 {
				g.budget = budget.New(budget.Burst(p.budget))
			}
			siblings[id] = g
			ids = append(ids, id)
			all = append(all, g)
		}
		for _, g := range siblings {
			g.SetTable(share.Table{Version: 1, Gates: ids})
		}
	}
	time.Sleep(20 * time.Second)
	c.load(all, rate, lasts)
	for _, g := range all {
		g.Close()
	}
}

// load lets checks arrive at random; of each zone's callers half come to its first gate.
func (c *cell) load(all []*Gate, rate int, lasts time.Duration) {
	var calls sync.WaitGroup
	arrivals := rand.New(rand.NewPCG(3, 4))
	weights := []int{0, 0, 0, 1, 1, 2, 3, 3, 3, 4, 4, 5, 6, 6, 6, 7, 7}
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(time.Second) / float64(rate)))
		g := all[weights[arrivals.IntN(len(weights))]]
		arrived := time.Now()
		calls.Go(func() {
			ctx := context.WithValue(context.Background(), arrivalKey{}, &arrival{arrived})
			r := g.Do(ctx, &Check{Service: "desk", Deadline: cellDeadline, Repeatable: true})
			c.mu.Lock()
			defer c.mu.Unlock()
			c.outcomes[r.Outcome]++
			c.times = append(c.times, time.Since(arrived))
		})
	}
	calls.Wait()
}

func at(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))].Round(100 * time.Microsecond)
}

// sickness makes two targets ten times slower, two cut each connection, and one never answer.
func sickness(id int, _ *target.Request) (time.Duration, error) {
	switch id {
	case 0, 1:
		return 10, nil
	case 2, 3:
		return 1, errors.New("connection cut")
	case 4:
		return 1000, nil
	}
	return 1, nil
}

func well(int, *target.Request) (time.Duration, error) { return 1, nil }

// Callers wait least with the gate's own policy. The same seeded load runs against each policy, with
// all targets well, with five of fifty sick, and at a rate close to what the well targets can do.
func TestPolicies(t *testing.T) {
	for _, load := range []struct {
		name string
		sick func(int, *target.Request) (time.Duration, error)
		rate int
	}{{"all well", well, cellRate}, {"five sick", sickness, cellRate}, {"five sick, busy", sickness, 3000}} {
		lost := make(map[string]float64)
		p99 := make(map[string]time.Duration)
		for _, p := range []policy{{name: "gate"}, {name: "random", order: randomOrder}, {name: "round robin", order: roundRobin}} {
			synctest.Test(t, func(t *testing.T) {
				c := &cell{sick: load.sick}
				c.run(p, load.rate, *lasts)
				n := c.outcomes[job.Done] + c.outcomes[job.NotRun] + c.outcomes[job.Unknown]
				lost[p.name] = 100 * float64(n-c.outcomes[job.Done]) / float64(n)
				p99[p.name] = at(c.times, 0.99)
				t.Logf("%-16s %-12s %6d checks, waiting p50 %8s p99 %8s, response p50 %8s p99 %8s, not done %6.3f%%, sent per check %.3f",
					load.name, p.name, n, at(c.waits, 0.5), at(c.waits, 0.99), at(c.times, 0.5), p99[p.name], lost[p.name], float64(c.sent)/float64(n))
			})
		}
		for _, other := range []string{"random", "round robin"} {
			is.New(t).True(lost["gate"] < 0.5)
			is.New(t).True(p99["gate"] <= p99[other]+cellMean)
		}
	}
}

// In an outage of all targets the load on them stays close to what the callers ask for.
func TestOutageLoad(t *testing.T) {
	for _, p := range []policy{{name: "budget"}, {name: "no budget", budget: 1 << 30}} {
		synctest.Test(t, func(t *testing.T) {
			c := &cell{sick: func(int, *target.Request) (time.Duration, error) { return 1, errors.New("connection cut") }}
			c.run(p, 500, *lasts)
			n := len(c.times)
			ratio := float64(c.sent) / float64(n)
			t.Logf("%-10s %d checks, sent per check %.3f", p.name, n, ratio)
			is.New(t).True(p.budget > 0 || c.sent <= n+8*budget.DefaultBurst)
		})
	}
}
