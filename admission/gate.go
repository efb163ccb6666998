package admission

import (
	"fmt"
	"iter"
	"time"

	"turmericgap/job"
)

const (
	// observationTime is how long a gate observes the rate before it refuses anything.
	observationTime = 2 * time.Second
	// maxObservationAge is how old the backlog may be for a refusal. The owner observes it ten times as often.
	maxObservationAge = time.Second
)

// Reason tells why a submission was refused.
type Reason string

// The reasons.
const (
	// ReasonBacklog means that the work ahead takes too long.
	ReasonBacklog Reason = "backlog"
	// ReasonShare means that the backlog of the submission's own account takes too long at its part of the rate.
	ReasonShare Reason = "share"
)

// Gate refuses submissions that can no longer be useful when they would end.
//
// Load pattern: for seconds more work arrives than the cell holds, or one account sends many times its usual. Whatever
// is accepted beyond what can be served in time ends late or not at all, and its callers wait for that. The gate holds
// what it has observed; it is not safe for concurrent use.
type Gate struct {
	// startedAt is the time of the first observation, observedAt that of the latest.
	startedAt, observedAt time.Time
	cores                 map[string]peak
	freed                 flow[string]
	asked                 flow[demandKey]
	weights               map[string]float64
	backlog               []Work
	// accounts is the index of each account of the backlog and the demand.
	accounts map[string]int
	// freedPerSecond and demand are the averages as of the latest observation.
	freedPerSecond map[string]float64
	demand         map[string][]Demand
	returns        returns
	// waits holds how long submissions admitted since the latest observation may have to wait at most.
	waits map[waitKey]time.Duration
	// admitted is the submission that was admitted last, unless it was accepted.
	admitted *Submission
}

type demandKey struct {
	pool, account string
	priority      int
}

// NewGate returns a Gate without observations.
func NewGate() *Gate {
	return &Gate{accounts: make(map[string]int), cores: make(map[string]peak), weights: make(map[string]float64), returns: newReturns(), waits: make(map[waitKey]time.Duration)}
}

// Observe replaces the workers and the backlog. The gate uses the slice until the next call.
func (g *Gate) Observe(now time.Time, workers iter.Seq[Worker], backlog []Work) {
	cores := make(map[string]float64)
	for w := range workers {
		cores[w.Pool] += w.Capacity.Cores()
	}
	if g.startedAt.IsZero() && len(cores) > 0 {
		g.startedAt = now
	}
	g.observedAt, g.backlog = now, backlog
	for pool, p := range g.cores {
		if g.cores[pool] = p.update(now, cores[pool]); g.cores[pool].cores == 0 {
			delete(g.cores, pool)
		}
	}
	for pool, n := range cores {
		g.cores[pool] = g.cores[pool].update(now, n)
	}
	g.freedPerSecond = g.freed.perSecond(now, g.startedAt)
	clear(g.accounts)
	for i := range backlog {
		backlog[i].account = g.accountIndex(backlog[i].Account)
	}
	g.demand = make(map[string][]Demand)
	weights := make(map[string]float64)
	for k, perSecond := range g.asked.perSecond(now, g.startedAt) {
		weights[k.account] = g.weights[k.account]
		g.demand[k.pool] = append(g.demand[k.pool], Demand{k.account, weights[k.account], k.priority, perSecond, g.accountIndex(k.account)})
	}
	g.weights = weights
	g.returns.forget(now)
	clear(g.waits)
}

// waitKey identifies submissions that wait about equally long. Their forecast is made once for each observation: a
// forecast looks at all waiting works, and under a burst the owner has no processor to spare for one a submission.
type waitKey struct {
	pool, account string
	priority      int
	surplus       bool
}

// waitMargin times the wait of a similar submission is what another one may have to wait, as it may come later in the
// order.
const waitMargin = 2

// accountIndex returns the index of an account, and adds one if it has none.
func (g *Gate) accountIndex(name string) int {
	i, known := g.accounts[name]
	if !known {
		i = len(g.accounts)
		g.accounts[name] = i
	}
	return i
}

// RecordFreed counts the core-seconds of a task that has ended, by its caller's estimate.
func (g *Gate) RecordFreed(now time.Time, pool string, coreSeconds float64) {
	g.freed.add(now, pool, coreSeconds)
}

// RecordAccepted counts the submission that was admitted last if it was accepted, and returns how long before it the ID
// arrived first.
func (g *Gate) RecordAccepted(now time.Time, id string) time.Duration {
	s := g.admitted
	if s == nil || s.ID != id {
		return 0
	}
	g.admitted = nil
	g.asked.add(now, demandKey{s.Pool, s.Account, s.Priority}, s.CoreSeconds)
	g.weights[s.Account] = s.Weight
	g.backlog = append(g.backlog, s.Work)
	return g.returns.remove(s.ID, s.Accepted)
}

