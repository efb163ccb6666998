package account

import "time"

const (
	// holdLimit is how long a gang may keep a part of its account's cap although the cap is not what it waits for, or is
	// less than half used. Otherwise a gang that finds no room or no permits would stop all works of its account.
	holdLimit = 2 * time.Second
	// holdPause is how long other works of the account may start then.
	holdPause = 500 * time.Millisecond
)

// Holder limits how long a gang that was blocked by the cap of its account holds its part of the cap.
type Holder struct {
	// idleSince is when the cap began to be less than half used, or large enough for the gang; zero while it is not.
	idleSince time.Time
	// pausedUntil is when the gang may hold its part again.
	pausedUntil time.Time
}

// Hold lets the gang hold its part of the cap unless it has held it in vain for too long.
func (h *Holder) Hold(l *Ledger, need *Need, now time.Time) {
	switch idle := l.IsHalfFree(need.Account) || l.FitsGang(need); {
	case !idle:
		h.idleSince = time.Time{}
	case h.idleSince.IsZero():
		h.idleSince = now
	case now.Sub(h.idleSince) > holdLimit:
		h.idleSince, h.pausedUntil = time.Time{}, now.Add(holdPause)
	}
	if !now.Before(h.pausedUntil) {
		l.Hold(need)
	}
}
