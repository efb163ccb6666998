//go:build knownred

package configuration_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a VM that reads all of a large configuration again for each caller with an unknown queue, so that its
// link has no room for its other calls.
func TestUnknownQueueReadsNoDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queues = 2845
		f := newFleet(t, 0, 3*time.Second)
		defer f.close()
		f.write(1, queues)
		f.add(strongLink)
		v := f.add(weakLink)
		time.Sleep(10 * time.Second)
		before := v.link.Received()
		time.Sleep(10 * time.Second)
		if got := v.link.Received() - before; got > queues*queueBytes {
			t.Errorf("%d bytes received while nothing changed", got)
		}
	})
}
