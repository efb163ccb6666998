//go:build knownred

package configuration_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a VM with a slow link that the store does not answer, and that never receives all of a large
// configuration from other VMs, because their transfers compete and each begins again.
func TestLargeConfigurationFromOtherVMs(t *testing.T) {
	for seed := range uint64(testSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 3*time.Second)
				defer f.close()
				f.write(1, 45)
				for i := range 8 {
					time.Sleep(time.Duration(f.rand.Int64N(int64(watchHold) / 8)))
					f.add([]int{strongLink, weakLink, weakLink, weakLink}[i%4])
				}
				time.Sleep(watchHold + time.Duration(f.rand.Int64N(int64(watchHold))))
				for i, v := range f.vms {
					v.storeSilent.Store(i%4 != 0)
				}
				f.grow()
				f.checkLags()
			})
		})
	}
}
