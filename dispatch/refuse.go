package dispatch

import (
	"context"
	"time"

	"turmericgap/admission"
	"turmericgap/rpc"
	"turmericgap/store"
)

const (
	// opsPerRefusal is the number of operations of a transaction for one refused ID: two compares and a write.
	opsPerRefusal = 3
	// refusalsPerTxn is how many refusals fit into one transaction beside the compare of the owner's key.
	refusalsPerTxn = (maxTxnOps - 1) / opsPerRefusal
	// refusalLease is how long the record of a refusal lives at most, refusalLeaseUse how long new records are added to
	// the same lease. Each record outlives any creation of the work that was sent before the refusal.
	refusalLease    = time.Minute
	refusalLeaseUse = 30 * time.Second
	// refusalRepeat is how long a refused ID is refused again without a new record, refusalHold how long it is refused
	// whatever the load is: submissions that come sooner were sent before the refusal.
	refusalRepeat = 10 * time.Second
	refusalHold   = 500 * time.Millisecond
)

// refusals are the works that the owner refuses by forecast or because it has more to decide than it can. An earlier submission of the
// same work may still be on its way into the store through another VM, so a caller is told that its work never runs only
// once a record in the store excludes that.
type refusals struct {
	shedder admission.Shedder
	// pending holds the refusals that are not sent yet; open holds them and those in flight, by ID.
	pending  []*refusal
	open     map[string]*refusal
	inFlight bool
	// refusedAt is when the record of a refusal became durable, by ID; writtenAt is when one was sent, which may exist
	// even if no answer came.
	refusedAt, writtenAt map[string]time.Time
	// lease is the lease of new records, granted at leaseAt.
	lease   int64
	leaseAt time.Time
}

// refusal is an ID that is being refused, with the callers that wait for that.
type refusal struct {
	id      string
	fault   *rpc.Fault
	waiters []chan error
}

// errOverloaded returns the answer to a work that the owner has durably refused.
func errOverloaded(retryAfter time.Duration) *rpc.Fault {
	return &rpc.Fault{Code: rpc.CodeBusy, Reason: "the owner of the cell has more to decide than it can", RetryAfter: retryAfter}
}

// errRefusalUnknown is returned to a caller whose work could not be refused durably.
var errRefusalUnknown = &rpc.Fault{Code: rpc.CodeUnknown, Reason: "the owner of the cell is overloaded and could not refuse the work"}

// refuseIfNeeded refuses a new work if it could only end worthless, or if the owner has more to decide than it can. It
// returns false if the work is to be accepted.
func (t *term) refuseIfNeeded(e *entry, done chan error) bool {
	r, w := &t.refusals, e.work
	if open := r.open[w.ID]; open != nil {
		open.waiters = append(open.waiters, done)
		return true
	}
	since := time.Since(r.refusedAt[w.ID])
	if since < refusalHold {
		if left, known := t.gate.UntilReturn(w.ID, time.Now()); known {
			done <- &rpc.Fault{Code: rpc.CodeBusy, Reason: admission.ReasonRepeated, RetryAfter: left}
			return true
		}
		done <- errOverloaded(ownerRetryAfter)
		return true
	}
	fault := t.refusalByForecast(e)
	if fault == nil {
		admitted, retryAfter := r.shedder.Admit(w.Queue.Name, t.overloadDetector.RejectRatio(), t.exceedsRate(w))
		if admitted {
			return false
		}
		t.o.Metrics.Counter("dispatch.refusedOverloaded").Inc(1)
		fault = errOverloaded(retryAfter)
	}
	t.countRefused(w)
	if since < refusalRepeat {
		done <- fault
		return true
	}
	open := &refusal{id: w.ID, fault: fault, waiters: []chan error{done}}
	r.open[w.ID] = open
	r.pending = append(r.pending, open)
	return true
}

// sendRefusals writes the records of pending refusals, in one transaction at a time.
func (t *term) sendRefusals() {
	r := &t.refusals
	if r.inFlight || len(r.pending) == 0 {
		return
	}
	n := min(len(r.pending), refusalsPerTxn)
	batch := r.pending[:n:n]
	r.pending, r.inFlight = r.pending[n:], true
	for _, open := range batch {
		r.writtenAt[open.id] = time.Now()
	}
	lease, leaseAt := r.lease, r.leaseAt
	t.wg.Go(func() {
		var res store.TxnResult
		var err error
		if lease == 0 || time.Since(leaseAt) > refusalLeaseUse {
			leaseAt = time.Now()
			lease, err = t.grantRefusalLease()
		}
		if err == nil {
			res, err = t.writeRefusals(batch, lease)
		}
		t.post(func() {
			r.inFlight = false
			if err == nil {
				r.lease, r.leaseAt = lease, leaseAt
			}
			t.onRefusalsWritten(batch, &res, err)
		})
	})
}

func (t *term) grantRefusalLease() (int64, error) {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	return t.o.Store.Grant(ctx, refusalLease)
}

// writeRefusals writes records that keep the works of a batch from being created. It fails if one of them exists.
func (t *term) writeRefusals(batch []*refusal, lease int64) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	txn := store.Txn{Compares: []store.Compare{t.tenure.Compare()}}
	for _, r := range batch {
		txn.Compares = append(txn.Compares,
			store.Compare{Key: workPrefix + r.id, Target: store.ModRevision},
			store.Compare{Key: endedPrefix + r.id, Target: store.ModRevision})
		txn.Then = append(txn.Then, store.Op{Key: refusedPrefix + r.id, Value: []byte(t.tenure.Key), Lease: lease})
	}
	return t.o.Store.Txn(ctx, txn)
}

// onRefusalsWritten answers the callers of a batch of refusals.
func (t *term) onRefusalsWritten(batch []*refusal, res *store.TxnResult, err error) {
	r := &t.refusals
	var existing map[string]bool
	if err == nil && !res.Succeeded {
		existing = ExistingIDs(res.Existing)
	}
	for _, open := range batch {
		switch {
		case err == nil && res.Succeeded:
			r.refusedAt[open.id] = time.Now()
			open.answer(open.fault)
		case existing[open.id]:
			open.answer(nil) // an earlier submission has created it
		case len(existing) > 0:
			r.pending = append(r.pending, open)
			continue
		default:
			open.answer(errRefusalUnknown)
		}
		delete(r.open, open.id)
	}
}

func (r *refusal) answer(err error) {
	for _, done := range r.waiters {
		if err == nil {
			close(done)
			continue
		}
		done <- err
	}
}

// forgetRefusals drops refusals whose records have expired, also those of a write that was executed late.
func (t *term) forgetRefusals(now time.Time) {
	for id, at := range t.refusals.writtenAt {
		if now.Sub(at) > 2*refusalLease {
			delete(t.refusals.refusedAt, id)
			delete(t.refusals.writtenAt, id)
		}
	}
}
