package heartbeat

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The end of a run that is awaited must be polled without delay. The end of any other run is reported by the same poll,
// or within MaxPollDelay.
func TestPollDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for name, c := range map[string]struct {
		capacityNeeded bool
		runs           []Run
		want           time.Duration
	}{
		"nothing runs":                     {false, nil, MaxPollDelay},
		"no run is awaited":                {false, []Run{{in(20 * time.Millisecond), false}}, MaxPollDelay},
		"an awaited run ends soon":         {false, []Run{{in(200 * time.Millisecond), true}}, 140 * time.Millisecond},
		"an awaited run ends now":          {false, []Run{{in(10 * time.Millisecond), true}}, 0},
		"an awaited run is overdue":        {false, []Run{{in(-time.Second), true}}, 0},
		"an awaited run ends much later":   {false, []Run{{in(time.Minute), true}}, MaxPollDelay},
		"its end is unknown":               {false, []Run{{time.Time{}, true}}, 0},
		"the first of two counts":          {false, []Run{{in(time.Second), true}, {in(160 * time.Millisecond), true}}, 100 * time.Millisecond},
		"capacity is needed, none awaited": {true, []Run{{in(time.Minute), false}}, 0},
		"capacity is needed, nothing runs": {true, nil, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(PollDelay(now, c.capacityNeeded, c.runs), c.want) })
	}
}
