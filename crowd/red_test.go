//go:build knownred

package crowd

import (
	"net/http"
	"testing"

	"turmericgap/platform"
)

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
