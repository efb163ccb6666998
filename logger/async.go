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
	// queueBytes limits the lines that wait by their size, as they may hold what a caller has sent.
	queueBytes = 4 << 20
	// flushInterval is how long lines are collected before they are written together. One write for many
	// lines costs less than one write per line.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes limits a write of several lines to the size that a pipe writes atomically. Some readers
	// lose everything after the first 8 KB of a larger write.
	maxWriteBytes = 4 << 10
)

// AsyncWriter writes lines to an output in the background; Write never blocks.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	// queued is the size of the lines that wait.
	queued atomic.Int64
	out    io.Writer
	buf    []byte
	stop   chan struct{}
	once   sync.Once
	wg     sync.WaitGroup
}

// NewAsyncWriter returns an AsyncWriter that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queueLines), out: out, buf: make([]byte, 0, maxWriteBytes), stop: make(chan struct{})}
	w.wg.Go(w.run)
	return w
}

// Write queues a line, or drops it if the queue is full.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if w.queued.Add(int64(len(line))) <= queueBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queued.Add(-int64(len(line)))
	w.dropped.Add(1)
	return len(line), nil
}

// Sync does nothing; the lines are written in the background.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { close(w.stop) })
	w.wg.Wait()
}

func (w *AsyncWriter) run() {
	for {
		select {
		case <-w.stop:
			w.drain()
			return
		case line := <-w.lines:
			w.buffer(line)
			select {
			case <-w.stop:
			case <-time.After(flushInterval):
			}
			w.drain()
		}
	}
}

// drain writes all queued lines.
func (w *AsyncWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.buffer(line)
		default:
			w.flush()
			return
		}
	}
}

// buffer adds a line to the next write and flushes first if the line does not fit. A longer line than
// maxWriteBytes is written on its own.
func (w *AsyncWriter) buffer(line []byte) {
	if len(w.buf)+len(line) > maxWriteBytes {
		w.flush()
	}
	w.buf = append(w.buf, line...)
	w.queued.Add(-int64(len(line)))
}

func (w *AsyncWriter) flush() {
	if len(w.buf) == 0 {
		return
	}
	// There is nowhere to report a failing log output.
	_, _ = w.out.Write(w.buf)
	w.buf = w.buf[:0]
}

// NewWithOutput returns the root logger of a program, writing JSON lines to out.
func NewWithOutput(program string, out zapcore.WriteSyncer) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.TimeKey = "time"
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	c.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), out, Level)).Named(program)
}
