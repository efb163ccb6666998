package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"turmericgap/account"
	"turmericgap/finding"
	"turmericgap/job"
)

// maxAccountsBytes limits the answer about accounts: 10,000 of them take about 3 MB.
const maxAccountsBytes = 16 << 20

type accounts struct {
	opts *commonOptions
	Ops  string `long:"ops" value-name:"ADDRESS" required:"yes" description:"operators' address of any entry VM, IP number and port"`
}

// Execute lists the client accounts with their use, caps and waiting steps.
func (a *accounts) Execute([]string) error {
	if host, _, err := net.SplitHostPort(a.Ops); err != nil || net.ParseIP(host) == nil {
		return finding.List{{Path: "--ops", Reason: fmt.Sprintf("%q is not an IP number with a port", a.Ops)}}
	}
	reports, err := a.fetch()
	if err != nil {
		return &exitError{exitFailed, err}
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

func (a *accounts) fetch() (*account.Reports, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(a.opts.Seconds)*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Ops+"/accounts", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAccountsBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("entry VM %s answered with status %d: %s", a.Ops, resp.StatusCode, stripControls(string(raw)))
	}
	var reports account.Reports
	if err := json.Unmarshal(raw, &reports); err != nil {
		return nil, fmt.Errorf("answer of entry VM %s: %w", a.Ops, err)
	}
	return &reports, nil
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
