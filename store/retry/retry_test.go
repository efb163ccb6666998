package retry_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store/retry"
)

// Many processes lose the store at once and must not come back at once, nor all the time.
// Each pause lies between half and the whole of a bound that doubles up to the longest.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	seen := map[time.Duration]bool{}
	for range 100 {
		b := retry.New(retry.Bounds(time.Second, 5*time.Second))
		for _, bound := range []time.Duration{1, 2, 4, 5, 5} {
			d := b.Next()
			is.True(d >= bound*time.Second/2 && d <= bound*time.Second)
			seen[d] = true
		}
		b.Reset()
		is.True(b.Next() <= time.Second)
	}
	is.True(len(seen) > 400) // of 500: they differ
}

func TestRead(t *testing.T) {
	cases := []struct {
		name  string
		fails int
		want  int
		err   bool
	}{{"at once", 0, 1, false}, {"after an outage", 5, 6, false}, {"given up", 1 << 30, 0, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				tries := 0
				got, err := retry.Read(ctx, func(context.Context) (int, error) {
					if tries++; tries <= c.fails {
						return 0, errors.New("down")
					}
					return tries, nil
				})
				is.Equal(err != nil, c.err)
				if c.err {
					is.True(tries < 80) // of a minute at pauses of one to two seconds
				} else {
					is.Equal(got, c.want)
				}
			})
		})
	}
}
