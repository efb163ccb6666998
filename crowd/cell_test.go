package crowd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"turmericgap/job"
	"turmericgap/platform"
	"turmericgap/store"
)

// Ports of the VMs and of the stand-ins.
const (
	portCallers = 7801 + iota
	portReady
	portPeers
	portMetrics
	portStandin
	portPermits
)

const (
	host         = "desk.example"
	maxBodyBytes = 256 << 10
	// reservedFiles of a process's descriptors are for files, the others for connections.
	reservedFiles = 200
)

// limits are those of a VM.
type limits struct{ memoryMB, files int }

// weakVM has the limits of the weakest VM of the deployments.
var weakVM = limits{memoryMB: 144, files: 3075}

// fewFiles are limits of a VM whose descriptors a small crowd uses up.
var fewFiles = limits{memoryMB: weakVM.memoryMB, files: 400}

// crowdSize is the number of connections of a crowd that fills memory.
const crowdSize = 800

// headBytes is the size of all header lines of a request whose headers are as large as allowed.
const headBytes = 16<<10 - 200

// cell is a cell of entry VMs with stand-ins of the platform.
type cell struct {
	limits    limits
	processes []*process
	callers   []string
}

// newCell starts a cell of that many entry VMs and waits until it accepts work.
func newCell(t *testing.T, vms int, l limits) *cell {
	t.Helper()
	c := &cell{limits: l}
	standin := platform.NewStandin()
	config := job.Config{Version: 1, Queues: []job.Queue{{
		Name: "check", Host: host, Prefix: "/check/", Pool: "desk", MaxAttempts: 3, SlackFactor: 3, Objective: time.Second,
	}}}
	raw, err := platform.EncodeConfig(&config, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := standin.KV.Store().Txn(t.Context(), store.Txn{Then: []store.Op{{Key: platform.ConfigKey, Value: raw}}}); err != nil {
		t.Fatal(err)
	}
	serve(t, address(0, portStandin), standin.StoreHandler())
	serve(t, address(0, portPermits), standin.PermitsHandler())
	for i := range vms {
		c.addVM(t, i+1)
	}
	for i, callers := range c.callers {
		if err := sendUntil(t.Context(), callers, ordinary(1000+i), http.StatusOK); err != nil {
			t.Fatalf("the cell does not accept work: %v\n%s", err, c.processes[i].tail())
		}
	}
	return c
}

// address returns a loopback address; VM 0 is the stand-ins.
func address(vm, port int) string {
	n := 256 + os.Getpid()%65000
	return fmt.Sprintf("127.%d.%d.%d:%d", n/256, n%256, vm+1, port)
}

func serve(t *testing.T, at string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // returns after Close
	t.Cleanup(func() { _ = s.Close() })
}

// settingsFormat is the settings file of a VM, without fields that do not matter here.
const settingsFormat = `{"NodeName":"vm%[1]d","Ip":"%[2]s","Zone":"kochi-hall","Bootstrap":true,
"Listen":{"Frontend":"%[2]s:%[3]d","Readiness":"%[2]s:%[4]d"},"InternalPorts":[%[5]d,%[6]d],
"Limits":{"CpuShare":0.4,"Cores":1,"MemoryMb":%[7]d,"MaxFds":%[8]d,"LinkMbps":1000},
"platform":{"Address":"%[9]s"},"Recommendation":"%[10]s","CloudApi":{"Address":"%[9]s"},
"Bounds":{"HoldLimitMs":10000,"StopTimeoutMs":200,"GangTimeoutMs":3000,"ContactMs":3000,"GraceS":6,"status_s":120}}`

func (c *cell) addVM(t *testing.T, vm int) {
	t.Helper()
	ip, _, _ := strings.Cut(address(vm, portCallers), ":")
	settings := filepath.Join(t.TempDir(), "boot.json")
	raw := fmt.Appendf(nil, settingsFormat, vm, ip, portCallers, portReady, portPeers, portMetrics, c.limits.memoryMB, c.limits.files,
		address(0, portStandin), address(0, portPermits))
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	c.processes = append(c.processes, start(t, uint64(c.limits.files), build(t, "entry"), nil, []string{platform.SettingsVariable + "=" + settings}))
	c.callers = append(c.callers, address(vm, portCallers))
}

// ordinary returns the request of an ordinary caller that submits a work of one task.
func ordinary(n int) []byte {
	f := form{path: "/check/", body: []byte(`{"Spec":"ordinary","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":900}]}`)}
	return f.request(http.MethodPost, host, id(1<<32+n))
}

// check fails the test if a process has ended, has used more memory than its VM has, or has more connections open than its
// VM's descriptors allow, or if a VM does not answer an ordinary request.
func (c *cell) check(t *testing.T, when string, n int) {
	t.Helper()
	for i, p := range c.processes {
		checkProcess(t, fmt.Sprintf("vm%d %s", i+1, when), p, c.limits)
		if err := sendUntil(t.Context(), c.callers[i], ordinary(n+i), http.StatusOK); err != nil {
			t.Errorf("vm%d %s: an ordinary request is not answered with 200: %v\n%s", i+1, when, err, p.tail())
		}
		checkProcess(t, fmt.Sprintf("vm%d %s, after an ordinary request", i+1, when), p, c.limits)
	}
}

// settle waits until the processes have taken what was sent to them: until their peak memory and descriptors are steady.
func (c *cell) settle(t *testing.T) {
	t.Helper()
	for _, p := range c.processes {
		settleProcess(t, p)
	}
}

func settleProcess(t *testing.T, p *process) {
	t.Helper()
	type state struct {
		peak  int64
		files int
	}
	var last state
	for range settleTries {
		if !p.alive() {
			return
		}
		now := state{p.peakMemory(t), p.openFiles()}
		if now == last {
			return
		}
		last = now
		time.Sleep(settleInterval)
	}
}

// settleInterval and settleTries limit the wait until a process is idle.
const (
	settleInterval = 500 * time.Millisecond
	settleTries    = 20
)

// checkProcess fails the test if a process has ended or is beyond the limits of its VM.
func checkProcess(t *testing.T, when string, p *process, l limits) {
	t.Helper()
	if !p.alive() {
		t.Fatalf("%s: the process has ended\n%s", when, p.tail())
	}
	p.openFiles()
	files, peak := int(p.peakFiles.Load()), p.peakMemory(t)
	t.Logf("%s: peak %d MB and %d descriptors", when, peak>>20, files)
	if peak > int64(l.memoryMB)<<20 {
		t.Errorf("%s: peak memory is %d MB, the VM has %d MB", when, peak>>20, l.memoryMB)
	}
	if files > l.files-reservedFiles {
		t.Errorf("%s: %d descriptors were open, the VM has %d for connections", when, files, l.files-reservedFiles)
	}
}

// play sends a crowd of a form to each of the given VMs and checks all processes while its connections are open and after
// they are closed. Alone, a whole request of the form must be answered with that status first.
func play(t *testing.T, c *cell, f *form, n int, targets []int, alone int) {
	t.Helper()
	for _, vm := range targets {
		if alone == 0 {
			continue
		}
		if got, err := send(t.Context(), c.callers[vm], f.request(http.MethodPost, host, id(100+vm))); err != nil || got != alone {
			t.Errorf("vm%d: a request alone is answered with %d, want %d: %v", vm+1, got, alone, err)
		}
	}
	var crowds []*crowd
	for _, vm := range targets {
		request := func(i int) []byte { return f.request(http.MethodPost, host, id(1<<20*(vm+1)+i)) }
		crowds = append(crowds, newCrowd(t, n, c.callers[vm], request, f, f.holdBack == 0))
	}
	c.settle(t)
	c.check(t, "beside the crowd", 2000)
	for _, crowd := range crowds {
		crowd.close()
	}
	c.check(t, "after the crowd", 3000)
}
