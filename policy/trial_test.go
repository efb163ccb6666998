package policy

import (
	"testing"

	"turmericgap/planner"
	"turmericgap/rule/standard"
)

func TestTrial(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		for _, l := range []*Load{Kayal(seed), Padan(seed)} {
			t.Logf("%s", Replay(l, FirstFit()))
			t.Logf("%s", Replay(l, Planner("planner", planner.Rules(standard.List()), planner.Quotas(l.Quotas))))
		}
	}
}
