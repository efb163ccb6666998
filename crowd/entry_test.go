package crowd

import "testing"

// Guards against connections that stay open after a request and use up all descriptors.
func TestIdleConnections(t *testing.T) {
	c := newCell(t, 1, fewFiles)
	request := func(i int) []byte { return ordinary(10000 + i) }
	crowd := newCrowd(t, 500, c.callers[0], request, &form{}, true)
	c.settle(t)
	c.check(t, "beside the crowd", 2000)
	crowd.close()
	c.check(t, "after the crowd", 3000)
}

// Guards against connections that never send a request and use up all descriptors.
func TestConnectionsWithoutRequest(t *testing.T) {
	c := newCell(t, 1, fewFiles)
	request := func(int) []byte { return nil }
	crowd := newCrowd(t, 500, c.callers[0], request, &form{}, false)
	c.settle(t)
	c.check(t, "beside the crowd", 2000)
	crowd.close()
	c.check(t, "after the crowd", 3000)
}
