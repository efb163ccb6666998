package queue

import "time"

// PoolUsage provides the quota usage of pools to a pass.
type PoolUsage struct {
	// Share returns the fraction of its quota that a pool uses.
	Share func(pool string) float64
	// WithinQuota reports whether the pool can start one more item of the lane within its quota.
	WithinQuota func(k *Key) bool
}

// Pass iterates over the items that could start, in order of precedence.
type Pass[T any] struct {
	q     *Queue[T]
	now   time.Time
	usage PoolUsage
	// borrowing is set in the second phase, in which pools may exceed their quotas.
	borrowing    bool
	blockedCount int
	lateScanned  int
	// lateCursor is the late item that was visited last. lateDone is set if the phase visits no further ones.
	lateCursor *Item[T]
	lateDone   bool
	// lateDue is set if the last item was returned because late items were due for a start.
	lateDue bool
}

// BeginPass starts a pass and invalidates the previous one.
func (q *Queue[T]) BeginPass(now time.Time, usage PoolUsage) *Pass[T] {
	q.passSeq++
	q.pass = Pass[T]{q: q, now: now, usage: usage}
	return &q.pass
}

// Next returns the item that should start next, or nil at the end. The caller must start at least a part of the item or
// call BlockLane.
func (p *Pass[T]) Next() *Item[T] {
	if p.blockedCount >= maxBlockedPerPass {
		p.q.passTruncated = true
		return nil
	}
	if it := p.nextInPhase(); it != nil || p.borrowing {
		return it
	}
	p.borrowing, p.lateCursor, p.lateDone, p.lateScanned = true, nil, false, 0
	return p.nextInPhase()
}

func (p *Pass[T]) nextInPhase() *Item[T] {
	p.lateDue = false
	if p.q.startsSinceLate >= lateInterval {
		if it := p.nextLate(); it != nil {
			p.lateDue = true
			return it
		}
	}
	if it := p.nextInBands(UrgentBand, MaxBand); it != nil {
		return it
	}
	if it := p.nextLate(); it != nil {
		return it
	}
	return p.nextInBands(MinBand, UrgentBand-1)
}

// MarkStarted counts a start, which determines when late items are next, and makes the pass read the share of the
// item's pool again.
func (p *Pass[T]) MarkStarted(k *Key) {
	for _, t := range p.q.bands[k.Band-MinBand] {
		if t.name == k.Pool {
			t.sharePass = 0
		}
	}
	p.q.startsSinceLate++
	if p.lateDue {
		p.q.startsSinceLate = 0
	}
}

// BlockLane skips the lane of an item until it is unblocked.
func (p *Pass[T]) BlockLane(it *Item[T]) {
	p.blockedCount++
	p.q.block(it.lane)
}

func (p *Pass[T]) nextLate() *Item[T] {
	if p.lateDone {
		return nil
	}
	var found *Item[T]
	visit := func(it *Item[T]) bool {
		if it.LateAt.After(p.now) || p.lateScanned >= maxLateScanned {
			p.lateDone = true
			return false
		}
		p.lateCursor = it
		if it.lane.blocked || (!p.borrowing && !p.usage.WithinQuota(&it.lane.key)) {
			p.lateScanned++
			return true
		}
		found = it
		return false
	}
	if p.lateCursor == nil {
		p.q.byLateAt.Ascend(visit)
	} else {
		p.q.byLateAt.AscendGreaterOrEqual(p.lateCursor, visit)
	}
	return found
}

func (p *Pass[T]) nextInBands(from, to int) *Item[T] {
	for b := to; b >= from; b-- {
		var best *Item[T]
		var bestShare float64
		for _, t := range p.q.bands[b-MinBand] {
			it, ok := t.ready.Min()
			if !ok || (!p.borrowing && !p.usage.WithinQuota(&it.lane.key)) {
				continue
			}
			if t.sharePass != p.q.passSeq {
				t.sharePass, t.share = p.q.passSeq, p.usage.Share(t.name)
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
