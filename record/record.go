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

// Defaults.
const (
	// DefaultRate is the commits a second; six zones with their snapshots stay at 72 writes a second.
	DefaultRate  = 10.0
	DefaultBurst = 5
	// DefaultSnapshotRate is the writes a second of a snapshot. They have an allowance of their own:
	// out of the commits' they made each record that met one wait for two more turns.
	DefaultSnapshotRate  = 2.0
	DefaultSnapshotBurst = 2
	// DefaultGroupBytes stays well below store.MaxValueBytes, also in base64.
	DefaultGroupBytes      = 512 << 10
	DefaultQueueRecords    = 16 << 10
	DefaultQueueBytes      = 4 << 20
	DefaultMaxSegments     = 128
	DefaultMaxSegmentBytes = 8 << 20
	DefaultCallTimeout     = 5 * time.Second
	// pageLimit is how many segments or parts one read asks for.
	pageLimit = 8
)

// Errors of Append and of its done function.
var (
	// ErrBusy means that the records were not accepted; the journal's room is taken.
	ErrBusy = errors.New("journal busy")
	// ErrTooLarge means that the records were not accepted, as they never fit one group.
	ErrTooLarge = errors.New("journal records too large")
	// ErrFenced means that the records surely were not written and never will be: another owner came.
	ErrFenced = errors.New("journal fenced")
	// ErrClosed means that the records surely were not written: the journal was closed before.
	ErrClosed = errors.New("journal closed")
	// ErrUnknown means that the records may have been written: the journal was closed before it
	// found out, or a newer owner's snapshot has taken the place where it would have found them.
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
	// metricPendingMillis is how long the commit in progress takes already.
	metricPendingMillis = "journal.pendingMillis"
)

// Journal is the durable record of one owner of one zone.
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
	ctx         context.Context // ends all calls
	cancel      context.CancelFunc
	closing     chan struct{}
	once        sync.Once
	ended       chan struct{}

	// Of the journal's goroutine alone.
	head         head
	headRevision int64
	next         uint64 // the number of the next segment
	sizes        []int  // of the segments from head.First on
	snap         *snapshot
	result       error // why the goroutine ended; nil when it was closed with nothing left

	mu       sync.Mutex
	replay   []block
	stats    Stats
	due      bool // for a snapshot
	cutting  bool // a cut was handed over and is not durable yet
	inFlight time.Time
}

// Stats tells how a journal does.
type Stats struct {
	// Commits and Records count what became durable; Snapshots counts the finished ones.
	Commits, Records, Snapshots int64
	// Calls counts the calls of the store, Lost those whose outcome was open.
	Calls, Lost int64
	// Refused counts the Appends that met ErrBusy.
	Refused int64
	// Queued and QueuedBytes are accepted and not yet durable.
	Queued, QueuedBytes int
	// Segments and SegmentBytes wait for the next snapshot; SnapshotBytes is the newest one.
	Segments, SegmentBytes, SnapshotBytes int
	// LastCommit is how long the newest commit took.
	LastCommit time.Duration
	// Pending is how long the commit in progress has taken so far; zero means that there is none.
	Pending time.Duration
	// Unresolved says that its outcome is open.
	Unresolved bool
}

// Open reads the journal of a zone as its new owner, who wrote epochKey at epochRevision. It reads
// again until it has everything or ctx ends.
func Open(ctx context.Context, s *store.Store, name, epochKey string, epochRevision int64, opts ...Option) (*Journal, error) {
	j := &Journal{
		store: s, keys: keys{root: Prefix + name + "/"}, epochKey: epochKey, epochRevision: epochRevision,
		writer: rand.Text(), log: zap.NewNop(),
		rate: DefaultRate, burst: DefaultBurst, queueRecords: DefaultQueueRecords, queueBytes: DefaultQueueBytes,
		groupBytes: DefaultGroupBytes, maxSegments: DefaultMaxSegments, maxSegmentBytes: DefaultMaxSegmentBytes,
		callTimeout: DefaultCallTimeout, closing: make(chan struct{}), ended: make(chan struct{}),
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
		defer close(j.ended)
		j.run()
	}()
	return j, nil
}

// Append hands over records that become durable together, after all that were appended before. An
// error means that they were not accepted. Else done is called once, in the order of the Appends,
// on the journal's goroutine: with nil as soon as they are durable, or with ErrFenced, ErrClosed or
// ErrUnknown. It must be quick, and must not call Flush or Close, which wait for that goroutine.
func (j *Journal) Append(recs []Record, done func(error)) error {
	_, err := j.AppendCancelable(recs, done)
	return err
}

// Ticket names records that were accepted.
type Ticket struct {
	queue *queue
	seq   uint64
}

// Cancel takes the records back. True means that they surely never were written nor will be, and
// that done is not called; false that they are on their way, and done tells.
func (t Ticket) Cancel() bool { return t.queue.withdraw(t.seq) }

// AppendCancelable is Append with a ticket, for records whose caller may give up before they are durable.
func (j *Journal) AppendCancelable(recs []Record, done func(error)) (Ticket, error) {
	raw, err := encodeRecords(recs)
	if err != nil {
		return Ticket{}, err
	}
	if len(raw) > j.groupBytes-blockBytes {
		return Ticket{}, fmt.Errorf("%d bytes: %w", len(raw), ErrTooLarge)
	}
	seq, err := j.queue.add(entry{raw: raw, count: len(recs), done: done})
	if errors.Is(err, ErrBusy) {
		j.count(func(s *Stats) { s.Refused++ })
	}
	return Ticket{j.queue, seq}, err
}

// Flush waits until the outcome of all that was appended before is known.
func (j *Journal) Flush(ctx context.Context) error {
	settled := make(chan error, 1)
	if _, err := j.queue.add(entry{done: func(err error) { settled <- err }}); err != nil {
		return err
	}
	select {
	case err := <-settled:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close refuses new records, makes the accepted ones durable, and gives up when ctx ends; what was
// never sent then ends with ErrClosed, and what has no known outcome with ErrUnknown. It returns nil
// when all that was accepted is durable.
func (j *Journal) Close(ctx context.Context) error {
	j.queue.end(ErrClosed)
	j.once.Do(func() { close(j.closing) })
	select {
	case <-j.ended:
	case <-ctx.Done():
		j.cancel()
		<-j.ended
	}
	j.cancel()
	return j.result
}

// Stats gives the present figures.
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

func (j *Journal) count(change func(*Stats)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&j.stats)
}
