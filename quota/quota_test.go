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
	l.AddMember("desk")
	l.SetLimit("desk", one.Times(2), false)
	is.True(l.Fits("desk", one.Times(2)))
	is.True(!l.CanBorrow("desk"))
	l.Charge("desk", one.Times(3))
	is.True(l.Exceeded("desk"))
	is.True(!l.Fits("desk", one))
	is.Equal(l.DominantShare("desk", one.Times(100)), 1.5)
	l.ClearLimits()
	is.True(l.Fits("desk", one))
	is.Equal(l.DominantShare("desk", one.Times(100)), 0.03)
	l.Release("desk", one.Times(3))
	l.RemoveMember("desk")
	is.Equal(len(l.pools), 0)
}
