package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the platform's service holds.
const MaxValueBytes = 1 << 20

// Errors whose meaning is definite. Any other error of a Txn leaves open whether it took effect:
// its caller reads, and decides by what it finds.
var (
	// ErrNotSent means that the call surely did not take effect.
	ErrNotSent = errors.New("store call not sent")
	// ErrLeaseGone means that the lease has lapsed or was revoked.
	ErrLeaseGone = errors.New("store lease gone")
	// ErrCompacted means that a watch cannot resume from its revision and must read anew.
	ErrCompacted = errors.New("store watch compacted")
	// ErrBudget means that this process's allowance of calls is spent; the call was not sent.
	ErrBudget = errors.New("store call budget spent")
)

// Pair is a key with its value and revisions.
type Pair struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Version        int64
	Lease          int64
}

// CompareTarget is what a Compare looks at.
type CompareTarget string

// The targets of a Compare.
const (
	CreateRevision CompareTarget = "CREATE"
	ModRevision    CompareTarget = "MOD"
)

// Compare holds when the key's revision equals Revision; zero stands for a key that is not there.
type Compare struct {
	Key      string
	Target   CompareTarget
	Revision int64
}

// Op puts or deletes; with End set a delete takes all keys from Key up to, but without, End.
type Op struct {
	Delete bool
	Key    string
	End    string
	Value  []byte
	Lease  int64
}

// Txn applies all of Then when every Compare holds, and nothing otherwise.
type Txn struct {
	Compares []Compare
	Then     []Op
}

// TxnResult tells whether a Txn applied and at which revision of the store.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	// Existing holds the compared keys that exist, as they stood when a Compare failed; a service may
	// leave it out.
	Existing []Pair
}

// Range asks for a key, or with End set for all keys from Key up to, but without, End.
type Range struct {
	Key   string
	End   string
	Limit int64
}

// RangeResult is one consistent reading.
type RangeResult struct {
	Pairs    []Pair
	Revision int64
	// More says that Limit cut the list; Pairs is then not the whole answer.
	More bool
}

// Event is one change of a key.
type Event struct {
	Deleted bool
	Pair    Pair
}

// Batch is all changes of one or more revisions, in order. Revision is the last one it covers.
type Batch struct {
	Revision int64
	Events   []Event
}

// Store is the platform's service as the cell uses it.
type Store struct {
	Range     func(ctx context.Context, r Range) (RangeResult, error)
	Txn       func(ctx context.Context, t Txn) (TxnResult, error)
	Grant     func(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepAlive func(ctx context.Context, lease int64) (ttl time.Duration, err error)
	Revoke    func(ctx context.Context, lease int64) error
	// Watch calls each with the changes under prefix that come at or after revision from, in
	// order and without a gap, until ctx ends or it fails; ErrCompacted asks for a new reading.
	Watch func(ctx context.Context, prefix string, from int64, each func(Batch)) error
}

// PrefixEnd gives the End that makes a Range or delete cover all keys that start with prefix.
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
