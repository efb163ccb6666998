package logger

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// writes keeps each write of a log apart, as a reader at the other end of a pipe may see them.
type writes struct {
	mu  sync.Mutex
	all [][]byte
}

func (w *writes) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, bytes.Clone(p))
	return len(p), nil
}

// An engineer looks for the lines of a request that failed in a burst. Hundreds of lines wait for one
// write then; a reader that takes 8 KB of a write at most would lose the rest of them, and the owner, which
// writes the most, would lose the most. So each write is small and ends with a line.
func TestWritesAreSmallAndWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &writes{}
		b := NewAsyncWriter(out)
		lines := 0
		for i := range 2000 {
			line := fmt.Appendf(nil, "{\"line\":%d,\"pad\":\"%s\"}\n", i, bytes.Repeat([]byte("x"), i%300))
			_, err := b.Write(line)
			is.NoErr(err)
		}
		b.Close()
		for _, w := range out.all {
			is.True(len(w) <= 4096)
			is.Equal(w[len(w)-1], byte('\n'))
			lines += bytes.Count(w, []byte("\n"))
		}
		is.Equal(lines, 2000)
		is.Equal(b.Dropped(), int64(0))
	})
}

// A line that is longer than a write should be is written whole all the same.
func TestLongLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &writes{}
		b := NewAsyncWriter(out)
		long := append(bytes.Repeat([]byte("y"), 3*boundedBytes), '\n')
		for _, line := range [][]byte{[]byte("a\n"), long, []byte("b\n")} {
			_, err := b.Write(line)
			is.NoErr(err)
		}
		b.Close()
		is.Equal(bytes.Join(out.all, nil), append(append([]byte("a\n"), long...), []byte("b\n")...))
	})
}
