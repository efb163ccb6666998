package dispatch

import (
	"context"
	"errors"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/job"
	"turmericgap/store"
)

// ErrNoWork means that the store holds no work of that ID.
var ErrNoWork = errors.New("no such work")

// AddCreate adds the creation of a work to a transaction, which fails where the ID was used already.
func AddCreate(txn *store.Txn, w *job.Work) {
	txn.Compares = append(txn.Compares,
		store.Compare{Key: workPrefix + w.ID, Target: store.ModRevision},
		store.Compare{Key: endedPrefix + w.ID, Target: store.ModRevision})
	txn.Then = append(txn.Then, store.Op{Key: workPrefix + w.ID, Value: encode(w)})
}

// ExistingIDs gives the IDs whose work or end is among the keys that a failed creation has found.
func ExistingIDs(found []store.Pair) map[string]bool {
	out := make(map[string]bool)
	for i := range found {
		if found[i].ModRevision == 0 {
			continue
		}
		key := found[i].Key
		if strings.HasPrefix(key, workPrefix) {
			out[workID(key, workPrefix)] = true
		}
		if strings.HasPrefix(key, endedPrefix) {
			out[workID(key, endedPrefix)] = true
		}
	}
	return out
}

// ReadState reads the state of a work from the store.
func ReadState(ctx context.Context, kv *store.Store, id string) (job.WorkState, error) {
	_, state, err := ReadWork(ctx, kv, id)
	return state, err
}

// ReadWork reads a work and its state from the store; of one that has ended only the state is left.
func ReadWork(ctx context.Context, kv *store.Store, id string) (*job.Work, job.WorkState, error) {
	// A work that ends between the readings is found by the second reading of its end.
	if end, err := readEnd(ctx, kv, id); err != nil || end != "" {
		return nil, end, err
	}
	res, err := kv.Range(ctx, store.Range{Key: workPrefix + id})
	if err != nil {
		return nil, "", err
	}
	if len(res.Pairs) == 0 {
		end, err := readEnd(ctx, kv, id)
		if err == nil && end == "" {
			err = ErrNoWork
		}
		return nil, end, err
	}
	w := &job.Work{}
	if err := msgpack.Unmarshal(res.Pairs[0].Value, w); err != nil {
		return nil, "", err
	}
	state, err := readProgress(ctx, kv, id)
	return w, state, err
}

func readEnd(ctx context.Context, kv *store.Store, id string) (job.WorkState, error) {
	res, err := kv.Range(ctx, store.Range{Key: endedPrefix + id})
	if err != nil || len(res.Pairs) == 0 {
		return "", err
	}
	var end Ended
	if err := msgpack.Unmarshal(res.Pairs[0].Value, &end); err != nil {
		return "", err
	}
	return end.State, nil
}

func readProgress(ctx context.Context, kv *store.Store, id string) (job.WorkState, error) {
	res, err := kv.Range(ctx, store.Range{Key: statePrefix + id})
	if err != nil {
		return "", err
	}
	if len(res.Pairs) == 0 {
		return job.WorkQueued, nil
	}
	var p progress
	if err := msgpack.Unmarshal(res.Pairs[0].Value, &p); err != nil {
		return "", err
	}
	if p.State.Final() {
		return p.State, nil
	}
	return job.WorkRunning, nil
}

// Probe reads whether a work is there. It serves to see whether the store answers at all.
func Probe(ctx context.Context, kv *store.Store, id string) error {
	_, err := kv.Range(ctx, store.Range{Key: workPrefix + id})
	return err
}
