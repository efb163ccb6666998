package capacity_test

import (
	"testing"

	"github.com/matryer/is"

	"turmericgap/capacity"
)

// Guards against losing workers, or finding them with outdated capacity, when they move between buckets and zones and
// when the last one of a bucket takes the slot of a removed one.
func TestIndex(t *testing.T) {
	is := is.New(t)
	var x capacity.Index[string]
	var a, b, c, detached capacity.Position[string]
	found := func(zone string, millicores int64) (out []string) {
		x.Visit(zone, millicores, 0, func(w string) bool { out = append(out, w); return true })
		return out
	}
	detached.Update("z1", 4000)
	is.Equal(x.MaxFree(), int64(0))
	a.Attach(&x, "a")
	b.Attach(&x, "b")
	c.Attach(&x, "c")
	a.Update("z1", 4000)
	b.Update("z1", 4100)
	c.Update("z2", 8000)
	is.Equal(found("z1", 4000), []string{"a", "b", "c"})
	is.Equal(found("z2", 4000), []string{"c", "a", "b"})
	is.Equal(x.MaxFree(), int64(8499))
	a.Update("z1", 900)
	is.Equal(found("z1", 4000), []string{"b", "c"})
	c.Update("z1", 4499)
	is.Equal(found("z2", 0), []string{"b", "c", "a"})
	b.Detach()
	is.Equal(found("z1", 0), []string{"c", "a"})
	is.Equal(x.MaxFree(), int64(4499))
}
