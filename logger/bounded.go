package logger

import (
	"bufio"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// boundedRing is how many lines wait for a slow output; more are dropped and counted.
	boundedRing = 8192
	// boundedPause is how long lines are gathered before they are written together. One write for
	// many lines costs less than one for each.
	boundedPause = 100 * time.Millisecond
	boundedBytes = 64 << 10
)

// Bounded writes lines to an output without ever making the writer of a line wait.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	out     *bufio.Writer
	stop    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

// NewBounded returns a Bounded that writes to out until it is closed.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedRing), out: bufio.NewWriterSize(out, boundedBytes), stop: make(chan struct{})}
	b.wg.Go(b.run)
	return b
}

// Write takes a line; it is dropped when too many wait.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync leaves the lines to the writing goroutine.
func (b *Bounded) Sync() error { return nil }

// Dropped counts the lines that were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits and ends.
func (b *Bounded) Close() {
	b.once.Do(func() { close(b.stop) })
	b.wg.Wait()
}

func (b *Bounded) run() {
	for {
		select {
		case <-b.stop:
			b.gather()
			return
		case line := <-b.lines:
			_, _ = b.out.Write(line)
			select {
			case <-b.stop:
			case <-time.After(boundedPause):
			}
			b.gather()
		}
	}
}

// gather writes all that waits.
func (b *Bounded) gather() {
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line)
		default:
			// An output that fails has nowhere to be reported to.
			_ = b.out.Flush()
			return
		}
	}
}

// NewTo returns the root logger of a program that writes JSON lines to out.
func NewTo(program string, out zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), out, Level)).Named(program)
}
