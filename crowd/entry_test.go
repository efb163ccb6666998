package crowd

import (
	"net/http"
	"strings"
	"testing"

	"turmericgap/platform"
)

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

// Guards against headers of many short lines, which take many times their size once parsed, beside bodies that never end.
func TestShortHeaderLines(t *testing.T) {
	f := &form{path: "/check/", head: shortHeaders(headBytes), body: work(100), holdBack: 1}
	play(t, newCell(t, 1, weakVM), f, crowdSize, []int{0}, http.StatusOK)
}

// Guards against headers of many short lines that never end.
func TestShortHeaderLinesWithoutEnd(t *testing.T) {
	body := work(100)
	f := &form{path: "/check/", head: shortHeaders(headBytes), body: body, holdBack: len(body) + 2}
	play(t, newCell(t, 1, weakVM), f, crowdSize, []int{0}, http.StatusOK)
}

// Guards against large bodies that stop one byte short of their end.
func TestBodiesWithoutEnd(t *testing.T) {
	f := &form{path: "/check/", body: work(maxBodyBytes), holdBack: 1}
	play(t, newCell(t, 1, weakVM), f, crowdSize, []int{0}, http.StatusOK)
}

// Guards against large bodies that come in pieces and stop one byte short of their end.
func TestBodiesInPiecesWithoutEnd(t *testing.T) {
	f := &form{path: "/check/", body: work(maxBodyBytes), pieceBytes: 4 << 10, holdBack: 1}
	play(t, newCell(t, 1, weakVM), f, crowdSize, []int{0}, http.StatusOK)
}

// Guards against bodies in large chunks that stop just short of their end.
func TestLargeChunksWithoutEnd(t *testing.T) {
	f := &form{path: "/check/", body: inChunks(work(maxBodyBytes), 32<<10), chunked: true, holdBack: 1}
	play(t, newCell(t, 1, weakVM), f, crowdSize, []int{0}, http.StatusOK)
}

// Guards against bodies in chunks of one byte that stop just short of their end.
func TestSmallChunksWithoutEnd(t *testing.T) {
	f := &form{path: "/check/", body: inChunks(work(maxBodyBytes/2), 1), chunked: true, holdBack: 1}
	play(t, newCell(t, 1, weakVM), f, crowdSize, []int{0}, http.StatusOK)
}

// Guards against a body of many invalid steps, whose findings take many times its size.
func TestInvalidSteps(t *testing.T) {
	f := &form{path: "/check/", body: steps(`{}`)}
	play(t, newCell(t, 1, weakVM), f, 20, []int{0}, http.StatusBadRequest)
}

// Guards against a body of more steps than a work may have, which take many times its size once decoded.
func TestTooManySteps(t *testing.T) {
	f := &form{path: "/check/", body: steps(`{"Count":1}`)}
	play(t, newCell(t, 1, weakVM), f, 100, []int{0}, http.StatusBadRequest)
}

// Guards against a list of dependencies as long as a body, each entry of which has a finding.
func TestInvalidDependencies(t *testing.T) {
	f := &form{path: "/check/", body: []byte(`{"Steps":[{"Count":1,"After":[` + strings.Repeat("9,", maxBodyBytes/2-30) + `9]}]}`)}
	play(t, newCell(t, 1, weakVM), f, 40, []int{0}, http.StatusBadRequest)
}

// Guards against large works that all VMs send to the owner of the cell, and that wait there.
func TestLargeWorksAtOwner(t *testing.T) {
	name := strings.Repeat("a", maxBodyBytes-100)
	f := &form{path: "/check/", body: []byte(`{"Steps":[{"Count":1,"Cpu":500,"MemMb":256,"Image":"` + name + `"}]}`)}
	play(t, newCell(t, 3, weakVM), f, 400, []int{0, 1, 2}, http.StatusOK)
}

// Guards against connections to the readiness port that use up all descriptors.
func TestConnectionsAtReadinessPort(t *testing.T) {
	playAtPort(t, portReady, platform.ReadyPath)
}

// Guards against connections to the operators' port that use up all descriptors.
func TestConnectionsAtOperatorsPort(t *testing.T) {
	playAtPort(t, portMetrics, "/health")
}

// Guards against connections to the port of the other VMs that send nothing and use up all descriptors.
func TestConnectionsAtPeersPort(t *testing.T) {
	playAtPort(t, portPeers, "")
}

// playAtPort opens more connections to a port than the VM has descriptors. Each sends a GET of the path, unless it is empty.
func playAtPort(t *testing.T, port int, path string) {
	t.Helper()
	c := newCell(t, 1, fewFiles)
	request := func(int) []byte {
		if path == "" {
			return nil
		}
		return (&form{path: path}).request(http.MethodGet, host, "")
	}
	crowd := newCrowd(t, 500, address(1, port), request, &form{}, path != "")
	c.settle(t)
	c.check(t, "beside the crowd", 2000)
	crowd.close()
	c.check(t, "after the crowd", 3000)
}
