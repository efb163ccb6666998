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
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 30 * time.Second
	initialRunTime     = 0.02
	retryJitterDivisor = 4
	runSmoothing       = 0.05
	noTargetRetry      = time.Second
	// maxWaitersScanned limits the waiters that are tried for a free slot after the first one can't
	// use it.
	maxWaitersScanned = 8
	// maxGates is the number of gates per zone among which a target's connections are divided. It
	// is fixed so that connections don't have to move when the gate table changes.
	maxGates = 8
	// minRunTime is the minimum time left for which a check is sent.
	minRunTime = 2 * time.Millisecond
)

// pool holds the targets of one service in this zone and the checks that wait for them. Gate.mu
// guards it.
type pool struct {
	balancer *balancer.Balancer
	// pick selects a target; tests replace it to compare policies.
	pick        func(c *balancer.Constraints, now time.Time) (balancer.Choice, bool)
	shares      *share.Allocator
	clients     map[string]*client
	sharedQueue *list.List
	boundQueues map[string]*list.List
	// runTime is the smoothed time in seconds that a check occupies a slot.
	runTime float64
	slots   int
	rng     *rand.Rand
}

type client struct {
	address string
	call    *target.Client
}

// ticket is the permission to send one request to a target.
type ticket struct {
	pool   *pool
	info   target.Info
	slot   *share.Slot
	probe  bool
	client *target.Client
	// grantedAt is when the slot was acquired.
	grantedAt time.Time
}

type waiter struct {
	pool        *pool
	constraints balancer.Constraints
	targetID    string
	// occupiedUntil returns the time by which a request sent now no longer occupies its target.
	occupiedUntil func(now time.Time) time.Time
	ready         chan *ticket
	element       *list.Element
}

func newPool(seed uint64, shares *share.Allocator) *pool {
	b := balancer.New(balancer.Seed(seed))
	rng := rand.New(rand.NewPCG(seed, 1))
	return &pool{
		shares:   shares,
		rng:      rng,
		balancer: b, pick: b.Pick, clients: make(map[string]*client),
		sharedQueue: list.New(), boundQueues: make(map[string]*list.List), runTime: initialRunTime,
	}
}

// queueOf returns the queue of a waiter. Each target with waiting sessions has its own queue, so
// that a session does not block the other checks of the service.
func (p *pool) queueOf(w *waiter) *list.List {
	if w.targetID == "" {
		return p.sharedQueue
	}
	q, ok := p.boundQueues[w.targetID]
	if !ok {
		q = list.New()
		p.boundQueues[w.targetID] = q
	}
	return q
}

func (p *pool) remove(w *waiter) {
	if w.element == nil {
		return
	}
	q := p.queueOf(w)
	q.Remove(w.element)
	w.element = nil
	if w.targetID != "" && q.Len() == 0 {
		delete(p.boundQueues, w.targetID)
	}
}

func (p *pool) waitingCount() int {
	n := p.sharedQueue.Len()
	for _, q := range p.boundQueues {
		n += q.Len()
	}
	return n
}

// expectedWait returns the expected wait of a check with n checks before it in the queue. Each slot
// serves one check per run time.
func (p *pool) expectedWait(n int) time.Duration {
	return time.Duration(float64(n+1) * p.runTime / float64(max(1, p.slots)) * float64(time.Second))
}

// expectedRun returns the expected time that a check occupies a slot.
func (p *pool) expectedRun() time.Duration { return time.Duration(p.runTime * float64(time.Second)) }

// retryAfter returns the time in which the queue drains, plus a random part of up to a quarter, so
// that callers that were rejected together don't retry together.
func (p *pool) retryAfter() time.Duration {
	drained := max(p.expectedWait(p.sharedQueue.Len()), minRetryAfter)
	return min(drained+time.Duration(p.rng.Int64N(int64(drained)/retryJitterDivisor)), maxRetryAfter)
}

// tryGrant returns a ticket for a target that the waiter may use now, or nil.
func (p *pool) tryGrant(w *waiter, now time.Time) *ticket {
	until := w.occupiedUntil(now)
	w.constraints.FreeSlots = func(info *target.Info) int { return p.shares.FreeSlots(info.ID, info.Slots, until, now) }
	var c balancer.Choice
	var ok bool
	if w.targetID == "" {
		c, ok = p.pick(&w.constraints, now)
	} else {
		c, ok = p.balancer.PickByID(w.targetID, &w.constraints, now)
	}
	if !ok {
		return nil
	}
	slot, ok := p.shares.Acquire(c.Info.ID, c.Info.Slots, until, now)
	if !ok {
		// The slot was lent to a sibling in between.
		p.balancer.Undo(c)
		return nil
	}
	return &ticket{pool: p, info: c.Info, slot: slot, probe: c.Probe, client: p.clients[c.Info.ID].call, grantedAt: now}
}

