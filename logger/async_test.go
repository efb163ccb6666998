package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// writeRecorder records each write separately, as the reader of a pipe may see them.
type writeRecorder struct {
	mu     sync.Mutex
	writes [][]byte
}

func (w *writeRecorder) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes = append(w.writes, bytes.Clone(p))
	return len(p), nil
}

// In a burst, hundreds of lines are written together, and a reader that takes at most 8 KB of a write would
// lose the rest, most of all from the owner, which logs the most. Each write must therefore be small and
// end with a complete line.
func TestWritesAreSmallAndWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &writeRecorder{}
		b := NewAsyncWriter(out)
		lines := 0
		for i := range 2000 {
			line := fmt.Appendf(nil, "{\"line\":%d,\"pad\":\"%s\"}\n", i, bytes.Repeat([]byte("x"), i%300))
			_, err := b.Write(line)
			is.NoErr(err)
		}
		b.Close()
		for _, w := range out.writes {
			is.True(len(w) <= 4096)
			is.Equal(w[len(w)-1], byte('\n'))
			lines += bytes.Count(w, []byte("\n"))
		}
		is.Equal(lines, 2000)
		is.Equal(b.Dropped(), int64(0))
	})
}

// A line that is longer than the limit of a write must still be written completely.
func TestLongLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &writeRecorder{}
		b := NewAsyncWriter(out)
		long := append(bytes.Repeat([]byte("y"), 3*maxWriteBytes), '\n')
		for _, line := range [][]byte{[]byte("a\n"), long, []byte("b\n")} {
			_, err := b.Write(line)
			is.NoErr(err)
		}
		b.Close()
		is.Equal(bytes.Join(out.writes, nil), append(append([]byte("a\n"), long...), []byte("b\n")...))
	})
}

// Guards against lines with what callers have sent that fill memory while the output is slow.
func TestQueuedBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reader, out := io.Pipe()
		w := NewAsyncWriter(out)
		line := bytes.Repeat([]byte("x"), 16<<10)
		const sent = 2 * queueBytes / (16 << 10)
		for range sent {
			_, _ = w.Write(line)
		}
		is.True(w.queued.Load() <= queueBytes)
		is.True(w.Dropped() >= sent/2-2) // but for the line that is being written
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		w.Close()
		is.Equal(w.queued.Load(), int64(0))
		reader.Close()
	})
}
