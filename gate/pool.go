package gate

import (
	"container/list"
	"context"
	"math/rand/v2"
	"time"

	"turmericgap/balancer"
	"turmericgap/gate/target"
	"turmericgap/share"
)

const (
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
	firstRunTime    = 0.02
	spreadPart      = 4
	runSmoothing    = 0.05
	noTargetRetry   = time.Second
	// scanWaiters bounds how many waiters are looked at when the first can't take the free slot.
	scanWaiters = 8
	// maxGates is for how many gates of a zone a target's connections suffice. They are divided by
	// this fixed number, so that no share of them has to move when the gate table does.
	maxGates = 8
	// leastRun is the time that must be left for a check to be sent at all.
	leastRun = 2 * time.Millisecond
)

// pool holds the targets of one service in this zone and the checks that wait for them.
// The gate's mutex guards it.
type pool struct {
	balancer *balancer.Balancer
	// pick chooses a target; tests put other policies here to compare them.
	pick    func(ask *balancer.Constraints, now time.Time) (balancer.Choice, bool)
	shares  *share.Allocator
	clients map[string]*client
	waiting *list.List
	bound   map[string]*list.List
	// runTime is the smoothed time in seconds that a check occupies a slot.
	runTime float64
	slots   int
	rng     *rand.Rand
}

type client struct {
	address string
	call    *target.Client
}

// ticket is the right to send one request to a target.
type ticket struct {
	pool   *pool
	info   target.Info
	slot   *share.Slot
	probe  bool
	client *target.Client
	// granted is when the slot was given.
	granted time.Time
}

type waiter struct {
	pool  *pool
	ask   balancer.Constraints
	bound string
	// until gives when a request that is sent now has surely left its target.
	until func(now time.Time) time.Time
	ready chan *ticket
	item  *list.Element
}

func newPool(seed uint64, shares *share.Allocator) *pool {
	b := balancer.New(balancer.Seed(seed))
	rng := rand.New(rand.NewPCG(seed, 1))
	return &pool{
		shares:   shares,
		rng:      rng,
		balancer: b, pick: b.Pick, clients: make(map[string]*client),
		waiting: list.New(), bound: make(map[string]*list.List), runTime: firstRunTime,
	}
}

// queue gives the list in which a waiter stands: one for the service, and one for each target that
// sessions wait for, so that a session does not hold up the checks of others.
func (p *pool) queue(w *waiter) *list.List {
	if w.bound == "" {
		return p.waiting
	}
	q, ok := p.bound[w.bound]
	if !ok {
		q = list.New()
		p.bound[w.bound] = q
	}
	return q
}

func (p *pool) remove(w *waiter) {
	if w.item == nil {
		return
	}
	q := p.queue(w)
	q.Remove(w.item)
	w.item = nil
	if w.bound != "" && q.Len() == 0 {
		delete(p.bound, w.bound)
	}
}

func (p *pool) len() int {
	n := p.waiting.Len()
	for _, q := range p.bound {
		n += q.Len()
	}
	return n
}

// expected gives how long a check waits behind n others: the slots, each freed once a run time,
// are the rate at which the queue drains.
func (p *pool) expected(n int) time.Duration {
	return time.Duration(float64(n+1) * p.runTime / float64(max(1, p.slots)) * float64(time.Second))
}

// run gives how long a check occupies a slot.
func (p *pool) run() time.Duration { return time.Duration(p.runTime * float64(time.Second)) }

// retryAfter gives when the queue will have drained, and up to a quarter more: callers that were
// refused together must not all come back together.
func (p *pool) retryAfter() time.Duration {
	drained := max(p.expected(p.waiting.Len()), leastRetryAfter)
	return min(drained+time.Duration(p.rng.Int64N(int64(drained)/spreadPart)), mostRetryAfter)
}

// grant gives a waiter a target if one may take it now.
func (p *pool) grant(w *waiter, now time.Time) *ticket {
	until := w.until(now)
	w.ask.FreeSlots = func(info *target.Info) int { return p.shares.FreeSlots(info.ID, info.Slots, until, now) }
	var c balancer.Choice
	var ok bool
	if w.bound == "" {
		c, ok = p.pick(&w.ask, now)
	} else {
		c, ok = p.balancer.PickByID(w.bound, &w.ask, now)
	}
	if !ok {
		return nil
	}
	slot, ok := p.shares.Acquire(c.Info.ID, c.Info.Slots, until, now)
	if !ok {
		// A sibling has borrowed the slot in between.
		p.balancer.Undo(c)
		return nil
	}
	return &ticket{pool: p, info: c.Info, slot: slot, probe: c.Probe, client: p.clients[c.Info.ID].call, granted: now}
}

// dispatch hands free slots to the waiters, first come, first served.
func (p *pool) dispatch(now time.Time) {
	for _, q := range p.bound {
		p.serve(q, now)
	}
	p.serve(p.waiting, now)
}