// Decision is what a gate has decided about a submission, and why.
type Decision struct {
	Admitted bool
	Reason   Reason
	Forecast Forecast
	// RetryAfter is when the submission may be repeated, in whole seconds. PastObjective is true if its objective will be
	// over by then, counted from its first arrival.
	RetryAfter    time.Duration
	PastObjective bool

	submission *Submission
	now        time.Time
	// inputs are the core-seconds that end in a second, the cores, and for how long they were observed.
	freed, cores float64
	rateAge      time.Duration
	// firstArrival is how long ago the ID arrived first, booked the core-seconds whose return comes first.
	firstArrival time.Duration
	booked       float64
}

// Decide decides about a submission. It admits everything until it has observed the rate for a while.
func (g *Gate) Decide(now time.Time, s *Submission) Decision {
	g.admitted, s.account = s, g.accountIndex(s.Account)
	cores := g.cores[s.Pool].cores
	if g.startedAt.IsZero() || now.Sub(g.startedAt) < observationTime || now.Sub(g.observedAt) > maxObservationAge ||
		cores == 0 || s.Service {
		return Decision{Admitted: true}
	}
	// A busy core frees one core-second a second, whatever ended lately.
	freed := g.freedPerSecond[s.Pool]
	in := Inputs{Now: now, Cores: cores, Rate: max(cores, freed), Backlog: g.backlog, Demand: g.demand[s.Pool], accounts: len(g.accounts)}
	first := g.returns.firstArrival(s)
	asFirst := s.arrivedBy(now)
	asFirst.SortTime = s.SortTime.Add(first.Sub(s.Accepted))
	similar := waitKey{s.Pool, s.Account, s.Priority, s.Surplus}
	if wait, known := g.waits[similar]; known && !now.Add(waitMargin*wait+asFirst.shortest()).After(asFirst.Expiry) {
		return Decision{Admitted: true}
	}
	d := Decision{
		Forecast: NewForecast(&in, &asFirst), Reason: ReasonBacklog, submission: &asFirst, now: now, freed: freed, cores: cores,
		rateAge: now.Sub(g.startedAt), firstArrival: now.Sub(first),
	}
	if d.Admitted = !d.Forecast.End.After(asFirst.Expiry); d.Admitted {
		g.waits[similar] = max(d.Forecast.End.Sub(now)-asFirst.shortest(), 0)
		return d
	}
	g.admitted = nil
	if d.Forecast.ByShare {
		d.Reason = ReasonShare
	}
	g.returns.book(&d, first)
	return d
}

// Exempt reports whether a work is admitted whatever is ahead: one that is not due yet, that runs until it is cancelled,
// or that uses what others leave.
func Exempt(w *job.Work) bool {
	for i := range w.Steps {
		if w.Steps[i].Service || w.Steps[i].BestEffort {
			return true
		}
	}
	return w.Occurrences > 0 || len(w.Steps) == 0
}

// String returns the reason for callers.
func (d Decision) String() string {
	hint := "may be in time then"
	if d.PastObjective {
		hint = "its objective will be over by then"
	}
	return fmt.Sprintf("the work would end in %.1f s at the earliest and be worth nothing after %.1f s (%s); retry in %.0f s: %s",
		d.Forecast.End.Sub(d.now).Seconds(), d.submission.Expiry.Sub(d.now).Seconds(), d.Reason, d.RetryAfter.Seconds(), hint)
}

// ReasonRepeated is the reason for callers who repeat a refused submission before its answer can have reached them.
const ReasonRepeated = "the work was refused just now"

// UntilReturn returns how long a refused ID should still wait, or false if that is not known.
func (g *Gate) UntilReturn(id string, now time.Time) (time.Duration, bool) {
	r := g.returns.byID[id]
	if r == nil || !r.at.After(now) {
		return 0, false
	}
	return roundUp(r.at.Sub(now)), true
}

// LogFields returns names and values for the log.
func (d Decision) LogFields() []any {
	s := d.submission
	return []any{
		"id", s.ID,
		"queue", s.Queue,
		"account", s.Account,
		"surplus", s.Surplus,
		"reason", string(d.Reason),
		"coreSeconds", s.CoreSeconds,
		"ahead", d.Forecast.Ahead,
		"aheadLate", d.Forecast.AheadLate,
		"rate", d.Forecast.Rate,
		"share", d.Forecast.Share,
		"cores", d.cores,
		"freed", d.freed,
		"rateAge", d.rateAge,
		"earliestEnd", d.Forecast.End.Sub(d.now),
		"deadline", s.Deadline.Sub(d.now),
		"expiry", s.Expiry.Sub(d.now),
		"firstArrival", d.firstArrival,
		"returnsAhead", d.booked,
		"retryAfter", d.RetryAfter,
		"pastObjective", d.PastObjective,
	}
}
