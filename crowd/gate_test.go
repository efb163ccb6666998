package crowd

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	standin "turmericgap/standin/store"
	"turmericgap/store/memory"
)

// gateLimits are the limits that a gate assumes by default.
var gateLimits = limits{memoryMB: 256, files: 8192}

// gateFormat is the settings file of a gate whose scheduler does not answer.
const gateFormat = `{"id":"gate-1","vm":"entry-1","zone":"kochi-hall","zones":["kochi-hall"],"rpcAddress":"%[1]s","opsAddress":"%[2]s",
"callerAddress":"%[3]s","scheduler":"%[4]s","seeds":["%[4]s"],"sessionKeys":["only-for-the-stand-in-cell-on-this-machine"],
"store":{"kind":"etcd","endpoint":"http://%[5]s"},"listAddress":"%[4]s"}`

// playAtGate sends a crowd of a form to a gate that knows no target and no scheduler, and checks its process while the
// connections are open and after they are closed. A gate without targets answers checks with 503.
func playAtGate(t *testing.T, f *form, n int, l limits) {
	t.Helper()
	serve(t, address(0, portStandin), standin.New(memory.New()))
	settings, callers := filepath.Join(t.TempDir(), "gate.json"), address(1, portCallers)
	raw := fmt.Appendf(nil, gateFormat, address(1, portPeers), address(1, portMetrics), callers, address(1, portReady), address(0, portStandin))
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, uint64(l.files), build(t, "gate"), []string{"--settings", settings}, nil)
	method := http.MethodPost
	if len(f.body) == 0 {
		method = http.MethodGet
	}
	check := func(when string) {
		t.Helper()
		checkProcess(t, when, p, l)
		small := form{path: "/v1/checks/desk/", body: work(100)}
		if err := sendUntil(t.Context(), callers, small.request(http.MethodPost, host, "m"), http.StatusServiceUnavailable); err != nil {
			t.Errorf("%s: an ordinary request is not answered: %v\n%s", when, err, p.tail())
		}
		checkProcess(t, when+", after an ordinary request", p, l)
	}
	check("alone")
	crowd := newCrowd(t, n, callers, func(i int) []byte { return f.request(method, host, id(i)) }, f, f.holdBack == 0)
	settleProcess(t, p)
	check("beside the crowd")
	crowd.close()
	settleProcess(t, p)
	check("after the crowd")
}

// Guards against large bodies of checks that stop one byte short of their end at a gate.
func TestBodiesWithoutEndAtGate(t *testing.T) {
	f := &form{path: "/v1/checks/desk/", body: work(maxBodyBytes), holdBack: 1}
	playAtGate(t, f, 1200, gateLimits)
}

// Guards against headers of many short lines at a gate.
func TestShortHeaderLinesAtGate(t *testing.T) {
	f := &form{path: "/v1/checks/desk/", head: shortHeaders(headBytes), body: work(100), holdBack: 1}
	playAtGate(t, f, 1200, gateLimits)
}

// Guards against headers of many short lines that never end at a gate.
func TestShortHeaderLinesWithoutEndAtGate(t *testing.T) {
	body := work(100)
	f := &form{path: "/v1/checks/desk/", head: shortHeaders(headBytes), body: body, holdBack: len(body) + 2}
	playAtGate(t, f, 1200, gateLimits)
}

// Guards against large bodies of jobs that stop one byte short of their end at a gate.
func TestJobsWithoutEndAtGate(t *testing.T) {
	f := &form{path: "/v1/jobs?", body: work(64 << 10), holdBack: 1}
	playAtGate(t, f, 3000, gateLimits)
}

// Guards against connections that use up all descriptors of a gate.
func TestConnectionsAtGate(t *testing.T) {
	playAtGate(t, &form{path: "/v1/jobs/"}, 500, limits{memoryMB: gateLimits.memoryMB, files: fewFiles.files})
}
