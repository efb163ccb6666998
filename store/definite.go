package store

import "errors"

// ErrInvalid means that the service refused the call for its form; it did not take effect, and
// sending it again is no use.
var ErrInvalid = errors.New("store call invalid")

// MaxTxnOps is the largest number of operations, and of compares, in one Txn.
const MaxTxnOps = 128

// NotApplied reports whether err tells that the call surely did not take effect.
func NotApplied(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrBudget) || errors.Is(err, ErrInvalid) || errors.Is(err, ErrLeaseGone)
}
