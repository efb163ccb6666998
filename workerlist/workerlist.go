package workerlist

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
	"turmericgap/store"
	"turmericgap/store/follow"
	"turmericgap/worker"
)

const (
	// maxInterval is the pause between two responses of the watch in a small cell. A leaving worker must get nothing new
	// after some seconds.
	maxInterval = 300 * time.Millisecond
	// batchEvents is how many entries a response should hold in a large cell.
	batchEvents = 100
	// waitingAfter is how long a watch is unanswered when it has nothing to show. It is longer than the response of a slow
	// store.
	waitingAfter = time.Second
)

// Entry is what the list shows of one worker.
type Entry struct {
	ID string
	// Key is the key of the entry in the store.
	Key string
	// Worker is the decoded entry, valid if neither Removed nor Err is set.
	Worker worker.ListedWorker
	// Removed is set if the entry was removed, Err if it cannot be decoded.
	Removed bool
	Err     error
}

// Options configures a List.
type Options struct {
	Store  *store.Store
	Prefix string
	Decode func(key string, raw []byte) (worker.ListedWorker, error)
	// Ahead returns for how long the store is known to have been ahead of a revision; nil if that is not known.
	Ahead func(revision int64) time.Duration
	// OnChange receives the entries that were removed or say something new, also while the list is being read: a new owner
	// uses the first workers before it knows all. OnReset receives the IDs of all workers once it was read; others are
	// gone. Both are called on the goroutine of Run.
	OnChange func(entries []Entry)
	OnReset  func(present map[string]bool)
	// OnContact receives the result of each attempt to read the list.
	OnContact func(err error)
	Logger    *zap.Logger
	Metrics   *metric.Registry
}

// List follows the entries of the workers.
type List struct {
	opts Options
	// known holds the latest decoded entry of each worker. Only the goroutine of Run accesses it.
	known map[string]known
	// lag is how far the list was behind when it was last read.
	lag atomic.Pointer[lag]
}

// known is an entry as it was last read, with its revision.
type known struct {
	worker   worker.ListedWorker
	revision int64
}

// lag is for how long the store was known to be ahead of the list at a time.
type lag struct {
	behind time.Duration
	at     time.Time
}

// New returns a list that is empty until Run is called.
func New(o Options) *List { return &List{opts: o, known: make(map[string]known)} }

// Run follows the entries until ctx ends.
func (l *List) Run(ctx context.Context) {
	pace := &follow.Pace{MaxInterval: maxInterval, BatchEvents: batchEvents, Ahead: l.opts.Ahead}
	f := &follow.Follower{
		Store: l.opts.Store, Prefix: l.opts.Prefix, OnPage: l.readPage, OnReset: l.reset, OnChange: l.change, OnContact: l.opts.OnContact,
		OnCurrent: func(_ time.Time, revision int64) { l.reach(revision) },
		Pause:     pace.Pause, Logger: l.opts.Logger,
	}
	f.Run(ctx)
}

// Behind returns for how long the store was known to have had changes that the list did not show, of whatever prefix, when
// the list was last read; 0 if it was not known to have any. A watch that has been waiting since then has shown that
// there were none.
func (l *List) Behind() time.Duration {
	if last := l.lag.Load(); last != nil && time.Since(last.at) < waitingAfter {
		return last.behind
	}
	return 0
}

// reach records that all changes up to a revision were passed on.
func (l *List) reach(revision int64) {
	last := &lag{at: time.Now()}
	if l.opts.Ahead != nil {
		last.behind = l.opts.Ahead(revision)
	}
	l.lag.Store(last)
	l.opts.Metrics.Histogram("workerlist.behindMillis").Update(last.behind.Milliseconds())
}

// readPage passes on what a part of the list says.
func (l *List) readPage(pairs []store.Pair) {
	var entries []Entry
	for i := range pairs {
		if e, news := l.decode(&pairs[i]); news {
			entries = append(entries, e)
		}
	}
	l.passOn(entries)
}

// reset passes on what the parts have not, and which workers are listed.
func (l *List) reset(pairs []store.Pair, _ int64) {
	l.readPage(pairs)
	present := make(map[string]bool, len(pairs))
	for i := range pairs {
		present[l.id(pairs[i].Key)] = true
	}
	maps.DeleteFunc(l.known, func(id string, _ known) bool { return !present[id] })
	l.opts.OnReset(present)
}

func (l *List) passOn(entries []Entry) {
	if len(entries) > 0 {
		l.opts.Metrics.Counter("workerlist.changed").Inc(int64(len(entries)))
		l.opts.OnChange(entries)
	}
}

func (l *List) change(events []store.Event, _ int64) {
	l.opts.Metrics.Counter("workerlist.read").Inc(int64(len(events)))
	var entries []Entry
	for i := range events {
		p := &events[i].Pair
		if events[i].Deleted {
			id := l.id(p.Key)
			delete(l.known, id)
			entries = append(entries, Entry{ID: id, Key: p.Key, Removed: true})
			continue
		}
		if e, news := l.decode(p); news {
			entries = append(entries, e)
		}
	}
	l.passOn(entries)
}

func (l *List) id(key string) string { return strings.TrimPrefix(key, l.opts.Prefix) }

// decode decodes an entry and reports whether it says something new.
func (l *List) decode(p *store.Pair) (e Entry, news bool) {
	e = Entry{ID: l.id(p.Key), Key: p.Key}
	before, listed := l.known[e.ID]
	if listed && before.revision == p.ModRevision {
		return e, false // a part of the list has shown it
	}
	if e.Worker, e.Err = l.opts.Decode(p.Key, p.Value); e.Err != nil {
		delete(l.known, e.ID)
		return e, true
	}
	l.known[e.ID] = known{e.Worker, p.ModRevision}
	return e, !listed || differs(&before.worker, &e.Worker)
}

// differs reports whether two entries of a worker differ in more than the time at which they were written. That time
// matters only while the worker announces when it leaves.
func differs(a, b *worker.ListedWorker) bool {
	return a.Info != b.Info || a.Pool != b.Pool || a.TimeLeft != b.TimeLeft || !slices.Equal(a.Labels, b.Labels) ||
		b.Leaving && a.Clock != b.Clock
}
