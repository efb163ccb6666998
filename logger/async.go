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
	// queueLines is how many lines may wait for a slow output; further lines are dropped and counted.
	queueLines = 8192
	// flushInterval is how long lines are collected before they are written together. One write for many
	// lines costs less than one write per line.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes limits a write, which holds whole lines, to the size that a pipe writes atomically.
	// Readers lost everything after the first 8 KB of larger writes.
	maxWriteBytes = 4 << 10
)

// AsyncWriter writes lines to an output in the background; Write never blocks.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	buf     []byte
	stop    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

// NewAsyncWriter returns an AsyncWriter that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	b := &AsyncWriter{lines: make(chan []byte, queueLines), out: out, buf: make([]byte, 0, maxWriteBytes), stop: make(chan struct{})}
	b.wg.Go(b.run)
	return b
}

// Write queues a line, or drops it if the queue is full.
func (b *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; the lines are written in the background.
func (b *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (b *AsyncWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (b *AsyncWriter) Close() {
	b.once.Do(func() { close(b.stop) })
	b.wg.Wait()
}

func (b *AsyncWriter) run() {
	for {
		select {
		case <-b.stop:
			b.drain()
			return
		case line := <-b.lines:
			b.buffer(line)
			select {
			case <-b.stop:
			case <-time.After(flushInterval):
			}
			b.drain()
		}
	}
}

// drain writes all queued lines.
func (b *AsyncWriter) drain() {
	for {
		select {
		case line := <-b.lines:
			b.buffer(line)
		default:
			b.flush()
			return
		}
	}
}

// buffer adds a line to the next write and flushes first if the line does not fit.
func (b *AsyncWriter) buffer(line []byte) {
	if len(b.buf)+len(line) > maxWriteBytes {
		b.flush()
	}
	b.buf = append(b.buf, line...)
}

func (b *AsyncWriter) flush() {
	if len(b.buf) == 0 {
		return
	}
	// There is nowhere to report a failing log output.
	_, _ = b.out.Write(b.buf)
	b.buf = b.buf[:0]
}

// NewWithOutput returns the root logger of a program, writing JSON lines to out.
func NewWithOutput(program string, out zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), out, Level)).Named(program)
}
