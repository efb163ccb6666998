package evacuation

import (
	"cmp"
	"time"
)

const (
	wholePercent = 100
	// minGain is the gain in percent from which the rest of a run is extrapolated.
	minGain = 10
	// minSpread is the least factor by which an extrapolation may be off: a worker may become slower or faster.
	minSpread = 1.1
	// percentError is the error of a gain in percent: reports are rounded, and their arrival is up to a percent late.
	percentError = 3
	// estimateSpread is the factor by which callers' estimates may be off. Estimates off by more than two have been seen.
	estimateSpread = 2.5
)

// Remaining bounds the time that a run still takes. Known is false if nothing is known of it.
type Remaining struct {
	Min, Max time.Duration
	Known    bool
}

// chance returns the probability that the run ends within a time, taking all values between the bounds as equally
// probable.
func (r Remaining) chance(within time.Duration) float64 {
	switch {
	case within <= 0:
		return 0
	case !r.Known:
		return 0.5
	case within >= r.Max:
		return 1
	case within <= r.Min:
		return 0
	}
	return float64(within-r.Min) / float64(r.Max-r.Min)
}

// fromEstimate bounds the rest of a run by its caller's estimate.
func fromEstimate(estimate, elapsed time.Duration) Remaining {
	if estimate <= 0 {
		return Remaining{}
	}
	r := Remaining{
		Min:   max(time.Duration(float64(estimate)/estimateSpread)-elapsed, 0),
		Max:   time.Duration(float64(estimate)*estimateSpread) - elapsed,
		Known: true,
	}
	if r.Max <= 0 {
		r.Max = elapsed // the estimate was wrong, and the age is all that is known
	}
	return r
}

// report is a progress in percent at a time.
type report struct {
	percent int
	at      time.Time
}

// Progress is what the reports of a run have shown. The zero value is a run without reports.
type Progress struct {
	// beganAt is when the run began, or when its first report arrived if a former owner has started it; known is true if
	// it is the former.
	beganAt time.Time
	known   bool
	// fresh is true if the run began to work then, at a progress of zero; resumes is true if it has a checkpoint.
	fresh, resumes bool
	// base is the report from which the pace is measured, latest the last one.
	base, latest report
	// checkpoint is the newest one reported; savedAt is when that was first reported, or when the run began or was first
	// reported if none was.
	checkpoint string
	savedAt    time.Time
}

// Begin records that the run begins. It works at once unless it resumes from a checkpoint or waits for a gang.
func (p *Progress) Begin(resumes, gang bool, at time.Time) {
	*p = Progress{beganAt: at, known: true, fresh: !resumes && !gang, resumes: resumes, savedAt: at}
	if p.fresh {
		p.base, p.latest = report{0, at}, report{0, at}
	}
}

// Observe records a report. A run that resumes from a checkpoint may report the progress of the checkpoint, or none, for
// a while, and a member of a gang waits for the others, so the pace counts from the first progress of the run's own.
func (p *Progress) Observe(percent int, checkpoint string, at time.Time) {
	if p.beganAt.IsZero() {
		p.beganAt, p.savedAt = at, at
	}
	if !p.fresh && (p.base.percent == 0 || percent <= p.base.percent) {
		p.base = report{percent, at}
	}
	p.latest = report{percent, at}
	if p.hasSaved(checkpoint) {
		p.savedAt = at
	}
	p.checkpoint = cmp.Or(checkpoint, p.checkpoint)
}

// hasSaved reports whether a checkpoint is newer than the newest one reported.
func (p *Progress) hasSaved(checkpoint string) bool {
	return checkpoint != "" && checkpoint != p.checkpoint
}

// Input returns what the reports show of a run with that estimate of its caller; zero if there is none.
func (p *Progress) Input(estimate time.Duration, now time.Time) Run {
	var r Run
	if !p.beganAt.IsZero() {
		r.Worked, r.Unsaved = now.Sub(p.beganAt), now.Sub(p.savedAt)
	}
	if r.Remaining = p.remaining(now); !r.Remaining.Known && p.known {
		r.Remaining = fromEstimate(estimate*time.Duration(wholePercent-p.base.percent)/wholePercent, r.Worked)
		if p.resumes && p.base.percent == 0 {
			r.Remaining.Min = 0 // the progress of its checkpoint was not reported yet
		}
	}
	return r
}

// remaining extrapolates the rest of the run; Known is false while it has gained too little.
func (p *Progress) remaining(now time.Time) Remaining {
	gain := p.latest.percent - p.base.percent
	if gain < minGain {
		return Remaining{}
	}
	rest := p.latest.at.Sub(p.base.at) * time.Duration(wholePercent-p.latest.percent) / time.Duration(gain)
	rest = max(rest-now.Sub(p.latest.at), 0)
	spread := max(minSpread, 1+percentError/float64(gain))
	return Remaining{Min: time.Duration(float64(rest) / spread), Max: time.Duration(float64(rest) * spread), Known: true}
}
