package refusal

import (
	"context"
	"time"

	"turmericgap/store"
)

const (
	// Lease is how long a record lives at most, leaseUse how long new records are added to the same lease. Each record
	// outlives any creation of the work that was sent before the refusal.
	Lease    = time.Minute
	leaseUse = 30 * time.Second
	// OpsPerRecord is the number of operations of a transaction for one record: two compares and a write.
	OpsPerRecord = 3
)

// Record is the record of one refused work.
type Record struct {
	// Key is the record's key, Absent the keys that must not exist: those of the work and of its end.
	Key    string
	Absent [2]string
}

// Recorder writes records on condition that its owner still owns the cell. It is used by one goroutine at a time.
type Recorder struct {
	store   *store.Store
	owner   store.Compare
	timeout time.Duration
	// lease is the lease of new records, granted at leaseAt; zero before the first one.
	lease   int64
	leaseAt time.Time
}

// NewRecorder returns a Recorder for the tenure of an owner; the timeout bounds each call to the store.
func NewRecorder(s *store.Store, owner store.Compare, timeout time.Duration) *Recorder {
	return &Recorder{store: s, owner: owner, timeout: timeout}
}

// Write writes records in one transaction, which does not succeed if any of the works exists or has ended.
func (r *Recorder) Write(ctx context.Context, records []Record) (store.TxnResult, error) {
	if r.lease == 0 || time.Since(r.leaseAt) > leaseUse {
		if err := r.grant(ctx); err != nil {
			return store.TxnResult{}, err
		}
	}
	txn := store.Txn{Compares: []store.Compare{r.owner}}
	for _, record := range records {
		for _, key := range record.Absent {
			txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.ModRevision})
		}
		txn.Then = append(txn.Then, store.Op{Key: record.Key, Value: []byte(r.owner.Key), Lease: r.lease})
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	res, err := r.store.Txn(ctx, txn)
	if err != nil {
		r.lease = 0 // the store may not know the lease any more
	}
	return res, err
}

func (r *Recorder) grant(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	at := time.Now()
	lease, err := r.store.Grant(ctx, Lease)
	if err == nil {
		r.lease, r.leaseAt = lease, at
	}
	return err
}
