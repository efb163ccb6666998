package dispatch

import (
	"context"

	"go.uber.org/zap"

	"turmericgap/account"
	"turmericgap/job"
)

// Accounts reports on all accounts that are configured or have tasks or waiting steps.
func (d *Dispatcher) Accounts(ctx context.Context) (*account.Reports, error) {
	t, err := d.currentTerm()
	if err != nil {
		return nil, err
	}
	return callLoop(ctx, t, func() *account.Reports {
		return &account.Reports{Version: t.configVersion(), Accounts: t.accountReports()}
	})
}

func (t *term) accountReports() []account.Report {
	t.refreshCapacities()
	var steps []account.WaitingStep
	for s := range t.waitingStages {
		steps = append(steps, account.WaitingStep{Account: s.entry.work.Account, ForCap: s.waitsForCap, Surplus: s.entry.surplus})
	}
	return account.MakeReports(t.accounts.ledger, t.accounts.byName, t.accounts.refused, steps, t.totalMillicores)
}

// maxLoggedAccounts limits the accounts in the log of one second.
const maxLoggedAccounts = 20

// logAccounts logs the accounts with waiting steps.
func (t *term) logAccounts() {
	if len(t.accounts.byName) == 0 {
		return
	}
	logged := 0
	for _, r := range t.accountReports() {
		if r.Waiting == 0 || logged == maxLoggedAccounts {
			continue
		}
		logged++
		t.log.Info("dispatch: account waits", zap.String("account", r.Name), zap.Int("waitingSteps", r.Waiting),
			zap.Int("waitingForCap", r.WaitingForCap), zap.Int("surplusSteps", r.Surplus), zap.Int("runs", r.Runs),
			zap.Int64("runningMillicores", r.Running.Millicores), zap.Int64("capMillicores", r.Cap.Millicores),
			zap.Int64("runningMegabytes", r.Running.MemoryMB), zap.Int64("capMegabytes", r.Cap.MemoryMB),
			zap.Int64("version", t.configVersion()))
	}
}

// countRefused counts a refused submission of a configured account.
func (t *term) countRefused(w *job.Work) {
	if t.accountOf(w.Account) != nil {
		t.accounts.refused[w.Account]++
	}
}
