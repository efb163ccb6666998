package journal

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"turmericgap/store"
)

// Defaults.
const (
	// DefaultRate is the journal's writes a second: six zones then stay at 60 writes a second.
	DefaultRate  = 10.0
	DefaultBurst = 5
	// DefaultGroupBytes stays well below store.MaxValueBytes, also in base64.
	DefaultGroupBytes   = 512 << 10
	DefaultQueueRecords = 16 << 10
	DefaultQueueBytes   = 4 << 20
	DefaultMaxSegments  = 128
	DefaultSegmentBytes = 8 << 20
	DefaultCallTimeout  = 5 * time.Second
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

	queue   *queue
	limiter *rate.Limiter
	ctx     context.Context // ends all calls
	cancel  context.CancelFunc
	closing chan struct{}
	once    sync.Once
	ended   chan struct{}

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
		groupBytes: DefaultGroupBytes, maxSegments: DefaultMaxSegments, maxSegmentBytes: DefaultSegmentBytes,
		callTimeout: DefaultCallTimeout, closing: make(chan struct{}), ended: make(chan struct{}),
	}
	for _, o := range opts {
		o(j)
	}
	if err := j.recover(ctx); err != nil {
		return nil, err
	}
	j.queue = newQueue(j.queueBytes, j.queueRecords)
	j.limiter = rate.NewLimiter(rate.Limit(j.rate), j.burst)
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
// ErrUnknown.
func (j *Journal) Append(recs []Record, done func(error)) error {
	raw, err := encodeRecords(recs)
	if err != nil {
		return err
	}
	if len(raw) > j.groupBytes-blockBytes {
		return fmt.Errorf("%d bytes: %w", len(raw), ErrTooLarge)
	}
	err = j.queue.add(entry{raw: raw, count: len(recs), done: done})
	if errors.Is(err, ErrBusy) {
		j.count(func(s *Stats) { s.Refused++ })
	}
	return err
}

// Flush waits until the outcome of all that was appended before is known.
func (j *Journal) Flush(ctx context.Context) error {
	settled := make(chan error, 1)
	if err := j.queue.add(entry{done: func(err error) { settled <- err }}); err != nil {
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