// serveWaiters assigns free slots to waiters in FIFO order.
func (p *pool) serveWaiters(now time.Time) {
	for _, q := range p.boundQueues {
		p.serveQueue(q, now)
	}
	p.serveQueue(p.sharedQueue, now)
}

func (p *pool) serveQueue(q *list.List, now time.Time) {
	missed := 0
	for e := q.Front(); e != nil && missed < maxWaitersScanned; {
		next := e.Next()
		w := e.Value.(*waiter)
		if t := p.tryGrant(w, now); t != nil {
			p.remove(w)
			w.ready <- t
		} else {
			missed++
		}
		e = next
	}
}

func (p *pool) addRunTime(d time.Duration) { p.runTime += runSmoothing * (d.Seconds() - p.runTime) }

// refreshTargets applies the current list of targets.
func (g *Gate) refreshTargets() {
	local := make(map[string][]target.Info)
	zones := make(map[string][]string)
	targetZones := make(map[string]string)
	seen := make(map[string]bool)
	localIDs := make(map[string]bool)
	for _, info := range g.opts.Targets() {
		targetZones[info.ID] = info.Zone
		if info.Zone == g.opts.Zone {
			localIDs[info.ID] = true
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
	g.serviceZones, g.targetZones = zones, targetZones
	g.shares.RetainTargets(localIDs)
	for service := range local {
		if g.pools[service] == nil {
			g.pools[service] = newPool(g.opts.Seed, g.shares)
		}
	}
	ejected := 0
	for service, p := range g.pools {
		p.update(local[service], g.opts.Dial, now)
		if len(local[service]) == 0 && p.waitingCount() == 0 {
			delete(g.pools, service)
		}
		ejected += p.balancer.EjectedCount()
	}
	g.metrics.ejected.Update(int64(ejected))
	g.metrics.streams.Update(int64(g.inProgress.streamCount()))
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
	p.serveWaiters(now)
}

// serveAllWaiters serves the waiters of all pools and reports whether any are left.
func (g *Gate) serveAllWaiters() bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.pools {
		p.serveWaiters(now)
		n += p.waitingCount()
	}
	g.metrics.waiting.Update(int64(n))
	return n > 0
}

// acquire returns a ticket, waiting for one if necessary, or the result of a check that can't get
// one.
func (g *Gate) acquire(ctx context.Context, cl *call) (*ticket, *Result) {
	start := time.Now()
	w := &waiter{
		constraints:   balancer.Constraints{Avoid: cl.avoid, Repeatable: cl.check.Repeatable},
		targetID:      cl.check.Target,
		occupiedUntil: func(now time.Time) time.Time { return g.attemptEnd(cl, now).Add(g.opts.Limits.Grace) },
	}
	t, r := g.enqueue(cl, w, start)
	if t != nil || r != nil {
		return t, r
	}
	signal(g.wake)
	signal(g.borrowNeeded)
	select {
	case t = <-w.ready:
		g.metrics.waitMicros.Update(time.Since(start).Microseconds())
		return t, nil
	case <-ctx.Done():
		return nil, g.abandonWait(w)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// enqueue returns a ticket if one is available now, or a result if waiting is pointless. Otherwise
// it queues w.
func (g *Gate) enqueue(cl *call, w *waiter, now time.Time) (*ticket, *Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pools[cl.check.Service]
	if p == nil || (w.targetID == "" && p.balancer.UsableCount() == 0) {
		return nil, notRun("no usable target", noTargetRetry)
	}
	if !g.shares.Valid() {
		return nil, notRun("gate is not a member of its zone", noTargetRetry)
	}
	q := p.queueOf(w)
	if q.Len() == 0 {
		if t := p.tryGrant(w, now); t != nil {
			return t, nil
		}
	}
	if q.Len() >= cl.queue {
		return nil, limitExceeded("queue is full", p.retryAfter())
	}
	if now.Add(p.expectedWait(q.Len()) + p.expectedRun()).After(cl.deadline) {
		return nil, limitExceeded("expected wait and run exceed the time left", p.retryAfter())
	}
	w.pool, w.ready = p, make(chan *ticket, 1)
	w.element = q.PushBack(w)
	return nil, nil
}

func limitExceeded(reason string, retryAfter time.Duration) *Result {
	r := notRun(reason, retryAfter)
	r.Limited = true
	return r
}

// abandonWait removes a waiter whose caller has left or whose deadline has passed.
func (g *Gate) abandonWait(w *waiter) *Result {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w.pool.remove(w)
	select {
	case t := <-w.ready:
		g.releaseSlot(t, now)
	default:
	}
	return limitExceeded("time ran out in the queue", w.pool.retryAfter())
}

// releaseSlot releases a slot and serves the waiters of its pool.
func (g *Gate) releaseSlot(t *ticket, now time.Time) {
	t.pool.balancer.Release(t.info.ID)
	g.shares.Release(t.slot, now)
	t.pool.serveWaiters(now)
}
