package budget

import (
	"testing"

	"github.com/matryer/is"
)

func TestTryWithdraw(t *testing.T) {
	cases := []struct {
		name      string
		successes int
		want      int
	}{
		{"only the burst", 0, 0},
		{"a tenth of the successes", 50, 5},
		{"never more than the burst", 1000, DefaultBurst},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := New()
			for range DefaultBurst {
				is.New(t).True(b.TryWithdraw())
			}
			is.New(t).True(!b.TryWithdraw())
			for range c.successes {
				b.Deposit()
			}
			n := 0
			for b.TryWithdraw() {
				n++
			}
			is.New(t).Equal(n, c.want)
		})
	}
}
