package dispatch

import (
	"bytes"
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/maintenance"
	"turmericgap/store"
	"turmericgap/store/retry"
)

// wave is an open wave.
type wave struct {
	maintenance.Wave
	// since is when this owner first heard of it.
	since time.Time
	// begun holds the VMs whose upkeep has begun.
	begun map[string]bool
	// answeredAt is when this owner's order for a VM was answered.
	answeredAt map[string]time.Time
	// draining holds those that are being emptied, since when.
	draining map[string]time.Time
	// orderPending holds those whose order is under way.
	orderPending map[string]bool
	// loaded says that what former owners have recorded was read, completionSaved that its end is recorded.
	loaded, completionSaved bool
}

// waveRecord is the durable form of how far a wave is.
type waveRecord struct {
	Begun map[string]bool `msgpack:"b"`
}

// followWaves hears of waves.
func (t *term) followWaves() {
	take := func(pairs []store.Pair) {
		for i := range pairs {
			w, err := t.o.Waves.Decode(pairs[i].Key, pairs[i].Value)
			if err != nil {
				t.log.Error("dispatch: a wave of upkeep cannot be read", zap.String("key", pairs[i].Key), zap.Error(err))
				continue
			}
			t.post(func() { t.openWave(w) })
		}
	}
	t.followWritten(t.o.Waves.Prefix, take)
}

// openWave begins a wave, or goes on with one that a former owner began.
func (t *term) openWave(m maintenance.Wave) {
	if t.upkeep.waves == nil {
		t.upkeep.waves = make(map[int64]*wave)
	}
	if t.upkeep.waves[m.Number] != nil {
		return
	}
	w := &wave{
		Wave: m, since: time.Now(), begun: make(map[string]bool), draining: make(map[string]time.Time), orderPending: make(map[string]bool),
		answeredAt: make(map[string]time.Time),
	}
	t.upkeep.waves[m.Number] = w
	t.log.Info("dispatch: wave of upkeep", zap.Int64("wave", m.Number), zap.Int("vms", len(m.VMs)), zap.Duration("within", m.TimeLimit), zap.Int("most", m.MaxUnavailable))
	t.wg.Go(func() { t.readWave(w) })
}

func (w *wave) key() string { return wavePrefix + strconv.FormatInt(w.Number, 10) }

// readWave reads what former owners have recorded of a wave, and whether they have completed it.
func (t *term) readWave(w *wave) {
	record, err := t.readKey(w.key())
	if err != nil {
		return // the term has ended
	}
	statusKey, completed := t.o.Waves.Status(w.Number, true)
	status, err := t.readKey(statusKey)
	if err != nil {
		return
	}
	var r waveRecord
	if record != nil {
		if err := msgpack.Unmarshal(record, &r); err != nil {
			t.log.Error("dispatch: the record of a wave cannot be read", zap.Int64("wave", w.Number), zap.Error(err))
		}
	}
	t.post(func() {
		maps.Copy(w.begun, r.Begun)
		w.loaded, w.completionSaved = true, bytes.Equal(status, completed)
		if status == nil {
			key, value := t.o.Waves.Status(w.Number, false)
			t.writeInBackground(w, key, value)
		}
	})
}

// readKey reads a key until the store answers, nil where there is none; an error means that the term has ended.
func (t *term) readKey(key string) ([]byte, error) {
	res, err := retry.Read(t.ctx, func(ctx context.Context) (store.RangeResult, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return t.o.Store.Range(ctx, store.Range{Key: key})
	}, retry.Bounds(commitRetryMin, commitRetryMax))
	if err != nil || len(res.Pairs) == 0 {
		return nil, err
	}
	return res.Pairs[0].Value, nil
}

// recordWave makes durable which VMs have begun. A successor that does not know of one clears it again and
// repeats the order, which changes nothing where it was done.
func (t *term) recordWave(w *wave) {
	t.writeInBackground(w, w.key(), encode(&waveRecord{Begun: w.begun}))
}

// writeInBackground writes something of a wave that may be behind for a while.
func (t *term) writeInBackground(w *wave, key string, value []byte) {
	t.wg.Go(func() {
		if err := t.writeAsOwner(key, value); err != nil {
			t.log.Info("dispatch: the record of a wave is behind", zap.Int64("wave", w.Number), zap.String("key", key), zap.Error(err))
		}
	})
}

// writeAsOwner writes a record under the condition that this VM owns the cell.
func (t *term) writeAsOwner(key string, value []byte) error {
	ctx, cancel := context.WithTimeout(t.ctx, storeTimeout)
	defer cancel()
	res, err := t.o.Store.Txn(ctx, store.Txn{Compares: []store.Compare{t.tenure.Compare()}, Then: []store.Op{{Key: key, Value: value}}})
	switch {
	case err != nil:
		return err
	case !res.Succeeded:
		return errTermClosed
	}
	return nil
}
