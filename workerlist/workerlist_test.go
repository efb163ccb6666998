package workerlist

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/metric"
	"turmericgap/store"
	"turmericgap/store/health"
	"turmericgap/worker"
)

const (
	prefix     = "workers/"
	heartbeat  = 3 * time.Second
	duration   = 12 * time.Second
	latency    = 4 * time.Millisecond
	mostEvents = 350 // a response of the watch holds no more
)

// log is a store of which only the changes of the workers are of interest.
type log struct {
	mu       sync.Mutex
	revision int64
	events   []store.Event
	calls    int
}

func (l *log) write(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.events = append(l.events, store.Event{Pair: store.Pair{Key: key, Value: []byte(value), ModRevision: l.revision}})
}

// read returns the changes of one response to a watch.
func (l *log) read(from int64) []store.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, _ := slices.BinarySearchFunc(l.events, from, func(e store.Event, r int64) int { return cmp.Compare(e.Pair.ModRevision, r) })
	events := slices.Clone(l.events[at:min(len(l.events), at+mostEvents)])
	if len(events) > 0 {
		l.calls++ // the store holds a watch until there are changes
	}
	return events
}

func (l *log) store() *store.Store {
	return &store.Store{
		Range: func(context.Context, store.Range) (store.RangeResult, error) {
			time.Sleep(latency)
			l.mu.Lock()
			defer l.mu.Unlock()
			latest := make(map[string]store.Pair)
			for i := range l.events {
				latest[l.events[i].Pair.Key] = l.events[i].Pair
			}
			res := store.RangeResult{Revision: l.revision}
			for _, p := range latest {
				res.Pairs = append(res.Pairs, p)
			}
			return res, nil
		},
		Watch: func(ctx context.Context, _ string, from int64, each func(store.Batch)) error {
			for ctx.Err() == nil {
				time.Sleep(latency)
				sent := time.Now()
				events := l.read(from)
				if len(events) == 0 {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				b := store.Batch{Revision: events[len(events)-1].Pair.ModRevision, Events: events, AsOf: sent}
				each(b)
				from = b.Revision + 1
			}
			return ctx.Err()
		},
	}
}

func decode(key string, raw []byte) (worker.ListedWorker, error) {
	if string(raw) == "unreadable" {
		return worker.ListedWorker{}, errors.New("unreadable")
	}
	return worker.ListedWorker{
		Info:  worker.Info{ID: strings.TrimPrefix(key, prefix), Leaving: strings.HasPrefix(string(raw), "leaving")},
		Clock: time.Duration(len(raw)),
	}, nil
}

// Guards against a list that falls behind by a little more each second: with a fixed pause after each response, of which
// each holds a bounded number of entries, the owner learned 1,100 of 2,000 entries a second, and started tasks on workers
// that had been leaving for seconds. A worker that leaves has to be known as leaving within a second, also at twice the size
// of the largest fleet, by a number of calls that does not grow faster than the fleet.
func TestListKeepsUpWithFleet(t *testing.T) {
	for _, workers := range []int{300, 6000, 12000} {
		t.Run(fmt.Sprint(workers, " workers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := &log{}
				monitor, kv := health.New(l.store())
				leavingSeen := make(map[string]time.Time)
				list := New(Options{
					Store: kv, Prefix: prefix, Decode: decode, Ahead: monitor.Ahead, Metrics: metric.New(),
					OnReset: func(map[string]bool) {}, OnContact: func(error) {},
					OnChange: func(entries []Entry) {
						for _, e := range entries {
							if e.Worker.Leaving && leavingSeen[e.ID].IsZero() {
								leavingSeen[e.ID] = time.Now()
							}
						}
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					list.Run(ctx)
				}()
				time.Sleep(time.Second)
				leavingAt := make(map[string]time.Time)
				const tick = 30 * time.Millisecond
				for n := 0; n < workers*int(duration/heartbeat); {
					for range max(1, workers*int(tick)/int(heartbeat)) {
						id, value := fmt.Sprint(n%workers), "ready"
						if !leavingAt[id].IsZero() {
							value = "leaving"
						} else if n%997 == 0 {
							value, leavingAt[id] = "leaving", time.Now()
						}
						l.write(prefix+id, value)
						n++
					}
					time.Sleep(tick)
				}
				time.Sleep(time.Second)
				cancel()
				<-ended
				var latest time.Duration
				for id, at := range leavingAt {
					is.True(!leavingSeen[id].IsZero())
					latest = max(latest, leavingSeen[id].Sub(at))
				}
				t.Logf("%d leaving workers known within %v, %d calls in %v", len(leavingAt), latest, l.calls, duration)
				is.True(latest <= time.Second)
				is.True(l.calls <= 3*int(duration.Seconds())*max(4, workers/300))
			})
		})
	}
}

// Guards against a new owner that knows no worker before it has read the entries of all: with 6,000 of them, in 12 pages,
// nothing was started for 0.4 s after the cell's state was known. And against entries that are passed on twice, or that stay
// although a later list does not show them.
func TestListIsUsedWhileItIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pair := func(id string, revision int64) store.Pair {
			return store.Pair{Key: prefix + id, Value: []byte("ready"), ModRevision: revision}
		}
		pages := [][]store.Pair{{pair("a", 1), pair("b", 2)}, {pair("c", 3)}, {pair("d", 4)}}
		var compacted chan struct{}
		kv := &store.Store{
			Range: func(_ context.Context, r store.Range) (store.RangeResult, error) {
				res := store.RangeResult{Revision: 4}
				for _, page := range pages {
					time.Sleep(30 * time.Millisecond)
					r.OnPage(page)
					res.Pairs = append(res.Pairs, page...)
				}
				return res, nil
			},
			Watch: func(ctx context.Context, _ string, _ int64, _ func(store.Batch)) error {
				compacted = make(chan struct{})
				select {
				case <-ctx.Done():
				case <-compacted:
				}
				return store.ErrCompacted
			},
		}
		seen, present := make(map[string]time.Duration), map[string]bool{}
		started, passedOn := time.Now(), 0
		list := New(Options{
			Store: kv, Prefix: prefix, Decode: decode, Metrics: metric.New(), OnContact: func(error) {},
			OnReset: func(all map[string]bool) { present = all },
			OnChange: func(entries []Entry) {
				for _, e := range entries {
					passedOn++
					seen[e.ID] = time.Since(started)
				}
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			list.Run(ctx)
		}()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(seen, map[string]time.Duration{
			"a": 30 * time.Millisecond, "b": 30 * time.Millisecond, "c": 60 * time.Millisecond, "d": 90 * time.Millisecond,
		})
		is.Equal(present, map[string]bool{"a": true, "b": true, "c": true, "d": true})
		is.Equal(passedOn, 4)
		pages = [][]store.Pair{{pair("a", 1)}, {pair("c", 9)}}
		close(compacted)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(present, map[string]bool{"a": true, "c": true})
		is.Equal(passedOn, 4) // the later entry of c says only that it is alive
		cancel()
		<-ended
	})
}
