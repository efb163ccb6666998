package admission

import "time"

const (
	// maxReturns bounds the refused IDs that are remembered, returnMemory how long.
	maxReturns   = 10_000
	returnMemory = time.Minute
	// returnShare is the part of the rate that is planned for submissions that come back; new ones use the rest.
	returnShare = 0.5
	// maxPlannedReturn is the latest time for which returns are planned. Later ones are spread over lateReturnSpread,
	// while their IDs are still remembered.
	maxPlannedReturn = 30 * time.Second
	lateReturnSpread = 28
)

// returns plans when refused submissions come back: each takes the next free time in the order of first arrival.
type returns struct {
	byID map[string]*plannedReturn
	// refused lists the refusals in order of time, of which each ID has one or more.
	refused []refusedID
	// late counts the returns beyond maxPlannedReturn.
	late int
}

// plannedReturn is a refused submission that may come back.
type plannedReturn struct {
	pool, account string
	priority      int
	coreSeconds   float64
	byShare       bool
	// first is when the ID arrived first, refusedAt when it was last refused, and at when it should come back.
	first, refusedAt, at time.Time
}

type refusedID struct {
	id string
	at time.Time
}

func newReturns() returns { return returns{byID: make(map[string]*plannedReturn)} }

// firstArrival returns when the ID of a submission arrived first.
func (r *returns) firstArrival(s *Submission) time.Time {
	if p := r.byID[s.ID]; p != nil && p.first.Before(s.Accepted) {
		return p.first
	}
	return s.Accepted
}

// remove forgets an ID that was accepted at a time, and returns how long before that it arrived first.
func (r *returns) remove(id string, accepted time.Time) time.Duration {
	p := r.byID[id]
	if p == nil {
		return 0
	}
	delete(r.byID, id)
	return max(accepted.Sub(p.first), 0)
}

// book plans the return of a refused submission and sets RetryAfter. The submission can be in time once the work ahead,
// and what comes back before it, has drained to what starts within its slack. If its objective is over by then, the
// caller gains nothing from an early return, and is told to wait until all of that has drained.
func (r *returns) book(d *Decision, first time.Time) {
	s, f := d.submission, &d.Forecast
	d.booked = r.bookedBefore(d, first)
	drain := f.Rate * returnShare
	slack := max(s.Deadline.Sub(s.Accepted)-s.Chain, 0).Seconds()
	after := seconds((max(f.Ahead-f.Rate*slack, 0) + d.booked) / drain)
	if d.PastObjective = d.now.Add(after).After(first.Add(s.Deadline.Sub(s.Accepted))); d.PastObjective {
		after = seconds((f.Ahead + d.booked) / drain)
	}
	if after > maxPlannedReturn {
		after = maxPlannedReturn + time.Duration(r.late%lateReturnSpread)*time.Second
		r.late++
	}
	d.RetryAfter = roundUp(after)
	r.remember(s.ID, &plannedReturn{
		pool: s.Pool, account: s.Account, priority: s.Priority, coreSeconds: s.CoreSeconds, byShare: f.ByShare,
		first: first, refusedAt: d.now, at: d.now.Add(after),
	})
}

func (r *returns) remember(id string, p *plannedReturn) {
	r.byID[id] = p
	r.refused = append(r.refused, refusedID{id, p.refusedAt})
	r.forget(p.refusedAt)
}

// bookedBefore returns the core-seconds of the returns that come before that of a submission. Returns of an account that
// exceeds its share delay only each other.
func (r *returns) bookedBefore(d *Decision, first time.Time) float64 {
	s, sum := d.submission, 0.0
	for id, p := range r.byID {
		if p.pool != s.Pool || !p.at.After(d.now) || p.byShare != d.Forecast.ByShare || p.byShare && p.account != s.Account {
			continue
		}
		if p.priority < s.Priority || p.priority == s.Priority && !p.first.After(first) && id != s.ID {
			sum += p.coreSeconds
		}
	}
	return sum
}

// forget drops the oldest refusals beyond the bounds.
func (r *returns) forget(now time.Time) {
	for len(r.refused) > 0 && (len(r.refused) > maxReturns || now.Sub(r.refused[0].at) > returnMemory) {
		oldest := r.refused[0]
		r.refused = r.refused[1:]
		if p := r.byID[oldest.id]; p != nil && !p.refusedAt.After(oldest.at) {
			delete(r.byID, oldest.id)
		}
	}
}

// roundUp returns a duration in whole seconds, as Retry-After is sent, at least one.
func roundUp(d time.Duration) time.Duration {
	return max((d + time.Second - 1).Truncate(time.Second), time.Second)
}
