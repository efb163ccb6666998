package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/quarantine"
)

// quarantined returns the record of a worker on which runs of different works have failed after atWork each.
func quarantined(atWork time.Duration, now time.Time) *quarantine.Record {
	r := &quarantine.Record{}
	for i := range quarantine.After {
		r.AddFailure(string(rune('a'+i)), atWork, now, func() bool { return true })
	}
	return r
}

// Guards against a worker that stays on trial for as long as its trial run lasts, and against ending the trial before the
// run has lasted longer than the failed ones.
func TestTrialEndsByTimeAtWork(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ failedAfter, enough time.Duration }{
		{0, time.Second},
		{400 * time.Millisecond, time.Second},
		{700 * time.Millisecond, 1400 * time.Millisecond},
		{time.Minute, 2 * time.Second},
	} {
		is := is.New(t)
		r := quarantined(c.failedAfter, now)
		is.True(!r.EndTrial(c.enough - time.Millisecond))
		is.True(r.IsOnTrial())
		is.True(r.EndTrial(c.enough))
		is.True(!r.IsOnTrial() && !r.IsActive(now))
		is.True(!r.EndTrial(time.Hour)) // nothing to end
	}
}

// Guards against giving a worker that goes on failing three more works after each trial run that has lasted a while.
func TestNextFailureAfterTrialBeginsQuarantine(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := quarantined(0, now)
	is.True(r.EndTrial(time.Second))
	is.Equal(r.AddFailure("d", 0, now, func() bool { return true }), time.Second)
	is.True(r.IsOnTrial())
	r.AddSuccess()
	is.Equal(r.AddFailure("e", 0, now, func() bool { return true }), time.Duration(0))
}
