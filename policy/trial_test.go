package policy

import (
	"fmt"
	"testing"

	"turmericgap/planner"
	"turmericgap/rule/standard"
)

func TestTrial(t *testing.T) {
	line := ""
	for seed := uint64(1); seed <= 4; seed++ {
		for _, l := range []*Load{Kayal(seed), Padan(seed)} {
			big := map[string]string{"kayal": "fleet", "padan": "closing"}[l.Name]
			small := map[string]string{"kayal": "roster", "padan": "matching"}[l.Name]
			for _, p := range []Policy{FirstFit(), Planner("planner", planner.Rules(standard.List()), planner.Quotas(l.Quotas))} {
				if seed > 4 && p.Name != "planner" { continue }
				r := Replay(l, p)
				line += fmt.Sprintf("\n%s %s %.2f %.3f missed %d+%d big %.0f small %.0f", p.Name, l.Name, r.Offered, r.Packing(), r.byClass[big].Missed,r.byClass[small].Missed, r.Wait(big, 0.5).Seconds(), r.Wait(small, 0.99).Seconds())
			}
		}
	}
	t.Log(line)
}
