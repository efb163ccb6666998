package main

import (
	"fmt"
	"strconv"

	"turmericgap/account"
	"turmericgap/job"
)

type accounts struct {
	opts *commonOptions
	Ops  string `long:"ops" value-name:"ADDRESS" required:"yes" description:"operators' address of any entry VM, IP number and port"`
}

// Execute lists the client accounts with their use, caps and waiting steps.
func (a *accounts) Execute([]string) error {
	reports, err := fetchPage[account.Reports](a.opts, a.Ops, "/accounts")
	if err != nil {
		return err
	}
	if a.opts.JSON {
		return printJSON(reports)
	}
	t := newTable("ACCOUNT", "WEIGHT", "RUNS", "RUNNING", "CAP", "SHARE", "WAITING", "FOR CAP", "SURPLUS", "REFUSED", "STATE")
	for i := range reports.Accounts {
		t.row(accountCells(&reports.Accounts[i])...)
	}
	return t.print()
}

func accountCells(r *account.Report) []string {
	limit := "none"
	if r.Cap != (job.Resources{}) {
		limit = formatResources(r.Cap)
	}
	return []string{
		r.Name, strconv.FormatFloat(r.Weight, 'g', -1, 64), strconv.Itoa(r.Runs), formatResources(r.Running), limit,
		fmt.Sprintf("%.0f%%", 100*r.Share), strconv.Itoa(r.Waiting), strconv.Itoa(r.WaitingForCap), strconv.Itoa(r.Surplus),
		strconv.Itoa(r.Refused), accountState(r),
	}
}

// accountState says why works of an account wait.
func accountState(r *account.Report) string {
	switch {
	case r.Waiting == 0:
		return "nothing waits"
	case r.WaitingForCap == r.Waiting:
		return "held back by its cap"
	case r.WaitingForCap > 0:
		return "partly held back by its cap"
	case r.Surplus > 0:
		return "beyond its rate"
	}
	return "waits for room or permits"
}
