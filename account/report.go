package account

import (
	"cmp"
	"slices"
	"strings"

	"turmericgap/job"
)

// Report is what the owner of the cell knows about a client account.
type Report struct {
	Name   string  `json:"name" msgpack:"n"`
	Weight float64 `json:"weight" msgpack:"w"`
	// Running is what its tasks use, Runs how many there are, and Cap what they may use; a resource of the cap that is 0
	// is not limited.
	Running job.Resources `json:"running" msgpack:"r"`
	Runs    int           `json:"runs" msgpack:"t"`
	Cap     job.Resources `json:"cap" msgpack:"c"`
	// Share is the fraction of the cell's processors that its tasks use.
	Share float64 `json:"share" msgpack:"s"`
	// Waiting counts its steps that wait; of these, WaitingForCap are held back by its cap and Surplus exceed its rate.
	Waiting       int `json:"waiting" msgpack:"q"`
	WaitingForCap int `json:"waitingForCap" msgpack:"b"`
	Surplus       int `json:"surplus" msgpack:"u"`
	// Refused counts the submissions that this owner has refused.
	Refused int `json:"refused" msgpack:"f"`
}

// Reports are the reports on the accounts of a cell, those that use most first.
type Reports struct {
	// Version is the version of the configuration with the weights and caps.
	Version  int64    `json:"version" msgpack:"v"`
	Accounts []Report `json:"accounts" msgpack:"a"`
}

// WaitingStep is a step of an account that waits.
type WaitingStep struct {
	Account         string
	ForCap, Surplus bool
}

// MakeReports reports on the configured accounts and those with waiting steps, those that use most first. refused is
// the number of refused submissions by account, totalMillicores the CPU of the cell.
func MakeReports(l *Ledger, configured map[string]*job.Account, refused map[string]int, steps []WaitingStep, totalMillicores int64) []Report {
	found := make(map[string]*Report)
	report := func(name string) *Report {
		r := found[name]
		if r == nil {
			r = &Report{Name: name, Refused: refused[name]}
			r.Running, r.Runs, r.Cap = l.Running(name)
			if a := configured[name]; a != nil {
				r.Weight = a.Weight
			}
			if totalMillicores > 0 {
				r.Share = float64(r.Running.Millicores) / float64(totalMillicores)
			}
			found[name] = r
		}
		return r
	}
	for name := range configured {
		report(name)
	}
	for _, s := range steps {
		if s.Account == "" {
			continue
		}
		r := report(s.Account)
		r.Waiting++
		if s.ForCap {
			r.WaitingForCap++
		}
		if s.Surplus {
			r.Surplus++
		}
	}
	list := make([]Report, 0, len(found))
	for _, r := range found {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Running.Millicores, a.Running.Millicores), strings.Compare(a.Name, b.Name))
	})
	return list
}
