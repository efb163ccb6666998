package dispatch

import (
	"turmericgap/account"
	"turmericgap/job"
)

// accounts is what the term knows about client accounts.
type accounts struct {
	// byName indexes the accounts of the configuration.
	byName map[string]*job.Account
	// ledger holds what the runs of each account are charged for, and the caps.
	ledger *account.Ledger
	// capHolders holds, by account, the gang that keeps a part of its account's cap until it has started.
	capHolders map[string]*capHolder
	// rates counts the submissions of each account, shares what was started for it.
	rates  *account.Rates
	shares *account.Shares
	// refused counts the refused submissions of each account.
	refused map[string]int
}

func newAccounts(capOverrun float64) accounts {
	return accounts{
		byName: make(map[string]*job.Account), ledger: account.NewLedger(capOverrun), capHolders: make(map[string]*capHolder),
		rates: account.NewRates(), shares: account.NewShares(), refused: make(map[string]int),
	}
}

// applyAccounts applies the accounts and caps of the newest configuration. Runs of an account that is above its new cap
// go on; nothing new starts until enough of them have ended.
func (t *term) applyAccounts() {
	if t.config != nil {
		t.accounts.ledger.SetCaps(t.config.Accounts)
		clear(t.accounts.byName)
		for i := range t.config.Accounts {
			t.accounts.byName[t.config.Accounts[i].Name] = &t.config.Accounts[i]
		}
	}
	t.passNeeded = true
}

// applyAccount gives an entry the weight of its account.
func (t *term) applyAccount(e *entry) {
	if a := t.accountOf(e.work.Account); a != nil {
		e.weight = a.Weight
	}
}

// exceedsRate reports whether a work that is not accepted yet would exceed the rate of its account.
func (t *term) exceedsRate(w *job.Work) bool {
	a := t.accountOf(w.Account)
	return a != nil && t.accounts.rates.IsUsedUp(a.Name, a.Weight, w.Accepted)
}

// accountOf returns an account of the newest configuration, or nil.
func (t *term) accountOf(name string) *job.Account {
	if t.config == nil || name == "" {
		return nil
	}
	return t.accounts.byName[name]
}
