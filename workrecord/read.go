package workrecord

import (
	"context"
	"errors"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/job"
	"turmericgap/store"
)

// ErrNoWork is returned when the store holds no work with the given ID.
var ErrNoWork = errors.New("no such work")

// AddCreate adds the creation of a work to a transaction. The transaction fails if the ID was already used, or was
// refused shortly before.
func AddCreate(txn *store.Txn, w *job.Work) {
	txn.Compares = append(txn.Compares,
		store.Compare{Key: WorkPrefix + w.ID, Target: store.ModRevision},
		store.Compare{Key: EndedPrefix + w.ID, Target: store.ModRevision},
		store.Compare{Key: RefusedPrefix + w.ID, Target: store.ModRevision})
	txn.Then = append(txn.Then, store.Op{Key: WorkPrefix + w.ID, Value: Encode(w)})
}

// ExistingIDs returns the IDs whose work or record of its end is among the keys found by a failed creation.
func ExistingIDs(found []store.Pair) map[string]bool {
	out := make(map[string]bool)
	for i := range found {
		if found[i].ModRevision == 0 {
			continue
		}
		key := found[i].Key
		if strings.HasPrefix(key, WorkPrefix) {
			out[IDFromKey(key, WorkPrefix)] = true
		}
		if strings.HasPrefix(key, EndedPrefix) {
			out[IDFromKey(key, EndedPrefix)] = true
		}
	}
	return out
}

// AccountOf returns the account of a work whose key or record of its end is among the keys found by a failed creation.
func AccountOf(found []store.Pair, id string) (string, error) {
	for i := range found {
		if found[i].ModRevision == 0 {
			continue
		}
		switch found[i].Key {
		case WorkPrefix + id:
			var w job.Work
			err := msgpack.Unmarshal(found[i].Value, &w)
			return w.Account, err
		case EndedPrefix + id:
			var end Ended
			err := msgpack.Unmarshal(found[i].Value, &end)
			return end.Account, err
		}
	}
	return "", ErrNoWork
}

// RefusedIDs returns the IDs whose record of a refusal is among the keys found by a failed creation.
func RefusedIDs(found []store.Pair) map[string]bool {
	out := make(map[string]bool)
	for i := range found {
		if key := found[i].Key; found[i].ModRevision > 0 && strings.HasPrefix(key, RefusedPrefix) {
			out[IDFromKey(key, RefusedPrefix)] = true
		}
	}
	return out
}

// ReadState reads the state of a work from the store for a caller of an account.
func ReadState(ctx context.Context, kv *store.Store, id, account string) (job.WorkState, error) {
	_, state, err := ReadWork(ctx, kv, id, account)
	return state, err
}

// ReadWork reads a work and its state from the store for a caller of an account. For a work that has ended only the state
// is available. The error is ErrNoWork if there is none or it belongs to another account.
func ReadWork(ctx context.Context, kv *store.Store, id, account string) (*job.Work, job.WorkState, error) {
	// A work that ends between the reads is found by the second read of its end.
	if end, err := readEnd(ctx, kv, id, account); err != nil || end != "" {
		return nil, end, err
	}
	res, err := kv.Range(ctx, store.Range{Key: WorkPrefix + id})
	if err != nil {
		return nil, "", err
	}
	if len(res.Pairs) == 0 {
		end, err := readEnd(ctx, kv, id, account)
		if err == nil && end == "" {
			err = ErrNoWork
		}
		return nil, end, err
	}
	w := &job.Work{}
	if err := msgpack.Unmarshal(res.Pairs[0].Value, w); err != nil {
		return nil, "", err
	}
	if !w.VisibleTo(account) {
		return nil, "", ErrNoWork
	}
	state, err := readProgress(ctx, kv, id)
	return w, state, err
}

func readEnd(ctx context.Context, kv *store.Store, id, account string) (job.WorkState, error) {
	res, err := kv.Range(ctx, store.Range{Key: EndedPrefix + id})
	if err != nil || len(res.Pairs) == 0 {
		return "", err
	}
	var end Ended
	if err := msgpack.Unmarshal(res.Pairs[0].Value, &end); err != nil {
		return "", err
	}
	if !job.IsVisible(end.Account, account) {
		return "", ErrNoWork
	}
	return end.State, nil
}

func readProgress(ctx context.Context, kv *store.Store, id string) (job.WorkState, error) {
	res, err := kv.Range(ctx, store.Range{Key: StatePrefix + id})
	if err != nil {
		return "", err
	}
	if len(res.Pairs) == 0 {
		return job.WorkQueued, nil
	}
	var p Progress
	if err := msgpack.Unmarshal(res.Pairs[0].Value, &p); err != nil {
		return "", err
	}
	if p.State.Final() {
		return p.State, nil
	}
	return job.WorkRunning, nil
}

// Probe reads the key of a work to check whether the store answers.
func Probe(ctx context.Context, kv *store.Store, id string) error {
	_, err := kv.Range(ctx, store.Range{Key: WorkPrefix + id})
	return err
}
