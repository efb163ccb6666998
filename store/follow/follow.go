package follow

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// Timeouts and delays of a Follower.
const (
	// DefaultListTimeout limits the time for reading all keys, which may take several pages.
	DefaultListTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the delays after a failure. The maximum is well below the two seconds in which
	// a new configuration must take effect.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Follower watches the keys under Prefix. Its callbacks run one at a time on the goroutine of Run.
type Follower struct {
	Store  *store.Store
	Prefix string
	// OnReset receives all keys at a revision; keys that are not included do not exist. It is not called for a read
	// that is older than the changes already received, so state never goes backwards.
	OnReset func(pairs []store.Pair, revision int64)
	// OnPage, if set, receives parts of what OnReset will receive, as soon as they have been read.
	OnPage func(pairs []store.Pair)
	// OnChange receives the changes since the last callback.
	OnChange func(events []store.Event, revision int64)
	// OnContact, if set, is called after each response of the store with nil, and after each failure with its error.
	OnContact func(err error)
	// OnCurrent, if set, is called after OnReset or OnChange with a time and a revision up to which they have delivered all
	// changes.
	OnCurrent func(asOf time.Time, revision int64)
	// Pause, if set, returns how long to wait after a batch of the watch with that many events, which ends at a revision. It
	// reduces the calls for a busy prefix.
	Pause  func(events int, revision int64) time.Duration
	Logger *zap.Logger
}

// Run watches the keys until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	log := f.Logger
	if log == nil {
		log = zap.NewNop()
	}
	b := retry.New(retry.Bounds(minBackoff, maxBackoff))
	var revision int64
	for ctx.Err() == nil {
		listed, newer, err := f.list(ctx, revision)
		if err == nil {
			revision = listed
			err = f.Store.Watch(ctx, f.Prefix, revision+1, func(batch store.Batch) {
				b.Reset()
				f.reportContact(nil)
				if events := dropOutdated(batch.Events, newer); len(events) > 0 {
					f.OnChange(events, batch.Revision)
				}
				revision = max(revision, batch.Revision)
				f.reportCurrent(batch.AsOf, revision)
				if len(batch.Events) > 0 && f.Pause != nil {
					retry.Sleep(ctx, f.Pause(len(batch.Events), revision))
				}
			})
		}
		if ctx.Err() != nil {
			return
		}
		f.reportContact(err)
		log.Debug("follow: watch ended; reading all keys again",
			zap.String("prefix", f.Prefix), zap.Int64("revision", revision), zap.Error(err))
		retry.Sleep(ctx, b.Next())
	}
}

func (f *Follower) reportContact(err error) {
	if f.OnContact != nil {
		f.OnContact(err)
	}
}

func (f *Follower) reportCurrent(asOf time.Time, revision int64) {
	if f.OnCurrent != nil && !asOf.IsZero() {
		f.OnCurrent(asOf, revision)
	}
}

// list reads all keys and returns the revision reached, which is never less than known, and the revisions of keys that
// are newer: several pages are not a snapshot.
func (f *Follower) list(ctx context.Context, known int64) (reached int64, newer map[string]int64, err error) {
	listCtx, cancel := context.WithTimeout(ctx, DefaultListTimeout)
	defer cancel()
	sent := time.Now()
	res, err := f.Store.Range(listCtx, store.Range{Key: f.Prefix, End: store.PrefixEnd(f.Prefix), OnPage: f.OnPage})
	if err != nil {
		return 0, nil, err
	}
	f.reportContact(nil)
	if res.Revision < known {
		return known, nil, nil
	}
	f.OnReset(res.Pairs, res.Revision)
	f.reportCurrent(sent, res.Revision)
	newer = make(map[string]int64)
	for i := range res.Pairs {
		if p := &res.Pairs[i]; p.ModRevision > res.Revision {
			newer[p.Key] = p.ModRevision
		}
	}
	return res.Revision, newer, nil
}

// dropOutdated returns the events without those of keys that were already listed at a newer revision.
func dropOutdated(events []store.Event, newer map[string]int64) []store.Event {
	if len(newer) == 0 {
		return events
	}
	return slices.DeleteFunc(slices.Clone(events), func(e store.Event) bool { return e.Pair.ModRevision <= newer[e.Pair.Key] })
}

// Puts returns the pairs written by the events, without the deleted ones.
func Puts(events []store.Event) []store.Pair {
	var out []store.Pair
	for i := range events {
		if !events[i].Deleted {
			out = append(out, events[i].Pair)
		}
	}
	return out
}
