package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
)

// Guards against a change that is older than the listed key: a list of several pages is no snapshot, so a key may have
// been removed and written again since the revision from which the watch reports. The key must not seem to be removed.
func TestListNewerThanWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		put := func(key string, revision int64) store.Event {
			return store.Event{Pair: store.Pair{Key: key, ModRevision: revision}}
		}
		removal := func(key string, revision int64) store.Event {
			return store.Event{Deleted: true, Pair: store.Pair{Key: key, ModRevision: revision}}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var removed []int64
		present := make(map[string]int64)
		f := &Follower{
			Prefix: "k/",
			Store: &store.Store{
				Range: func(context.Context, store.Range) (store.RangeResult, error) {
					return store.RangeResult{Revision: 5, Pairs: []store.Pair{{Key: "k/a", ModRevision: 3}, {Key: "k/b", ModRevision: 8}}}, nil
				},
				Watch: func(ctx context.Context, _ string, from int64, each func(store.Batch)) error {
					is.Equal(from, int64(6))
					each(store.Batch{Revision: 7, Events: []store.Event{removal("k/b", 6), put("k/c", 7)}})
					each(store.Batch{Revision: 8, Events: []store.Event{put("k/b", 8)}})
					each(store.Batch{Revision: 10, Events: []store.Event{removal("k/a", 9), removal("k/b", 10)}})
					<-ctx.Done()
					return ctx.Err()
				},
			},
			OnReset: func(pairs []store.Pair, _ int64) {
				for _, p := range pairs {
					present[p.Key] = p.ModRevision
				}
			},
			OnChange: func(events []store.Event, _ int64) {
				for _, e := range events {
					if e.Deleted {
						removed = append(removed, e.Pair.ModRevision)
						delete(present, e.Pair.Key)
						continue
					}
					present[e.Pair.Key] = e.Pair.ModRevision
				}
			},
		}
		f.Run(ctx)
		is.Equal(removed, []int64{9, 10})
		is.Equal(present, map[string]int64{"k/c": 7})
	})
}
