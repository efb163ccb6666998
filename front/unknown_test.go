package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller was told that the outcome is open; a repeat must not be refused as "never runs" for as long as
// the first try may take effect, and no longer. What is remembered stays bounded.
func TestOpenIDs(t *testing.T) {
	is := is.New(t)
	var o openIDs
	now := time.Now()
	o.note("a", now)
	is.True(o.has("a", now.Add(openFor-time.Second)))
	is.True(!o.has("a", now.Add(openFor)))
	is.True(!o.has("b", now))
	o.settle("a")
	is.True(!o.has("a", now))
	for i := range 2 * openMost {
		o.note(fmt.Sprint(i), now)
	}
	is.True(len(o.since) <= openMost)
	is.True(len(o.order) <= openMost)
	is.True(o.has(fmt.Sprint(2*openMost-1), now))
}
