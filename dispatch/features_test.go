package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/feature"
)

// Guards against a report on the optional parts that is missing on VMs that do not own the cell.
func TestFeaturesOfTheOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "a", "b")
		c.waitForOwner()
		for _, v := range c.vms {
			report, err := v.front.Features(t.Context())
			is.NoErr(err)
			is.Equal(len(report.Features), len(feature.Names()))
		}
	})
}
