package queue

import "time"

// PoolUsage are the questions that a pass asks about pools.
type PoolUsage struct {
	// Share is how much of its quota a pool holds.
	Share func(pool string) float64
	// WithinQuota reports whether the pool could start one more of the lane within its quota.
	WithinQuota func(k *Key) bool
}

// Pass goes once through what could start, in order.
type Pass[T any] struct {
	q     *Queue[T]
	now   time.Time
	terms PoolUsage
	// borrow is the second phase, in which pools may go beyond their quota.
	borrow  bool
	tried   int
	looked  int
	cursor  *Item[T]
	lateEnd bool
	// byTurn says that the last item came by the turn of the late ones.
	byTurn bool
}

// BeginPass starts a pass; the one before it ends.
func (q *Queue[T]) BeginPass(now time.Time, terms PoolUsage) *Pass[T] {
	q.stamp++
	q.pass = Pass[T]{q: q, now: now, terms: terms}
	return &q.pass
}

// Next gives the item that should start next, or nil at the end. The caller starts some of it, or
// calls Block.
func (p *Pass[T]) Next() *Item[T] {
	if p.tried >= mostBlocked {
		p.q.cut = true
		return nil
	}
	if it := p.next(); it != nil || p.borrow {
		return it
	}
	p.borrow, p.cursor, p.lateEnd, p.looked = true, nil, false, 0
	return p.next()
}

func (p *Pass[T]) next() *Item[T] {
	p.byTurn = false
	if p.q.turn >= lateTurn {
		if it := p.late(); it != nil {
			p.byTurn = true
			return it
		}
	}
	if it := p.band(UrgentBand, MaxBand); it != nil {
		return it
	}
	if it := p.late(); it != nil {
		return it
	}
	return p.band(MinBand, UrgentBand-1)
}

// MarkStarted notes a start, so that late items get their turns.
func (p *Pass[T]) MarkStarted(k *Key) {
	for _, t := range p.q.bands[k.Band-MinBand] {
		if t.pool == k.Pool {
			t.stamp = 0
		}
	}
	p.q.turn++
	if p.byTurn {
		p.q.turn = 0
	}
}

// BlockLane passes over the lane of an item until Unblock.
func (p *Pass[T]) BlockLane(it *Item[T]) {
	p.tried++
	p.q.block(it.lane)
}

func (p *Pass[T]) late() *Item[T] {
	if p.lateEnd {
		return nil
	}
	var found *Item[T]
	visit := func(it *Item[T]) bool {
		if it.LateAt.After(p.now) || p.looked >= mostLate {
			p.lateEnd = true
			return false
		}
		p.cursor = it
		if it.lane.blocked || (!p.borrow && !p.terms.WithinQuota(&it.lane.key)) {
			p.looked++
			return true
		}
		found = it
		return false
	}
	if p.cursor == nil {
		p.q.late.Ascend(visit)
	} else {
		p.q.late.AscendGreaterOrEqual(p.cursor, visit)
	}
	return found
}

func (p *Pass[T]) band(from, to int) *Item[T] {
	for b := to; b >= from; b-- {
		var best *Item[T]
		var bestShare float64
		for _, t := range p.q.bands[b-MinBand] {
			it, ok := t.ready.Min()
			if !ok || (!p.borrow && !p.terms.WithinQuota(&it.lane.key)) {
				continue
			}
			if t.stamp != p.q.stamp {
				t.stamp, t.share = p.q.stamp, p.terms.Share(t.pool)
			}
			if best == nil || t.share < bestShare {
				best, bestShare = it, t.share
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}
