package store

import "errors"

// ErrInvalid means that the service rejected the call as malformed. The call did not take effect, and a retry would
// fail again.
var ErrInvalid = errors.New("store call invalid")

// MaxTxnOps is the maximum number of operations, and of compares, in one Txn.
const MaxTxnOps = 128

// NotApplied reports whether err guarantees that the call did not take effect.
func NotApplied(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrBudget) ||
		errors.Is(err, ErrInvalid) || errors.Is(err, ErrLeaseGone)
}
