package quota

import (
	"testing"

	"github.com/matryer/is"

	"turmericgap/job"
)

func TestLedger(t *testing.T) {
	is := is.New(t)
	l := New()
	one := job.Resources{Millicores: 1000, MemoryMB: 1000}
	l.Join("desk")
	l.Set("desk", one.Times(2), false)
	is.True(l.Within("desk", one.Times(2)))
	is.True(!l.MayBorrow("desk"))
	l.Take("desk", one.Times(3))
	is.True(l.Over("desk"))
	is.True(!l.Within("desk", one))
	is.Equal(l.Share("desk", one.Times(100)), 1.5)
	l.Unlimit()
	is.True(l.Within("desk", one))
	is.Equal(l.Share("desk", one.Times(100)), 0.03)
	l.Give("desk", one.Times(3))
	l.Leave("desk")
	is.Equal(len(l.pools), 0)
}
