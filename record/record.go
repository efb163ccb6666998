package record

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"turmericgap/metric"
	"turmericgap/store"
)

// Default settings of a Journal.
const (
	// DefaultRate is in commits per second. Six zones with their snapshots stay at 72 writes per second.
	DefaultRate  = 10.0
	DefaultBurst = 5
	// DefaultSnapshotRate is in snapshot writes per second. They have a separate limiter: with a shared one, a record
	// queued during a snapshot waited for two more limiter intervals.
	DefaultSnapshotRate  = 2.0
	DefaultSnapshotBurst = 2
	// DefaultGroupBytes stays well below store.MaxValueBytes, even when encoded in base64.
	DefaultGroupBytes      = 512 << 10
	DefaultQueueRecords    = 16 << 10
	DefaultQueueBytes      = 4 << 20
	DefaultMaxSegments     = 128
	DefaultMaxSegmentBytes = 8 << 20
	DefaultCallTimeout     = 5 * time.Second
	// pageLimit is the maximum number of segments or parts per read.
	pageLimit = 8
)

// Errors returned by Append or passed to its done function.
var (
	// ErrBusy means that the records were not accepted because the journal's queue is full.
	ErrBusy = errors.New("journal busy")
	// ErrTooLarge means that the records were not accepted because they exceed the maximum size of a group.
	ErrTooLarge = errors.New("journal records too large")
	// ErrFenced means that the records were not written and never will be, because a newer owner has taken over.
	ErrFenced = errors.New("journal fenced")
	// ErrClosed means that the records were not written because the journal was closed first.
	ErrClosed = errors.New("journal closed")
	// ErrUnknown means that the records may have been written: the journal was closed before it could determine the
	// outcome, or a newer owner's snapshot has replaced the segment that would show it.
	ErrUnknown = errors.New("journal outcome unknown")
)

// Names of the metrics.
const (
	metricCommits      = "journal.commit"
	metricRecords      = "journal.record"
	metricLost         = "journal.lost"
	metricSnapshots    = "journal.snapshot"
	metricSegments     = "journal.segments"
	metricQueued       = "journal.queued"
	metricCommitMillis = "journal.commitMillis"
	// metricPendingMillis is the time since the commit in progress started.
	metricPendingMillis = "journal.pendingMillis"
)

// Journal is the write-ahead journal of a zone, opened by the zone's owner.
type Journal struct {
	store         *store.Store
	keys          keys
	epochKey      string
	epochRevision int64
	writer        string
	log           *zap.Logger

	rate            float64
	burst           int
	queueRecords    int
	queueBytes      int
	groupBytes      int
	maxSegments     int
	maxSegmentBytes int
	callTimeout     time.Duration

	metrics     *metric.Registry
	queue       *queue
	limiter     *rate.Limiter
	snapLimiter *rate.Limiter
	ctx         context.Context // canceled to abort store calls
	cancel      context.CancelFunc
	closing     chan struct{}
	closeOnce   sync.Once
	stopped     chan struct{}

	// The following fields are used by the journal's goroutine only.
	head         head
	headRevision int64
	nextSegment  uint64 // the number of the next segment
	segmentSizes []int  // sizes of the segments starting at head.First
	snap         *snapshot
	runErr       error // why the goroutine ended; nil if it was closed with an empty queue

	mu              sync.Mutex
	recovered       []block
	stats           Stats
	snapshotDue     bool
	snapshotPending bool      // a snapshot was requested and is not durable yet
	inFlight        time.Time // start of the commit in progress
}

// Stats holds a journal's counters and current state.
type Stats struct {
	// Commits and Records count durable commits and records; Snapshots counts completed snapshots.
	Commits, Records, Snapshots int64
	// Calls counts store calls; Lost counts commit attempts whose outcome was unknown.
	Calls, Lost int64
	// Refused counts Append calls that returned ErrBusy.
	Refused int64
	// Queued and QueuedBytes are the records and bytes accepted but not yet durable.
	Queued, QueuedBytes int
	// Segments and SegmentBytes are not covered by a snapshot; SnapshotBytes is the size of the newest snapshot.
	Segments, SegmentBytes, SnapshotBytes int
	// LastCommit is the duration of the newest commit.
	LastCommit time.Duration
	// Pending is the time since the commit in progress started; zero means that there is none.
	Pending time.Duration
	// Unresolved reports whether the outcome of the commit in progress is unknown because a response was lost.
	Unresolved bool
}

