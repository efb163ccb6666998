package gate

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against lines of streams that fill the memory of a gate before they end.
func TestLineTakesMemory(t *testing.T) {
	cases := []struct {
		name, in string
		want     int64
	}{
		{"short lines", strings.Repeat("{}\n", 10000), 0},
		{"long line", strings.Repeat("x", 10000) + "\n", lineCopies*10000 - streamLineExtra},
		{"long line without end", strings.Repeat("x", 10000), lineCopies*10000 - streamLineExtra},
		{"longest line counts", strings.Repeat(strings.Repeat("x", 5000)+"\n", 3), lineCopies*5000 - streamLineExtra},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var held int64
			r := &lineReader{Reader: iotest.OneByteReader(strings.NewReader(c.in)), grow: func(n int64) error { held += n; return nil }}
			raw, err := io.ReadAll(r)
			is.NoErr(err)
			is.Equal(len(raw), len(c.in))
			is.Equal(held, c.want)
			full := errors.New("no memory")
			_, err = io.ReadAll(&lineReader{Reader: strings.NewReader(c.in), grow: func(int64) error { return full }})
			is.Equal(errors.Is(err, full), c.want > 0)
		})
	}
}
