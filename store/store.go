package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the maximum size of a value in the platform's service.
const MaxValueBytes = 1 << 20

// Errors with a definite meaning. After any other error of a Txn it is unknown whether the Txn took effect; the caller
// has to read the keys to find out.
var (
	// ErrNotSent means that the call did not take effect, because it was not sent.
	ErrNotSent = errors.New("store call not sent")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = errors.New("store lease gone")
	// ErrCompacted means that a watch cannot resume from its revision; the caller must read the keys again.
	ErrCompacted = errors.New("store watch compacted")
	// ErrBudget means that the call was not sent, because this process's call budget is exhausted.
	ErrBudget = errors.New("store call budget spent")
)

// Pair is a key with its value, revisions and lease.
type Pair struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          int64
}

// CompareTarget is the field that a Compare checks.
type CompareTarget string

// Targets of a Compare.
const (
	CreateRevision CompareTarget = "CREATE"
	ModRevision    CompareTarget = "MOD"
)

// Compare succeeds if the key's revision equals Revision; a missing key has revision zero.
type Compare struct {
	Key      string
	Target   CompareTarget
	Revision int64
}

// Op is a put or a delete. A delete with End set deletes the keys in [Key, End).
type Op struct {
	Delete bool
	Key    string
	End    string
	Value  []byte
	Lease  int64
}

// Txn applies all operations in Then if every Compare succeeds, and none otherwise.
type Txn struct {
	Compares []Compare
	Then     []Op
}

// TxnResult reports whether a Txn was applied, and the store's revision.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	// Existing holds those of the compared keys that existed when a Compare failed. Some services do not return it.
	Existing []Pair
}

// Range requests a single key, or with End set the keys in [Key, End).
type Range struct {
	Key   string
	End   string
	Limit int64
	// ChangedSince, if positive, omits the keys that have not changed after this revision. So a caller that knows them
	// learns of changes without their values.
	ChangedSince int64
	// OnPage, if set, receives the pairs of each page before the next one is read, where a service answers in pages. They
	// are part of the result as well.
	OnPage func(pairs []Pair)
}

// RangeResult is a consistent read at one revision.
type RangeResult struct {
	Pairs    []Pair
	Revision int64
	// More reports whether further keys exist beyond Limit.
	More bool
}

// Event is a change of a key.
type Event struct {
	Deleted bool
	Pair    Pair
}

// Batch holds all changes of one or more revisions, in order. Revision is the last revision it covers.
type Batch struct {
	Revision int64
	Events   []Event
	// AsOf is a time up to which the batches are complete, by this process's clock; zero if unknown.
	AsOf time.Time
}

// Store holds the operations of the key-value service that the cell uses.
type Store struct {
	Range     func(ctx context.Context, r Range) (RangeResult, error)
	Txn       func(ctx context.Context, t Txn) (TxnResult, error)
	Grant     func(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepAlive func(ctx context.Context, lease int64) (ttl time.Duration, err error)
	Revoke    func(ctx context.Context, lease int64) error
	// Watch calls each with the changes under prefix at or after revision from, in order and without gaps, until ctx
	// ends or the watch fails. After ErrCompacted the caller must read the keys again.
	Watch func(ctx context.Context, prefix string, from int64, each func(Batch)) error
}

// PrefixEnd returns the End for a Range or delete of all keys that start with prefix.
func PrefixEnd(prefix string) string {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}
