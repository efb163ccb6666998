package account

import (
	"context"
	"time"

	"turmericgap/job"
	"turmericgap/rpc"
)

const (
	// ConfirmedWithin is how old a view may be for a key that it does not contain to be rejected as unknown. A key that
	// was added later is not in force yet.
	ConfirmedWithin = 500 * time.Millisecond
	// unconfirmedRetryAfter is when a caller may retry after a VM could not confirm its view; another VM may know more.
	unconfirmedRetryAfter = time.Second
)

// View is a version of the accounts as one VM knows it.
type View struct {
	Config   *job.Config
	Accounts *Directory
	// ConfirmedAt is the time as of which the view was known to be the newest version.
	ConfirmedAt time.Time
	// AppliedAt is when the version came into force on this VM.
	AppliedAt time.Time
}

// Authenticator finds the accounts of callers by their API keys.
//
// A VM may not know that its view is old. It therefore rejects a key only if the view was confirmed just now, and asks
// for a confirmation otherwise: the key may have been added since.
type Authenticator struct {
	// View returns the newest view, whose Config is nil while there is none.
	View func() View
	// Refresh asks the store or other VMs for a newer version, and returns once the view was confirmed or that failed.
	Refresh func(ctx context.Context)
	// ChangeWithin is how long after its arrival a request may be decided by a version that has come into force since; zero
	// means that it may wait as long as it likes. A request that arrives meanwhile is decided by the earlier version: to the
	// callers, the VM would seem to go back to it.
	ChangeWithin time.Duration
	// MaxAge is how old a view may be for its keys to be accepted; zero means that it may have any age, so that an
	// availability zone that is cut off serves on.
	MaxAge time.Duration
}

// Queue returns the queue of a request that arrived at that time, and the view in which it was found. The error is a Fault
// with CodeNotFound if no queue matches, and with CodeRefused if this VM cannot tell.
func (a *Authenticator) Queue(ctx context.Context, arrived time.Time, host, path string) (*job.Queue, View, error) {
	v := a.View()
	if v.Config == nil {
		return nil, v, rpc.Refused(unconfirmedRetryAfter, "this entry VM has no configuration yet")
	}
	if q := v.Config.MatchQueue(host, path); q != nil {
		return q, v, nil
	}
	v, confirmed := a.confirm(ctx, ConfirmedWithin)
	if a.cameTooLate(&v, arrived) {
		return nil, v, errChanged(&v)
	}
	if q := v.Config.MatchQueue(host, path); q != nil {
		return q, v, nil
	}
	if !confirmed {
		return nil, v, errUnconfirmed(&v)
	}
	return nil, v, &rpc.Fault{Code: rpc.CodeNotFound, Reason: "no such queue"}
}

// Account returns the name of the account that the caller of a request acts for, which is empty for a public queue. The
// request arrived at that time. The error is a Fault with CodeDenied if the key is missing or unknown, and with CodeRefused
// if this VM cannot tell.
func (a *Authenticator) Account(ctx context.Context, arrived time.Time, q *job.Queue, key string) (string, error) {
	if q.Public {
		return "", nil
	}
	v := a.View()
	if found := v.Accounts.ByKey(key); found != nil && !a.isTooOld(&v) {
		return found.Name, nil
	}
	if key == "" {
		return "", errDenied("the call carries no API key")
	}
	limit := ConfirmedWithin
	if a.MaxAge > 0 {
		limit = min(limit, a.MaxAge)
	}
	v, confirmed := a.confirm(ctx, limit)
	found := v.Accounts.ByKey(key)
	switch {
	case a.cameTooLate(&v, arrived):
		return "", errChanged(&v)
	case found != nil && !a.isTooOld(&v):
		return found.Name, nil
	case !confirmed:
		return "", errUnconfirmed(&v)
	}
	return "", errDenied("the API key is unknown")
}

// isTooOld reports whether keys of the view may have been removed too long ago.
func (a *Authenticator) isTooOld(v *View) bool {
	return a.MaxAge > 0 && time.Since(v.ConfirmedAt) > a.MaxAge
}

// cameTooLate reports whether the version came into force too long after a request arrived to decide it.
func (a *Authenticator) cameTooLate(v *View, arrived time.Time) bool {
	return a.ChangeWithin > 0 && v.AppliedAt.Sub(arrived) > a.ChangeWithin
}

// confirm returns the newest view, and whether it was confirmed within a time.
func (a *Authenticator) confirm(ctx context.Context, within time.Duration) (View, bool) {
	v := a.View()
	if time.Since(v.ConfirmedAt) > within {
		a.Refresh(ctx)
		v = a.View()
	}
	return v, time.Since(v.ConfirmedAt) <= within
}

func errDenied(reason string) error { return &rpc.Fault{Code: rpc.CodeDenied, Reason: reason} }

func errChanged(v *View) error {
	return rpc.Refused(unconfirmedRetryAfter, "version %d of the configuration came into force while the request waited", v.Config.Version)
}

func errUnconfirmed(v *View) error {
	return rpc.Refused(unconfirmedRetryAfter, "this entry VM last confirmed version %d of the configuration %v ago",
		v.Config.Version, time.Since(v.ConfirmedAt).Round(time.Millisecond))
}
