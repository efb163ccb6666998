package policy

import (
	"testing"
	"time"

	"turmericgap/planner"
	"turmericgap/rule/standard"
)

func TestLoads(t *testing.T) {
	for _, l := range []*Load{Kayal(1), Padan(1), TwoYear(1, 20)} {
		began := time.Now()
		for _, p := range []Policy{
			FirstFit(), RandomOfTwo(1),
			Planner("planner", planner.Rules(standard.List()), planner.Quotas(l.Quotas)),
		} {
			r := Replay(l, p)
			t.Logf("%s (%v)", r, time.Since(began))
			began = time.Now()
		}
	}
}
