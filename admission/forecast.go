package admission

import (
	"math"
	"time"

	"turmericgap/aging"
)

const (
	// estimateError is the factor by which a caller's estimate of a run time may be off.
	estimateError = 2
	// minMargin divides a backlog of many works before it is taken for what is ahead. Errors of single estimates cancel
	// out in a sum, and errors that all estimates share are contained in the learned rate, which is counted in the same
	// estimates. What remains is that queues differ in their errors while the rate mixes them.
	minMargin = 1.25
)

// Work is a step that waits to start, or a submission, as far as the order of starts depends on it.
type Work struct {
	Pool, Queue, Account string
	// Weight is the weight of its account; zero counts as one.
	Weight float64
	// Surplus is true if its submission exceeded the rate of its account, Held if the cap of its account lets none of its
	// tasks start.
	Surplus, Held bool
	Service       bool
	Priority      int
	Class         aging.Class
	// CoreSeconds is what its waiting tasks will use, by the caller's estimate.
	CoreSeconds float64
	// SortTime orders works that are equal otherwise.
	SortTime time.Time
	// LateFrom is the start from which it ends after its deadline, WorthlessFrom that from which its result is worthless.
	LateFrom, WorthlessFrom time.Time
	// account is the index of its account. A forecast looks at thousands of works; names and maps would take most of its
	// time.
	account int
}

// Submission is a work that asks to be accepted.
type Submission struct {
	Work
	ID string
	// Accepted is when it arrived.
	Accepted time.Time
	// Permit is the time of its first permit request, Chain the estimated duration of its longest chain of steps with the
	// permit requests.
	Permit, Chain time.Duration
	// Deadline is when it should be done, Expiry when its result becomes worthless.
	Deadline, Expiry time.Time
	// Cap is the number of cores that its account may use; zero means that it has no cap.
	Cap float64
}

// shortest returns the least time from its start to its end. Permit requests take their time, run times may be shorter
// than estimated.
func (s *Submission) shortest() time.Duration { return s.Permit + (s.Chain-s.Permit)/estimateError }

// arrivedBy returns the submission as if it had arrived now if it arrived before. The clock of its entry VM may be behind,
// and all that comes through that VM would be refused as worthless already.
func (s *Submission) arrivedBy(now time.Time) Submission {
	out, age := *s, max(now.Sub(s.Accepted), 0)
	out.Accepted, out.Deadline, out.Expiry = s.Accepted.Add(age), s.Deadline.Add(age), s.Expiry.Add(age)
	return out
}

// Demand is what the submissions of an account at a priority have lately asked for.
type Demand struct {
	Account   string
	Weight    float64
	Priority  int
	PerSecond float64

	account int
}

// Inputs are what a forecast depends on.
type Inputs struct {
	Now time.Time
	// Cores is the number of cores of the submission's pool, Rate the core-seconds that it frees in a second.
	Cores, Rate float64
	Backlog     []Work
	Demand      []Demand
	// accounts is the number of accounts in the backlog, the demand and the submission.
	accounts int
}

// Forecast is an optimistic estimate of when a submission would end.
type Forecast struct {
	// End is the earliest end. InTime is true if it is before the deadline.
	End    time.Time
	InTime bool
	// Ahead holds the core-seconds that start before the submission while it is on time, AheadLate those that do so in
	// addition once it is late; Rate is the rate at which they start.
	Ahead, AheadLate, Rate float64
	// ByShare is true if the account's own backlog and its part of the rate decide, and the backlog is then its own. Share
	// is its part of the rate by weight, among the accounts that compete.
	ByShare bool
	Share   float64
}

// NewForecast returns the forecast of a submission.
//
// It assumes that no further work arrives, except that an account with more than its share of the backlog does not get
// what others keep asking for. It counts what starts before the submission for certain: while it is on time, the works
// of higher ranks, and in its own rank those of its account that come first and as much of other accounts as their
// weights allow for meanwhile; once it is late, also late works of higher ranks and works of any priority that are on
// time until it is worthless.
func NewForecast(in *Inputs, s *Submission) Forecast {
	whole := newShares(in, s)
	onTime, late := queue{others: make([]rival, in.accounts)}, queue{others: make([]rival, in.accounts)}
	for i := range in.Backlog {
		w := &in.Backlog[i]
		if w.Pool != s.Pool || w.Held && (w.account != s.account || s.Cap == 0) {
			continue
		}
		whole.add(w)
		addAhead(&onTime, &late, w, s, in.Now)
	}
	f := Forecast{Share: whole.share()}
	accountRate := whole.accountRate(in, s)
	wait := f.decide(in.Rate, accountRate, &onTime, s)
	start := in.Now.Add(wait)
	if f.InTime = !start.After(s.Deadline.Add(-s.shortest())); !f.InTime {
		f.AheadLate = late.total(s)
		lateWait := max(f.AheadLate/in.Rate, late.ownTotal()/accountRate) / margin(late.works+onTime.works)
		start = start.Add(seconds(lateWait))
	}
	f.End = start.Add(s.shortest())
	return f
}

