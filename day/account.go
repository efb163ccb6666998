package day

import (
	"cmp"
	"fmt"
	"slices"
)

// Account summarizes the works of a client account.
type Account struct {
	Name  string `json:"name"`
	Works int    `json:"works"`
	// Surplus counts its works that exceeded its rate. The other counts and shares leave them out.
	Surplus  int             `json:"surplus"`
	Outcomes map[Outcome]int `json:"fates"`
	// Done is the share of its works except cancelled ones that completed before they expired, Margin that share divided
	// by the share of all accounts.
	Done   float64 `json:"done"`
	Margin float64 `json:"margin"`
	// CapSeconds is how long its steps were held back by its cap, in step-seconds.
	CapSeconds int `json:"capSeconds"`
	// Worst is set for the tenth of the accounts with the lowest margins.
	Worst bool `json:"worst,omitempty"`
}

// worstDivisor is the inverse of the fraction of accounts that are marked as worst.
const worstDivisor = 10

// accounts returns the summaries of all accounts, the worst served first.
func (d *Analyzer) accounts(works []classifiedWork) []Account {
	byName := make(map[string]*Account)
	all := make(map[Outcome]int)
	total := 0
	for _, w := range works {
		if w.account == "" {
			continue
		}
		a := byName[w.account]
		if a == nil {
			a = &Account{Name: w.account, Outcomes: make(map[Outcome]int), CapSeconds: d.capSeconds[w.account]}
			byName[w.account] = a
		}
		a.Works++
		if w.surplus {
			a.Surplus++
			continue
		}
		a.Outcomes[w.outcome]++
		all[w.outcome]++
		total++
	}
	whole := doneShare(total, all)
	list := make([]Account, 0, len(byName))
	for _, a := range byName {
		a.Done = doneShare(a.Works-a.Surplus, a.Outcomes)
		if whole > 0 {
			a.Margin = a.Done / whole
		}
		list = append(list, *a)
	}
	slices.SortFunc(list, func(a, b Account) int { return cmp.Or(cmp.Compare(a.Margin, b.Margin), cmp.Compare(a.Name, b.Name)) })
	for i := range (len(list) + worstDivisor - 1) / worstDivisor {
		list[i].Worst = true
	}
	return list
}

// maxPrintedAccounts limits the accounts in the text of a report; the JSON report has all of them.
const maxPrintedAccounts = 20

func (r *Report) printAccounts(p *printer) {
	if len(r.Accounts) == 0 {
		return
	}
	p.beginTable("What became of works by account, the worst served first", "ACCOUNT", "WORKS", "SURPLUS", "IN TIME", "LATE", "LOST", "FAILED", "CANCELLED", "OPEN", "DONE", "MARGIN", "CAP STEP-S", "")
	for i := range r.Accounts[:min(len(r.Accounts), maxPrintedAccounts)] {
		a := &r.Accounts[i]
		cells := []string{a.Name, fmt.Sprint(a.Works), fmt.Sprint(a.Surplus)}
		for _, f := range outcomes {
			cells = append(cells, fmt.Sprint(a.Outcomes[f]))
		}
		mark := ""
		if a.Worst {
			mark = "worst tenth"
		}
		p.row(append(cells, fmt.Sprintf("%.2f", a.Done), fmt.Sprintf("%.2f", a.Margin), fmt.Sprint(a.CapSeconds), mark)...)
	}
}
