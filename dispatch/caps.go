package dispatch

import (
	"fmt"
	"time"

	"turmericgap/account"
	"turmericgap/job"
)

// capNeed returns what the stage needs of the cap of its account.
func (s *stage) capNeed() account.Need {
	return account.Need{
		Account: s.entry.work.Account, Task: s.spec.TaskResources, Tasks: len(s.tasks), Priority: s.entry.priority(),
	}
}

// accountAllows reports whether the cap of its account leaves room for a task of the stage, or for all tasks of a gang.
// A stage that waits for its cap takes no permits and no capacity from other accounts.
func (t *term) accountAllows(s *stage, now time.Time) bool {
	need := s.capNeed()
	switch {
	case need.Account == "":
		return true
	case t.config == nil:
		return false // a new owner may start something only once it knows the caps
	case !s.spec.Gang:
		return t.accounts.ledger.Fit(&need) > 0
	}
	holder := t.accounts.capHolders[need.Account]
	if holder != nil && holder.gang == s {
		t.accounts.ledger.Unhold(need.Account)
		defer t.holdCap(holder, now)
	}
	allowed := t.accounts.ledger.FitsGang(&need)
	if !allowed {
		s.waitReason = gangWaitCap
		if holder == nil && t.accounts.ledger.FitsEver(&need) {
			t.accounts.capHolders[need.Account] = &capHolder{gang: s}
		}
	}
	return allowed
}

// capHolder is a gang that was blocked by the cap of its account and keeps its part of the cap until it has started.
type capHolder struct {
	account.Holder
	gang *stage
}

// holdCaps lets each gang that was blocked by the cap of its account hold its part of the cap. Otherwise single tasks that
// are more urgent, or that come later, would take whatever becomes free below the cap. A gang whose result would be worth
// nothing holds no part.
func (t *term) holdCaps(now time.Time) {
	t.accounts.ledger.ClearHolds()
	for name, h := range t.accounts.capHolders {
		if _, waits := t.waitingStages[h.gang]; !waits || now.After(h.gang.occurrence.expiry(h.gang.entry)) {
			delete(t.accounts.capHolders, name)
			continue
		}
		t.holdCap(h, now)
	}
}

// holdCap lets a gang hold its part of the cap unless it has held it in vain for too long.
func (t *term) holdCap(h *capHolder, now time.Time) {
	need := h.gang.capNeed()
	h.Hold(t.accounts.ledger, &need, now)
}

// dropHold ends the hold of a gang that has started.
func (t *term) dropHold(s *stage) {
	name := s.entry.work.Account
	if h := t.accounts.capHolders[name]; h != nil && h.gang == s {
		delete(t.accounts.capHolders, name)
		t.accounts.ledger.Unhold(name)
	}
}

// exceedsCapReason returns why a work can never run under the cap of its account, or "" if it can.
func (t *term) exceedsCapReason(w *job.Work) string {
	for i := range w.Steps {
		s := &w.Steps[i]
		if !s.Gang || t.accounts.ledger.FitsEver(&account.Need{Account: w.Account, Task: s.TaskResources, Tasks: s.Tasks}) {
			continue
		}
		_, _, limit := t.accounts.ledger.Running(w.Account)
		return fmt.Sprintf("step %d needs %d tasks at the same time, more than the cap of its account allows (%d millicores, %d MB)",
			i, s.Tasks, limit.Millicores, limit.MemoryMB)
	}
	return ""
}