func (p *pool) serve(q *list.List, now time.Time) {
	missed := 0
	for e := q.Front(); e != nil && missed < scanWaiters; {
		next := e.Next()
		w := e.Value.(*waiter)
		if t := p.grant(w, now); t != nil {
			p.remove(w)
			w.ready <- t
		} else {
			missed++
		}
		e = next
	}
}

func (p *pool) learn(took time.Duration) { p.runTime += runSmoothing * (took.Seconds() - p.runTime) }

// refresh takes over the current list of targets.
func (g *Gate) refresh() {
	local := make(map[string][]target.Info)
	zones := make(map[string][]string)
	where := make(map[string]string)
	seen := make(map[string]bool)
	here := make(map[string]bool)
	for _, info := range g.opts.Targets() {
		where[info.ID] = info.Zone
		if info.Zone == g.opts.Zone {
			here[info.ID] = true
			local[info.Service] = append(local[info.Service], info)
		}
		if key := info.Service + "\x00" + info.Zone; !info.Leaving && !seen[key] {
			seen[key] = true
			zones[info.Service] = append(zones[info.Service], info.Zone)
		}
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zones, g.where = zones, where
	g.shares.RetainTargets(here)
	for service := range local {
		if g.pools[service] == nil {
			g.pools[service] = newPool(g.opts.Seed, g.shares)
		}
	}
	ejected := 0
	for service, p := range g.pools {
		p.update(local[service], g.opts.Dial, now)
		if len(local[service]) == 0 && p.len() == 0 {
			delete(g.pools, service)
		}
		ejected += p.balancer.EjectedCount()
	}
	g.meters.ejected.Update(int64(ejected))
	g.meters.streams.Update(int64(g.work.openStreams()))
}

func (p *pool) update(infos []target.Info, dial target.Dial, now time.Time) {
	p.balancer.Update(infos, now)
	clients := make(map[string]*client, len(infos))
	p.slots = 0
	for _, info := range infos {
		c := p.clients[info.ID]
		if c == nil || c.address != info.Address {
			c = &client{address: info.Address, call: dial(info, max(1, info.Connections/maxGates))}
		}
		clients[info.ID] = c
		if !info.Leaving {
			p.slots += p.shares.Limit(info.ID, info.Slots, now)
		}
	}
	p.clients = clients
	p.dispatch(now)
}

// turn serves waiters and reports whether any are left.
func (g *Gate) turn() bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.pools {
		p.dispatch(now)
		n += p.len()
	}
	g.meters.waiting.Update(int64(n))
	return n > 0
}

// acquire gets a ticket, by waiting if need be; it gives a result where there is none to be had.
func (g *Gate) acquire(ctx context.Context, cl *call) (*ticket, *Result) {
	start := time.Now()
	w := &waiter{
		ask:   balancer.Constraints{Avoid: cl.avoid, Repeatable: cl.check.Repeatable},
		bound: cl.check.Target,
		until: func(now time.Time) time.Time { return g.attemptEnd(cl, now).Add(g.opts.Limits.Grace) },
	}
	t, r := g.enqueue(cl, w, start)
	if t != nil || r != nil {
		return t, r
	}
	signal(g.kick)
	signal(g.need)
	select {
	case t = <-w.ready:
		g.meters.waitMicros.Update(time.Since(start).Microseconds())
		return t, nil
	case <-ctx.Done():
		return nil, g.giveUp(w)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// enqueue gives a ticket at once, or a result where waiting is no use, or puts w into its queue.
func (g *Gate) enqueue(cl *call, w *waiter, now time.Time) (*ticket, *Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[cl.check.Service]
	if p == nil || (w.bound == "" && p.balancer.UsableCount() == 0) {
		return nil, notRun("no usable target", noTargetRetry)
	}
	if !g.shares.Valid() {
		return nil, notRun("gate is not a member of its zone", noTargetRetry)
	}
	q := p.queue(w)
	if q.Len() == 0 {
		if t := p.grant(w, now); t != nil {
			return t, nil
		}
	}
	if q.Len() >= cl.queue {
		return nil, limited("queue is full", p.retryAfter())
	}
	if now.Add(p.expected(q.Len()) + p.run()).After(cl.deadline) {
		return nil, limited("expected wait and run exceed the time left", p.retryAfter())
	}
	w.pool, w.ready = p, make(chan *ticket, 1)
	w.item = q.PushBack(w)
	return nil, nil
}

func limited(reason string, retryAfter time.Duration) *Result {
	r := notRun(reason, retryAfter)
	r.Limited = true
	return r
}

// giveUp takes a waiter whose caller is gone or whose time is up out of its queue.
func (g *Gate) giveUp(w *waiter) *Result {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w.pool.remove(w)
	select {
	case t := <-w.ready:
		g.free(t, now)
	default:
	}
	return limited("time ran out in the queue", w.pool.retryAfter())
}

// free gives a slot back and hands it on.
func (g *Gate) free(t *ticket, now time.Time) {
	t.pool.balancer.Release(t.info.ID)
	g.shares.Release(t.slot, now)
	t.pool.dispatch(now)
}
