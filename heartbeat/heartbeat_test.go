package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Whatever somebody waits for is heard at once; what nobody waits for is heard together with it, or within
// PauseMost.
func TestPause(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for name, c := range map[string]struct {
		wanted bool
		runs   []Run
		want   time.Duration
	}{
		"nothing runs":                 {false, nil, MaxPollDelay},
		"nobody waits":                 {false, []Run{{in(20 * time.Millisecond), false}}, MaxPollDelay},
		"a last task ends soon":        {false, []Run{{in(200 * time.Millisecond), true}}, 140 * time.Millisecond},
		"a last task ends now":         {false, []Run{{in(10 * time.Millisecond), true}}, 0},
		"a last task is overdue":       {false, []Run{{in(-time.Second), true}}, 0},
		"a last task ends much later":  {false, []Run{{in(time.Minute), true}}, MaxPollDelay},
		"nothing is known of one":      {false, []Run{{time.Time{}, true}}, 0},
		"the first of two counts":      {false, []Run{{in(time.Second), true}, {in(160 * time.Millisecond), true}}, 100 * time.Millisecond},
		"room is wanted, nobody waits": {true, []Run{{in(time.Minute), false}}, 0},
		"room is wanted, nothing runs": {true, nil, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(PollDelay(now, c.wanted, c.runs), c.want) })
	}
}
