package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"turmericgap/account"
	"turmericgap/aging"
)

// kind is a class of submissions of the replayed load: rate per second, cores, run time and objective.
type kind struct {
	name     string
	priority int
	perSec   float64
	cores    float64
	runs     time.Duration
	permit   time.Duration
	slack    float64
	spare    time.Duration
}

// kinds has the proportions of brazos-charts: gangs, batches and lookups that use 84 % of the cell.
var kinds = []kind{
	{"gang", 1, 4.5, 180 * 1.2, 4 * time.Second, 600 * time.Millisecond, 2.2, time.Second},
	{"batch", 2, 12.8, 87.5 * 1.5, 2700 * time.Millisecond, 190 * time.Millisecond, 4, 3 * time.Second},
	{"lookup", 0, 66, 15, time.Second, 20 * time.Millisecond, 1.5, 250 * time.Millisecond},
}

const (
	replayCores = 11_200
	replayStep  = 100 * time.Millisecond
	accounts    = 20
	flooder     = "a07"
	// maxFactor is the highest factor of arrivals.
	maxFactor = 16
	// smallest is the number of cores of the smallest kind.
	smallest = 15
)

// call is one submission of the replayed load with its fate.
type call struct {
	Submission
	kind     *kind
	runs     time.Duration
	arrived  time.Time // first
	tries    int
	accepted bool
	done     time.Time
	answers  []time.Duration
	at       time.Time // of the next try
	waited   time.Duration
}

// inTime reports whether the latest submission of a call was done by its deadline.
func (c *call) inTime() bool { return !c.done.IsZero() && !c.done.After(c.Deadline) }

// replayLoad is a load with what varies between replays.
type replayLoad struct {
	seed    uint64
	scale   float64 // of the cell
	seconds int
	// burst returns the factor of all arrivals at a second, flood that of the flooding account.
	burst, flood func(second float64) float64
	// admitAll disables the gate. forced is an ID that is accepted at its first try whatever the gate says, and the replay
	// ends at its deadline.
	admitAll bool
	forced   string
	tries    int
}

// burstOf15s is 2.6 times the usual load for nine seconds, then 2.2 times for six.
func burstOf15s(second float64) float64 {
	switch {
	case second < 5 || second >= 20:
		return 1
	case second < 14:
		return 2.6
	}
	return 2.2
}

// replayed is the state of a replay: cores that run works in the order of starts.
type replayed struct {
	load    *replayLoad
	gate    *Gate
	shares  *account.Shares
	waiting []*call
	running []*call
	free    float64
	calls   []*call
}

// play replays a load: a work takes its cores for its run time, and estimates are off by up to a factor of two.
func (l *replayLoad) play() []*call {
	start := time.Unix(1000, 0)
	r := &replayed{load: l, gate: NewGate(), shares: account.NewShares(), free: replayCores * l.scale}
	r.calls = l.arrivals(start)
	byTime := func(a, b *call) int { return a.at.Compare(b.at) }
	pending := slices.SortedStableFunc(slices.Values(r.calls), byTime)
	end := start.Add(time.Duration(l.seconds+30) * time.Second)
	for now := start; now.Before(end); now = now.Add(replayStep) {
		r.endRuns(now)
		r.gate.Observe(now, testWorkers(int64(replayCores*l.scale)), r.backlog())
		for len(pending) > 0 && !pending[0].at.After(now) {
			c := pending[0]
			if pending = pending[1:]; !r.submit(c, now) && c.tries <= l.tries {
				i, _ := slices.BinarySearchFunc(pending, c, byTime)
				pending = slices.Insert(pending, i, c)
			}
			if c.ID == l.forced {
				end = c.Deadline
			}
		}
		r.start(now)
	}
	return r.calls
}

