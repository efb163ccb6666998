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

// The cell has 50 targets with 8 slots each in three zones, and 8 gates with unequal load.
const (
	testTargets   = 50
	testSlots     = 8
	testZones     = 3
	meanRunTime   = 100 * time.Millisecond
	checkRate     = 2600 // checks per second, about two thirds of the capacity of the healthy targets
	checkDeadline = 2 * time.Second
)

var loadDuration = flag.Duration("lasts", 2*time.Second, "how long callers send checks in the comparison of policies")

var gatesPerZone = []int{3, 3, 2}

// policy selects targets; the order is nil for the gate's own policy.
type policy struct {
	name       string
	order      func() func(n int) []int
	retryBurst int
}

// newPicker returns a function that takes the first target with a free slot in the order of the
// policy and ignores the health of targets.
func (p *policy) newPicker(b *balancer.Balancer, infos []target.Info) func(*balancer.Constraints, time.Time) (balancer.Choice, bool) {
	order := p.order()
	return func(constraints *balancer.Constraints, now time.Time) (balancer.Choice, bool) {
		for _, i := range order(len(infos)) {
			if infos[i].ID == constraints.Avoid {
				continue
			}
			if c, ok := b.PickByID(infos[i].ID, constraints, now); ok {
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

// loadTest is one run; its results cover all checks of all gates.
type loadTest struct {
	mu       sync.Mutex
	rng      *rand.Rand
	fault    func(id int, r *target.Request) (time.Duration, error)
	waits    []time.Duration
	times    []time.Duration
	outcomes map[job.Outcome]int
	sent     int
}

// arrival holds when a check reached its gate, until its first request is sent.
type arrival struct{ at time.Time }

type arrivalKey struct{}

func (c *loadTest) serve(ctx context.Context, id int, r *target.Request) (*target.Response, error) {
	c.mu.Lock()
	c.sent++
	if a, ok := ctx.Value(arrivalKey{}).(*arrival); ok && !a.at.IsZero() {
		c.waits = append(c.waits, time.Since(a.at))
		a.at = time.Time{}
	}
	runTime := time.Duration(float64(meanRunTime) * (0.2 + 0.8*c.rng.ExpFloat64()))
	c.mu.Unlock()
	factor, err := c.fault(id, r)
	if err != nil {
		runTime = time.Millisecond
	}
	select {
	case <-time.After(runTime * max(1, factor)):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return answer(r, ""), nil
}

// run sends checks through all gates of the cell for the given time and waits until they end.
func (c *loadTest) run(p policy, rate int, duration time.Duration) {
	c.rng, c.outcomes = rand.New(rand.NewPCG(1, 2)), make(map[job.Outcome]int)
	var infos []target.Info
	for i := range testTargets {
		infos = append(infos, target.Info{
			ID: fmt.Sprint(i), Address: fmt.Sprint(i), Zone: fmt.Sprint("z", i%testZones), Service: "desk", Slots: testSlots, Connections: 64,
		})
	}
	dial := func(info target.Info, _ int) *target.Client {
		var id int
		fmt.Sscan(info.ID, &id)
		return &target.Client{Do: func(ctx context.Context, r *target.Request) (*target.Response, error) { return c.serve(ctx, id, r) }}
	}
	var all []*Gate
	for z, n := range gatesPerZone {
		siblings := make(map[string]*Gate)
		var ids []string
		for i := range n {
			id := fmt.Sprint("z", z, "g", i)
			g := New(ID(id), Zone(fmt.Sprint("z", z)), Targets(func() []target.Info { return infos }), Dial(dial), Seed(uint64(i)),
				alwaysMember, directSiblings(siblings, time.Millisecond))
			if p.order != nil {
				local := slices.DeleteFunc(slices.Clone(infos), func(info target.Info) bool { return info.Zone != g.opts.Zone })
				g.mu.Lock()
				g.pools["desk"].pick = p.newPicker(g.pools["desk"].balancer, local)
				g.mu.Unlock()
			}
			if p.retryBurst > 0 {
				g.budget = budget.New(budget.Burst(p.retryBurst))
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
	c.sendChecks(all, rate, duration)
	for _, g := range all {
		g.Close()
	}
}

// sendChecks sends checks at random intervals; half of the callers of each zone use its first gate.
func (c *loadTest) sendChecks(all []*Gate, rate int, duration time.Duration) {
	var calls sync.WaitGroup
	arrivals := rand.New(rand.NewPCG(3, 4))
	weights := []int{0, 0, 0, 1, 1, 2, 3, 3, 3, 4, 4, 5, 6, 6, 6, 7, 7}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(time.Second) / float64(rate)))
		g := all[weights[arrivals.IntN(len(weights))]]
		arrived := time.Now()
		calls.Go(func() {
			ctx := context.WithValue(context.Background(), arrivalKey{}, &arrival{arrived})
			r := g.Do(ctx, &Check{Service: "desk", Deadline: checkDeadline, Repeatable: true})
			c.mu.Lock()
			defer c.mu.Unlock()
			c.outcomes[r.Outcome]++
			c.times = append(c.times, time.Since(arrived))
		})
	}
	calls.Wait()
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))].Round(100 * time.Microsecond)
}

// fiveOf50Faulty slows two targets down ten times, makes two drop every connection, and makes one
// hang.
func fiveOf50Faulty(id int, _ *target.Request) (time.Duration, error) {
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

func allHealthy(int, *target.Request) (time.Duration, error) { return 1, nil }

// Guards against a selection of targets that is worse than random or round robin. Each policy gets
// the same seeded load, with all targets healthy, with five of fifty faulty, and close to the
// capacity of the healthy ones.
func TestPolicies(t *testing.T) {
	for _, load := range []struct {
		name  string
		fault func(int, *target.Request) (time.Duration, error)
		rate  int
	}{{"all healthy", allHealthy, checkRate}, {"five faulty", fiveOf50Faulty, checkRate}, {"five faulty, busy", fiveOf50Faulty, 3000}} {
		lost := make(map[string]float64)
		p99 := make(map[string]time.Duration)
		for _, p := range []policy{{name: "gate"}, {name: "random", order: randomOrder}, {name: "round robin", order: roundRobin}} {
			synctest.Test(t, func(t *testing.T) {
				c := &loadTest{fault: load.fault}
				c.run(p, load.rate, *loadDuration)
				n := c.outcomes[job.Done] + c.outcomes[job.NotRun] + c.outcomes[job.Unknown]
				lost[p.name] = 100 * float64(n-c.outcomes[job.Done]) / float64(n)
				p99[p.name] = quantile(c.times, 0.99)
				t.Logf("%-16s %-12s %6d checks, waiting p50 %8s p99 %8s, response p50 %8s p99 %8s, not done %6.3f%%, sent per check %.3f",
					load.name, p.name, n, quantile(c.waits, 0.5), quantile(c.waits, 0.99), quantile(c.times, 0.5), p99[p.name], lost[p.name], float64(c.sent)/float64(n))
			})
		}
		for _, other := range []string{"random", "round robin"} {
			is.New(t).True(lost["gate"] < 0.5)
			is.New(t).True(p99["gate"] <= p99[other]+meanRunTime)
		}
	}
}

// Guards against retries that multiply the load while all targets fail.
func TestOutageLoad(t *testing.T) {
	for _, p := range []policy{{name: "budget"}, {name: "no budget", retryBurst: 1 << 30}} {
		synctest.Test(t, func(t *testing.T) {
			c := &loadTest{fault: func(int, *target.Request) (time.Duration, error) { return 1, errors.New("connection cut") }}
			c.run(p, 500, *loadDuration)
			n := len(c.times)
			ratio := float64(c.sent) / float64(n)
			t.Logf("%-10s %d checks, sent per check %.3f", p.name, n, ratio)
			is.New(t).True(p.retryBurst > 0 || c.sent <= n+8*budget.DefaultBurst)
		})
	}
}
