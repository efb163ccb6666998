package workerlist

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
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
	latency    = 4 * time.Millisecond
	mostEvents = 350 // a response of the watch holds no more
)

// log is a store of which only the changes of the workers are of interest.
type log struct {
	revision int64
	events   []store.Event
	calls    int
}

func (l *log) write(key, value string) {
	l.revision++
	l.events = append(l.events, store.Event{Pair: store.Pair{Key: key, Value: []byte(value), ModRevision: l.revision}})
}

func (l *log) store() *store.Store {
	return &store.Store{
		Range: func(context.Context, store.Range) (store.RangeResult, error) {
			time.Sleep(latency)
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
				l.calls++
				sent := time.Now()
				at, _ := slices.BinarySearchFunc(l.events, from, func(e store.Event, r int64) int { return cmp.Compare(e.Pair.ModRevision, r) })
				events := l.events[at:min(len(l.events), at+mostEvents)]
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
				known := make(map[string]bool)
				leavingSeen := make(map[string]time.Time)
				list := New(Options{
					Store: kv, Prefix: prefix, Decode: decode, Ahead: monitor.Ahead, Metrics: metric.New(),
					OnReset: func([]Entry) {}, OnContact: func(error) {},
					OnChange: func(entries []Entry) {
						for _, e := range entries {
							if known[e.ID] = true; e.Worker.Leaving && leavingSeen[e.ID].IsZero() {
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
				started := time.Now()
				for n := 0; time.Since(started) < 30*time.Second; n++ {
					id, value := fmt.Sprint(n%workers), "ready"
					if !leavingAt[id].IsZero() {
						value = "leaving"
					} else if n%997 == 0 {
						value, leavingAt[id] = "leaving", time.Now()
					}
					l.write(prefix+id, value)
					if n == workers {
						synctest.Wait()
						t.Logf("known after each has written once: %d", len(known))
					}
					time.Sleep(heartbeat / time.Duration(workers))
				}
				time.Sleep(time.Second)
				cancel()
				<-ended
				var latest time.Duration
				for id, at := range leavingAt {
					is.True(!leavingSeen[id].IsZero())
					latest = max(latest, leavingSeen[id].Sub(at))
				}
				t.Logf("%d leaving workers known within %v, %d calls in 30 s", len(leavingAt), latest, l.calls)
				is.True(latest <= time.Second)
				is.True(l.calls <= 3*30*max(4, workers/300))
			})
		})
	}
}
