package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A repeat of a submission with an unknown outcome must not be refused while the first one may still take effect.
// The number of IDs that are kept must stay bounded.
func TestUnknownIDs(t *testing.T) {
	is := is.New(t)
	var o unknownIDs
	now := time.Now()
	o.add("a", now)
	is.True(o.contains("a", now.Add(unknownRetention-time.Second)))
	is.True(!o.contains("a", now.Add(unknownRetention)))
	is.True(!o.contains("b", now))
	o.remove("a")
	is.True(!o.contains("a", now))
	for i := range 2 * maxUnknownIDs {
		o.add(fmt.Sprint(i), now)
	}
	is.True(len(o.recordedAt) <= maxUnknownIDs)
	is.True(len(o.order) <= maxUnknownIDs)
	is.True(o.contains(fmt.Sprint(2*maxUnknownIDs-1), now))
}