// Open reads the journal of a zone for its new owner, which wrote epochKey at epochRevision. It retries failed reads
// until ctx ends.
func Open(ctx context.Context, s *store.Store, name, epochKey string, epochRevision int64, opts ...Option) (*Journal, error) {
	j := &Journal{
		store: s, keys: keys{root: Prefix + name + "/"}, epochKey: epochKey, epochRevision: epochRevision,
		writer: rand.Text(), log: zap.NewNop(),
		rate: DefaultRate, burst: DefaultBurst, queueRecords: DefaultQueueRecords, queueBytes: DefaultQueueBytes,
		groupBytes: DefaultGroupBytes, maxSegments: DefaultMaxSegments, maxSegmentBytes: DefaultMaxSegmentBytes,
		callTimeout: DefaultCallTimeout, closing: make(chan struct{}), stopped: make(chan struct{}),
	}
	for _, o := range opts {
		o(j)
	}
	if j.metrics == nil {
		j.metrics = metric.New()
	}
	if err := j.recover(ctx); err != nil {
		return nil, err
	}
	j.queue = newQueue(j.queueBytes, j.queueRecords)
	j.limiter = rate.NewLimiter(rate.Limit(j.rate), j.burst)
	j.snapLimiter = rate.NewLimiter(DefaultSnapshotRate, DefaultSnapshotBurst)
	j.ctx, j.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(j.stopped)
		j.run()
	}()
	return j, nil
}

// Append queues records that become durable atomically, after all records appended earlier. An error means that they
// were not accepted and done is not called. Otherwise done is called once, in the order of the Append calls, on the
// journal's goroutine: with nil when the records are durable, or with ErrFenced, ErrClosed or ErrUnknown. It must
// return quickly, and must not call Flush or Close, which wait for that goroutine.
func (j *Journal) Append(recs []Record, done func(error)) error {
	_, err := j.AppendCancelable(recs, done)
	return err
}

// Ticket identifies an accepted AppendCancelable call.
type Ticket struct {
	queue *queue
	seq   uint64
}

// Cancel removes the records from the queue. If it returns true, they were not written and never will be, and done is
// not called. If it returns false, they may already be in a commit or snapshot, and done reports their outcome.
func (t Ticket) Cancel() bool { return t.queue.cancel(t.seq) }

// AppendCancelable is like Append and returns a ticket for callers that may give up before the records are durable.
func (j *Journal) AppendCancelable(recs []Record, done func(error)) (Ticket, error) {
	raw, err := encodeRecords(recs)
	if err != nil {
		return Ticket{}, err
	}
	if len(raw) > j.groupBytes-blockOverheadBytes {
		return Ticket{}, fmt.Errorf("records of %d bytes: %w", len(raw), ErrTooLarge)
	}
	seq, err := j.queue.add(entry{encoded: raw, count: len(recs), done: done})
	if errors.Is(err, ErrBusy) {
		j.updateStats(func(s *Stats) { s.Refused++ })
	}
	return Ticket{j.queue, seq}, err
}

// Flush waits until the outcome of all records appended earlier is known.
func (j *Journal) Flush(ctx context.Context) error {
	flushed := make(chan error, 1)
	if _, err := j.queue.add(entry{done: func(err error) { flushed <- err }}); err != nil {
		return err
	}
	select {
	case err := <-flushed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close rejects new records and commits the accepted ones, until ctx ends. Records that were never sent then fail
// with ErrClosed, and those with an unknown outcome with ErrUnknown. Close returns nil if all accepted records are
// durable.
func (j *Journal) Close(ctx context.Context) error {
	j.queue.close(ErrClosed)
	j.closeOnce.Do(func() { close(j.closing) })
	select {
	case <-j.stopped:
	case <-ctx.Done():
		j.cancel()
		<-j.stopped
	}
	j.cancel()
	return j.runErr
}

// Stats returns a copy of the current statistics.
func (j *Journal) Stats() Stats {
	records, queued := j.queue.size()
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stats
	s.Queued, s.QueuedBytes = records, queued
	if !j.inFlight.IsZero() {
		s.Pending = time.Since(j.inFlight)
	}
	return s
}

func (j *Journal) updateStats(change func(*Stats)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.stats)
}
