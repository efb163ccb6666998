package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/feature"
	"turmericgap/job"
)

// Guards against a report on the optional parts that is missing on VMs that do not own the cell, or that leaves out what
// the owner has decided and learned.
func TestFeaturesOfTheOwner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, runsFor(time.Second), "a", "b")
		c.addWorkers(2, 4)
		v := c.waitForOwner()
		time.Sleep(5 * time.Second)
		for _, id := range []string{"a", "b", "c", "d"} {
			c.submit(v, c.newWork(id, job.Step{Tasks: 6, Estimate: time.Second}))
			time.Sleep(2 * time.Second)
		}
		time.Sleep(6 * time.Second)
		for _, v := range c.vms {
			report, err := v.front.Features(t.Context())
			is.NoErr(err)
			is.Equal(len(report.Features), len(feature.Names()))
			is.Equal(len(report.Speeds), 2)
			for _, s := range report.Features {
				is.True(!s.Effective) // the workers are alike, and the deployment expects no pressure
				switch s.Name {
				case feature.Admission:
					is.Equal(s.Reason, feature.Settings)
				case feature.Speed:
					is.Equal(s.Reason, feature.Observed)
				default:
				}
			}
		}
	})
}
