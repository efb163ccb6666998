package logger

import (
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
	// boundedBytes is the most that one write holds, in whole lines: what a pipe takes in one piece. Readers
	// of larger writes were seen to lose all that comes after their first 8 KB.
	boundedBytes = 4 << 10
)

// AsyncWriter writes lines to an output without ever making the writer of a line wait.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	chunk   []byte
	stop    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

// NewAsyncWriter returns a Bounded that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, boundedRing), out: out, chunk: make([]byte, 0, boundedBytes), stop: make(chan struct{})}
	b.wg.Go(b.run)
	return b
}

// Write takes a line; it is dropped when too many wait.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync leaves the lines to the writing goroutine.
func (b *AsyncWriter) Sync() error { return nil }

// Dropped counts the lines that were dropped.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes what waits and ends.
func (b *AsyncWriter) Close() {
	b.once.Do(func() { close(b.stop) })
	b.wg.Wait()
}

func (b *AsyncWriter) run() {
	for {
		select {
		case <-b.stop:
			b.gather()
			return
		case line := <-b.lines:
			b.put(line)
			select {
			case <-b.stop:
			case <-time.After(boundedPause):
			}
			b.gather()
		}
	}
}

// gather writes all that waits.
func (b *AsyncWriter) gather() {
	for {
		select {
		case line := <-b.lines:
			b.put(line)
		default:
			b.flush()
			return
		}
	}
}

// put adds a line to the next write, after one with what it has no room for.
func (b *AsyncWriter) put(line []byte) {
	if len(b.chunk)+len(line) > boundedBytes {
		b.flush()
	}
	b.chunk = append(b.chunk, line...)
}

func (b *AsyncWriter) flush() {
	if len(b.chunk) == 0 {
		return
	}
	// An output that fails has nowhere to be reported to.
	_, _ = b.out.Write(b.chunk)
	b.chunk = b.chunk[:0]
}

// NewWithOutput returns the root logger of a program that writes JSON lines to out.
func NewWithOutput(program string, out zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), out, Level)).Named(program)
}
