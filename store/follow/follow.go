package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// Defaults.
const (
	// DefaultListTimeout bounds one reading of all keys, of several pages.
	DefaultListTimeout = 5 * time.Second
	// againMin and againMax bound the pauses after a failure; the longest is well below the two
	// seconds in which new configuration must be in force.
	againMin = 20 * time.Millisecond
	againMax = 500 * time.Millisecond
)

// Follower follows the keys under Prefix. Its functions run on the goroutine of Run, one at a time.
type Follower struct {
	Store  *store.Store
	Prefix string
	// OnReset gets all keys as they were at a revision; what it does not name is gone. A reading that
	// is older than what was heard already is left out, so that nothing goes back.
	OnReset func(pairs []store.Pair, revision int64)
	// OnChange gets what changed since.
	OnChange func(events []store.Event, revision int64)
	// OnContact, if set, is told after each answer of the store and after each failure.
	OnContact func(err error)
	// MinInterval is kept between two answers of the watch, so that a busy prefix costs few calls.
	MinInterval time.Duration
	Logger      *zap.Logger
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	log := f.Logger
	if log == nil {
		log = zap.NewNop()
	}
	b := retry.New(retry.Bounds(againMin, againMax))
	var at int64
	for ctx.Err() == nil {
		next, err := f.list(ctx, at)
		if err == nil {
			at = next
			err = f.Store.Watch(ctx, f.Prefix, at+1, func(batch store.Batch) {
				b.Reset()
				f.alive(nil)
				if len(batch.Events) > 0 {
					f.OnChange(batch.Events, batch.Revision)
				}
				at = max(at, batch.Revision)
				if len(batch.Events) > 0 && f.MinInterval > 0 {
					retry.Sleep(ctx, f.MinInterval)
				}
			})
		}
		if ctx.Err() != nil {
			return
		}
		f.alive(err)
		log.Debug("follow: reading anew", zap.String("prefix", f.Prefix), zap.Int64("revision", at), zap.Error(err))
		retry.Sleep(ctx, b.Next())
	}
}

func (f *Follower) alive(err error) {
	if f.OnContact != nil {
		f.OnContact(err)
	}
}

func (f *Follower) list(ctx context.Context, heard int64) (int64, error) {
	within, cancel := context.WithTimeout(ctx, DefaultListTimeout)
	defer cancel()
	res, err := f.Store.Range(within, store.Range{Key: f.Prefix, End: store.PrefixEnd(f.Prefix)})
	if err != nil {
		return 0, err
	}
	f.alive(nil)
	if res.Revision < heard {
		return heard, nil
	}
	f.OnReset(res.Pairs, res.Revision)
	return res.Revision, nil
}

// Puts gives the keys that were written by some changes, without those that were deleted.
func Puts(events []store.Event) []store.Pair {
	var out []store.Pair
	for i := range events {
		if !events[i].Deleted {
			out = append(out, events[i].Pair)
		}
	}
	return out
}