// addAhead adds a waiting work to what comes before a submission while that is on time, or in addition once it is late.
func addAhead(onTime, late *queue, w *Work, s *Submission, now time.Time) {
	lastUseful := s.Expiry.Add(-s.shortest())
	isLate := !w.Service && !now.Before(w.LateFrom)
	switch {
	case !isLate && (w.Service || w.Priority <= s.Priority):
		onTime.add(w, s, true)
	case !isLate && !w.LateFrom.Before(lastUseful):
		late.addAbove(w, w.account == s.account)
	case isLate && w.Priority <= s.Priority && !w.WorthlessFrom.Before(lastUseful):
		late.add(w, s, false)
	}
}

// decide sets what is ahead while the submission is on time, and returns how long that takes.
func (f *Forecast) decide(rate, accountRate float64, q *queue, s *Submission) time.Duration {
	f.Ahead, f.Rate = q.total(s), rate
	if own := q.ownTotal(); own/accountRate > f.Ahead/rate {
		f.Ahead, f.Rate, f.ByShare = own, accountRate, true
	}
	return seconds(f.Ahead / f.Rate / margin(q.works))
}

// margin returns the factor by which the backlog of a number of works may be overestimated.
func margin(works int) float64 {
	return minMargin + (estimateError-minMargin)/math.Sqrt(float64(max(works, 1)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// queue adds up what starts before a submission.
type queue struct {
	works int
	// above is the work of higher ranks, ownAbove the part of it that belongs to the submission's account.
	above, ownAbove float64
	// own is the work of its account that comes first in its rank, in other queues or its own size class; otherClasses
	// is that in other size classes of its queue.
	own, otherClasses float64
	// others holds the work of other accounts in its rank, by account.
	others []rival
}

// rival is the work of another account.
type rival struct{ coreSeconds, weight float64 }

// add adds a work whose priority is at least that of the submission. Size classes take turns only while works are on time.
func (q *queue) add(w *Work, s *Submission, classesTakeTurns bool) {
	isOwn := w.account == s.account
	switch {
	case w.Service || w.Priority < s.Priority:
		q.addAbove(w, isOwn)
		return
	case !isOwn:
		r := &q.others[w.account]
		r.coreSeconds += w.CoreSeconds
		r.weight = weightOf(w.Weight)
		return
	case w.Surplus && !s.Surplus, w.Surplus == s.Surplus && !w.SortTime.Before(s.SortTime):
		return
	case classesTakeTurns && w.Queue == s.Queue && w.Class != s.Class:
		q.otherClasses += w.CoreSeconds
	default:
		q.own += w.CoreSeconds
	}
	q.works++
}

// addAbove adds a work of a higher rank.
func (q *queue) addAbove(w *Work, isOwn bool) {
	q.works++
	q.above += w.CoreSeconds
	if isOwn {
		q.ownAbove += w.CoreSeconds
	}
}

// ownInRank returns the work of the submission's account and rank that comes first. Size classes start as often as their
// works arrive, so that of the other classes about as much starts as of its own.
func (q *queue) ownInRank() float64 { return q.own + min(q.otherClasses, q.own) }

// ownTotal returns the work of the submission's account that comes first.
func (q *queue) ownTotal() float64 { return q.ownAbove + q.ownInRank() }

// total returns all work that comes first. Accounts start by weight, so that of each other one as much comes first as its
// weight allows for while the submission's account starts its own.
func (q *queue) total(s *Submission) float64 {
	own := q.ownInRank()
	sum := q.above + own
	for _, r := range q.others {
		sum += min(r.coreSeconds, own*r.weight/weightOf(s.Weight))
	}
	return sum
}

// shares compares the backlog of the submission's account with its share.
type shares struct {
	account  int
	own, all float64
	// weights holds the weights of the accounts that compete, zero for the others.
	weights []float64
	// others is what other accounts ask for in a second at the submission's priority or higher.
	others float64
}

func newShares(in *Inputs, s *Submission) *shares {
	h := &shares{account: s.account, weights: make([]float64, in.accounts)}
	h.weights[s.account] = weightOf(s.Weight)
	for i := range in.Demand {
		d := &in.Demand[i]
		if d.account == s.account {
			continue
		}
		h.weights[d.account] = weightOf(d.Weight)
		if d.Priority <= s.Priority {
			h.others += d.PerSecond
		}
	}
	return h
}

func (h *shares) add(w *Work) {
	h.all += w.CoreSeconds
	if w.account == h.account {
		h.own += w.CoreSeconds
		return
	}
	h.weights[w.account] = weightOf(w.Weight)
}

// share returns the weight of the submission's account as a part of all weights.
func (h *shares) share() float64 {
	sum := 0.0
	for _, w := range h.weights {
		sum += w
	}
	return h.weights[h.account] / sum
}

// accountRate returns the rate at which work of the submission's account can start. Other accounts go on asking for what
// they have lately asked for, within their shares; what they leave belongs to an account that exceeds its own.
func (h *shares) accountRate(in *Inputs, s *Submission) float64 {
	rate := in.Rate
	if share := h.share(); h.own > share*h.all {
		rate = max(share*in.Rate, in.Rate-h.others)
	}
	if s.Cap > 0 {
		rate = min(rate, s.Cap*max(1, in.Rate/in.Cores))
	}
	return rate
}

// weightOf returns the weight to use for an account.
func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}
