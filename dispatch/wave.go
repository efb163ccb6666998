package dispatch

import (
	"bytes"
	"context"
	"maps"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/maintenance"
	"turmericgap/store"
	"turmericgap/store/retry"
	"turmericgap/workrecord"
)

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	Begun map[string]bool `msgpack:"b"`
}

// followWaves watches for new waves.
func (t *term) followWaves() {
	onPairs := func(pairs []store.Pair) {
		for i := range pairs {
			w, err := t.o.Waves.Decode(pairs[i].Key, pairs[i].Value)
			if err != nil {
				t.log.Error("dispatch: wave of upkeep cannot be decoded", zap.String("key", pairs[i].Key), zap.Error(err))
				continue
			}
			t.post(func() { t.openWave(w) })
		}
	}
	t.followWritten(t.o.Waves.Prefix, onPairs)
}

// openWave begins a wave, or continues one that a former owner began.
func (t *term) openWave(m maintenance.Wave) {
	if t.maintenance.waves == nil {
		t.maintenance.waves = make(map[int64]*maintenance.Progress)
	}
	if t.maintenance.waves[m.Number] != nil {
		return
	}
	w := maintenance.NewProgress(m)
	t.maintenance.waves[m.Number] = w
	t.log.Info("dispatch: wave of upkeep", zap.Int64("wave", m.Number), zap.Int("vms", len(m.VMs)), zap.Duration("within", m.TimeLimit), zap.Int("most", m.MaxUnavailable))
	t.wg.Go(func() { t.readWave(w) })
}

func waveKey(w *maintenance.Progress) string {
	return workrecord.WavePrefix + strconv.FormatInt(w.Number, 10)
}

// readWave reads the record of former owners for a wave, and whether they completed it.
func (t *term) readWave(w *maintenance.Progress) {
	record, err := t.readKey(waveKey(w))
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
			t.log.Error("dispatch: record of the wave cannot be decoded", zap.Int64("wave", w.Number), zap.Error(err))
		}
	}
	t.post(func() {
		maps.Copy(w.Begun, r.Begun)
		w.Loaded, w.Completed = true, bytes.Equal(status, completed)
		if status == nil {
			key, value := t.o.Waves.Status(w.Number, false)
			t.writeAsync(w, key, value)
		}
	})
}

// readKey reads a key, retrying until the store answers. It returns nil if the key does not exist, and an error only if
// the term has ended.
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

// recordWave stores which VMs have begun their maintenance. A successor that misses one drains that VM again and
// repeats the order, which has no effect if it was carried out.
func (t *term) recordWave(w *maintenance.Progress) {
	t.writeAsync(w, waveKey(w), workrecord.Encode(&waveRecord{Begun: w.Begun}))
}

// writeAsync writes a record of a wave that may be out of date for a while.
func (t *term) writeAsync(w *maintenance.Progress, key string, value []byte) {
	t.wg.Go(func() {
		if err := t.writeAsOwner(key, value); err != nil {
			t.log.Info("dispatch: record of the wave could not be written", zap.Int64("wave", w.Number), zap.String("key", key), zap.Error(err))
		}
	})
}

// writeAsOwner writes a record on condition that this VM owns the cell.
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