func (l *replayLoad) arrivals(start time.Time) []*call {
	var out []*call
	for i := range kinds {
		k := &kinds[i]
		for a := range accounts {
			name := fmt.Sprintf("a%02d", a)
			rng := rand.New(rand.NewPCG(l.seed, uint64(100*i+a))) // the others' arrivals do not depend on the flood
			for s := 0.0; s < float64(l.seconds); {
				s += rng.ExpFloat64() * accounts / (k.perSec * l.scale * maxFactor)
				factor := l.burst(s)
				if name == flooder {
					factor *= l.flood(s)
				}
				if rng.Float64()*maxFactor > factor {
					continue
				}
				// Run times vary and estimates are off, both within a factor of two.
				runs := time.Duration(float64(k.runs) * math.Exp2(rng.Float64()*2-1) / 1.08)
				estimate := time.Duration(float64(runs) * math.Exp2(rng.Float64()*2-1))
				at := start.Add(seconds(s))
				out = append(out, &call{
					kind: k, runs: runs, arrived: at, at: at,
					Submission: Submission{
						ID: fmt.Sprint(k.name, name, len(out)), Permit: k.permit, Chain: k.permit + estimate,
						Work: Work{Pool: "p", Queue: k.name, Account: name, Priority: k.priority, Class: aging.Usual, CoreSeconds: k.cores * estimate.Seconds()},
					},
				})
			}
		}
	}
	return out
}

// submit submits a call, and reports whether it was accepted.
func (r *replayed) submit(c *call, now time.Time) bool {
	objective := time.Duration(c.kind.slack*float64(c.Chain)) + c.kind.spare
	c.Accepted, c.Deadline, c.Expiry = now, now.Add(objective), now.Add(3*objective)
	remaining := c.Permit + (c.Chain-c.Permit)/2
	c.SortTime, c.LateFrom, c.WorthlessFrom = c.Deadline, c.Deadline.Add(-remaining), c.Expiry.Add(-remaining)
	c.tries++
	if r.load.admitAll || c.ID == r.load.forced {
		r.gate.admitted, c.account = &c.Submission, r.gate.accountIndex(c.Account)
	} else if d := r.gate.Decide(now, &c.Submission); !d.Admitted {
		c.answers = append(c.answers, d.RetryAfter)
		c.at = now.Add(d.RetryAfter)
		return false
	}
	c.accepted = true
	c.waited = r.gate.RecordAccepted(now, c.ID)
	c.SortTime = c.SortTime.Add(-c.waited)
	r.waiting = append(r.waiting, c)
	return true
}

func (r *replayed) backlog() []Work {
	out := make([]Work, 0, len(r.waiting))
	for _, c := range r.waiting {
		out = append(out, c.Work)
	}
	return out
}

func (r *replayed) endRuns(now time.Time) {
	r.running = slices.DeleteFunc(r.running, func(c *call) bool {
		if c.done.After(now) {
			return false
		}
		r.free += c.kind.cores
		r.gate.RecordFreed(now, "p", c.CoreSeconds)
		return true
	})
}

// start starts waiting works by lateness, priority, account shares and time while cores are free.
func (r *replayed) start(now time.Time) {
	if r.free < smallest {
		return
	}
	rank := func(c *call) int {
		lateness := 0
		if !now.Before(c.LateFrom) {
			lateness++
		}
		if !now.Before(c.WorthlessFrom) {
			lateness++
		}
		return lateness*10 + c.Priority
	}
	slices.SortFunc(r.waiting, func(a, b *call) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.SortTime.Compare(b.SortTime), strings.Compare(a.ID, b.ID))
	})
	r.shares.Begin()
	var left []*call
	for rest := r.waiting; len(rest) > 0; {
		n := 1
		for n < len(rest) && rank(rest[n]) == rank(rest[0]) {
			n++
		}
		var steps []account.Waiting
		for _, c := range rest[:n] {
			steps = append(steps, account.Waiting{Account: c.Account, Cost: c.CoreSeconds})
		}
		for _, i := range slices.Clone(r.shares.Order(steps)) {
			c := rest[i]
			if r.free < c.kind.cores {
				left = append(left, c)
				continue
			}
			r.free -= c.kind.cores
			r.shares.Record(&steps[i])
			c.done = now.Add(c.Permit + c.runs)
			r.running = append(r.running, c)
		}
		rest = rest[n:]
	}
	r.waiting = left
}
