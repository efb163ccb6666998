package dispatch

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/admission"
	"turmericgap/job"
	"turmericgap/refusal"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/workrecord"
)

const (
	// refusalsPerTxn is how many refusals fit into one transaction beside the compare of the owner's key.
	refusalsPerTxn = (maxTxnOps - 1) / refusal.OpsPerRecord
	// refusalRepeat is how long a refused ID is refused again without a new record, refusalHold how long it is refused
	// whatever the load is: submissions that come sooner were sent before the refusal.
	refusalRepeat = 10 * time.Second
	refusalHold   = 500 * time.Millisecond
)

// refusals are the works that the owner refuses by forecast or because it has more to decide than it can. An earlier
// submission of the same work may still be on its way into the store through another VM, so a caller is told that its
// work never runs only once a record in the store excludes that.
type refusals struct {
	shedder  admission.Shedder
	recorder *refusal.Recorder
	// pending holds the refusals that are not sent yet; open holds them and those in flight, by ID.
	pending  []*openRefusal
	open     map[string]*openRefusal
	inFlight bool
	// refusedAt is when the record of a refusal became durable, by ID; writtenAt is when one was sent, which may exist
	// even if no answer came.
	refusedAt, writtenAt map[string]time.Time
}

// openRefusal is an ID that is being refused, with the callers that wait for that.
type openRefusal struct {
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
	fault := t.refusalForMemory(w)
	if fault == nil {
		fault = t.refusalByForecast(e)
	}
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
	open := &openRefusal{id: w.ID, fault: fault, waiters: []chan error{done}}
	r.open[w.ID] = open
	r.pending = append(r.pending, open)
	return true
}

// refusalForMemory returns the refusal of a new work that the owner has no memory for beside the open ones, or nil.
func (t *term) refusalForMemory(w *job.Work) *rpc.Fault {
	bytes := workrecord.MemoryBytes(w)
	if t.memory.Admits(bytes) {
		return nil
	}
	t.log.Info("dispatch: refused for memory", zap.String("id", w.ID), zap.Int64("bytes", bytes), zap.Int64("held", t.memory.Held()), zap.Int64("limit", t.memory.Limit))
	t.o.Metrics.Counter("dispatch.refusedForMemory").Inc(1)
	return &rpc.Fault{Code: rpc.CodeBusy, Reason: "open works hold all memory of the cell's owner for them", RetryAfter: ownerRetryAfter}
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
	records := make([]refusal.Record, 0, n)
	for _, open := range batch {
		r.writtenAt[open.id] = time.Now()
		records = append(records, refusal.Record{Key: workrecord.RefusedPrefix + open.id, Absent: [2]string{workrecord.WorkPrefix + open.id, workrecord.EndedPrefix + open.id}})
	}
	t.wg.Go(func() {
		res, err := r.recorder.Write(t.ctx, records)
		t.post(func() {
			r.inFlight = false
			t.onRefusalsWritten(batch, &res, err)
		})
	})
}

// onRefusalsWritten answers the callers of a batch of refusals.
func (t *term) onRefusalsWritten(batch []*openRefusal, res *store.TxnResult, err error) {
	r := &t.refusals
	var existing map[string]bool
	if err == nil && !res.Succeeded {
		existing = workrecord.ExistingIDs(res.Existing)
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

func (r *openRefusal) answer(err error) {
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
		if now.Sub(at) > 2*refusal.Lease {
			delete(t.refusals.refusedAt, id)
			delete(t.refusals.writtenAt, id)
		}
	}
}
