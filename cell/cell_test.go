package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"turmericgap/gate"
	"turmericgap/job"
	"turmericgap/member"
	"turmericgap/rpc"
	standin "turmericgap/standin/worker"
	"turmericgap/view"
)

const (
	zone    = "kochi-hall"
	service = "course-desk"
	workers = 3
	// waitTimeout limits every wait. It is long, so that results do not depend on the machine's speed.
	waitTimeout  = time.Minute
	pollInterval = 200 * time.Millisecond
)

// testCell is a cell of one zone with the platform's stand-ins, two schedulers and two gates.
type testCell struct {
	t             *testing.T
	dir           string
	storeAddr     string
	listAddr      string
	workerAddr    string
	gateAddrs     [2]string
	rpcAddrs      [2]string
	schedulers    [2]*process
	gateProcs     [2]*process
	schedulerArgs [2][]string
}

type process struct{ cmd *exec.Cmd }

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (c *testCell) start(args ...string) *process {
	cmd := exec.Command(filepath.Join(c.dir, args[0]), args[1:]...)
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", args[0], time.Now().UnixNano())))
	if err != nil {
		c.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	p := &process{cmd}
	c.t.Cleanup(func() { p.stop(syscall.SIGKILL) })
	return p
}

// stop continues the process if it is stopped, sends the signal and waits for the process to exit.
func (p *process) stop(s syscall.Signal) {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(s)
		_ = p.cmd.Wait()
	}
}

func newTestCell(t *testing.T) *testCell {
	c := &testCell{t: t, dir: t.TempDir(), storeAddr: freeAddress(t), listAddr: freeAddress(t), workerAddr: freeAddress(t)}
	if out, err := exec.Command("go", "build", "-o", c.dir+"/", "turmericgap/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("build: %s", out)
	}
	c.start("standinstore", "--listen", c.storeAddr)
	c.start("standinlist", "--listen", c.listAddr, "--entry", "entry-0:"+zone, "--entry", "entry-1:"+zone)
	c.start("standinworker", "--listen", c.workerAddr, "--zone", zone, "--count", fmt.Sprint(workers), "--cores", "4", "--register", c.listAddr)
	c.start("standintarget", "--listen", freeAddress(t), "--zone", zone, "--count", "2", "--service", service, "--register", c.listAddr)
	for i := range 2 {
		c.rpcAddrs[i], c.gateAddrs[i] = freeAddress(t), freeAddress(t)
		common := map[string]any{
			"vm": fmt.Sprint("entry-", i), "zone": zone, "zones": []string{zone}, "listAddress": c.listAddr,
			"store": map[string]string{"kind": "etcd", "endpoint": "http://" + c.storeAddr},
		}
		sched := c.settings(common, fmt.Sprint("scheduler-", i), map[string]any{"rpcAddress": c.rpcAddrs[i]})
		gate := c.settings(common, fmt.Sprint("gate-", i), map[string]any{
			"rpcAddress": freeAddress(t), "callerAddress": c.gateAddrs[i], "scheduler": c.rpcAddrs[i],
			"sessionKeys": []string{"a key of this test alone, no secret"},
		})
		c.schedulerArgs[i] = []string{"scheduler", "--settings", sched}
		c.schedulers[i] = c.start(c.schedulerArgs[i]...)
		c.gateProcs[i] = c.start("gate", "--settings", gate)
		if i == 0 {
			c.await(c.submit("first", 1, true)) // The first scheduler owns the zone from now on.
		}
	}
	c.awaitReady("scheduler-1")
	return c
}

// awaitReady waits until the member table shows a scheduler as ready. From then on it can take over when
// the owner's lease expires.
func (c *testCell) awaitReady(id string) {
	client := rpc.NewClient(c.rpcAddrs[0])
	defer client.Close()
	for start := time.Now(); time.Since(start) < waitTimeout; time.Sleep(pollInterval) {
		r, err := rpc.Call[view.NextRequest, view.NextReply](context.Background(), client, view.NextMethod, &view.NextRequest{})
		if err != nil {
			continue
		}
		t, _ := r.View.Table(zone, member.RoleScheduler)
		if m, ok := t.Find(id); ok && m.State == member.Ready {
			return
		}
	}
	c.t.Fatalf("%s is not ready", id)
}

func (c *testCell) settings(common map[string]any, id string, own map[string]any) string {
	all := map[string]any{"id": id}
	for _, m := range []map[string]any{common, own} {
		for k, v := range m {
			all[k] = v
		}
	}
	raw, err := json.Marshal(all)
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(c.dir, id+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// call sends a request to the gates alternately until one returns a success status.
func (c *testCell) call(method, path string, body []byte) *job.Status {
	var last []byte
	for start, i := time.Now(), 0; time.Since(start) < waitTimeout; i++ {
		req, err := http.NewRequest(method, "http://"+c.gateAddrs[i%2]+path, bytes.NewReader(body))
		if err != nil {
			c.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			raw, _ := io.ReadAll(resp.Body)
			last = raw
			resp.Body.Close()
			if resp.StatusCode < http.StatusMultipleChoices {
				st := &job.Status{}
				if err := json.Unmarshal(raw, st); err != nil {
					c.t.Fatal(err)
				}
				return st
			}
		}
		time.Sleep(pollInterval)
	}
	c.t.Fatalf("%s %s: no answer in %v, last %s", method, path, waitTimeout, last)
	return nil
}

func (c *testCell) submit(key string, tasks int, repeatable bool) string {
	raw, err := json.Marshal(&job.Submission{
		Key: key, Team: "team", Class: "class", Kind: job.Batch, Tasks: tasks, Repeatable: repeatable, RunSeconds: 3,
		TaskResources: job.Resources{Millicores: 1000, MemoryMB: 100},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return c.call(http.MethodPost, "/v1/jobs", raw).ID
}

// await waits for a job to end and checks that each task is done in one attempt.
func (c *testCell) await(id string) {
	for start := time.Now(); time.Since(start) < waitTimeout; {
		st := c.call(http.MethodGet, "/v1/jobs/"+id+"/wait?timeoutMillis=2000", nil)
		if st.State != job.Final {
			continue
		}
		for _, k := range st.Tasks {
			if k.Outcome != job.Done || k.Attempt != 1 || k.Answer == nil || !k.Answer.IsIntact() {
				c.t.Errorf("job %s task %d: %s after attempt %d: %s", id, k.Index, k.Outcome, k.Attempt, k.Reason)
			}
		}
		return
	}
	c.t.Errorf("job %s did not end", id)
}

// submitAll submits repeatable and non-repeatable jobs and returns their IDs.
func (c *testCell) submitAll(round string) (ids []string) {
	for i := range 4 {
		ids = append(ids, c.submit(fmt.Sprint(round, "-once-", i), 2, false), c.submit(fmt.Sprint(round, "-again-", i), 2, true))
	}
	return ids
}

func (c *testCell) awaitAll(ids []string) {
	for _, id := range ids {
		c.await(id)
	}
}

// All jobs must be done, each task in its first attempt, when the zone's owner is stopped until its lease
// expires and then continued, killed, or shut down gracefully. Each time the other scheduler takes over
// and recovers the running tasks from the journal and the workers. No worker may get an attempt twice or
// more tasks than fit.
func TestOwnerStoppedKilledAndReplaced(t *testing.T) {
	c := newTestCell(t)
	ids := c.submitAll("stopped")
	if err := c.schedulers[0].cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	c.awaitAll(ids)
	if err := c.schedulers[0].cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	c.awaitAll(c.submitAll("continued"))

	ids = c.submitAll("killed")
	c.schedulers[1].stop(syscall.SIGKILL)
	c.awaitAll(ids)

	c.schedulers[1] = c.start(c.schedulerArgs[1]...)
	c.awaitReady("scheduler-1")
	ids = c.submitAll("handed over")
	c.schedulers[0].stop(syscall.SIGTERM)
	c.awaitAll(ids)

	for i := range workers {
		resp, err := http.Get(fmt.Sprintf("http://%s/w/%d/state", c.workerAddr, i))
		if err != nil {
			t.Fatal(err)
		}
		var s standin.State
		err = json.NewDecoder(resp.Body).Decode(&s)
		resp.Body.Close()
		if err != nil || len(s.Violations) > 0 {
			t.Errorf("worker %d: %v %v", i, err, s.Violations)
		}
	}
}

// A caller sends the requests of a session to a gate without a pause while the gate shuts down gracefully.
// A request that the gate refuses has not run and is sent to the other gate with the same token. Each
// request must be answered, in order, by the same target, and none may be cut off.
func TestSessionOutlivesGate(t *testing.T) {
	c := newTestCell(t)
	token := c.openSession()
	stopped := make(chan struct{})
	gateIndex := 0
	for n := int64(1); n <= 60; n++ {
		if n == 20 {
			go func() {
				defer close(stopped)
				c.gateProcs[0].stop(syscall.SIGTERM)
			}()
		}
		for start := time.Now(); ; {
			if time.Since(start) > waitTimeout {
				t.Fatalf("request %d has no answer", n)
			}
			count, ok := c.send(gateIndex, token)
			if !ok {
				gateIndex = 1 // The first gate refused the request or no longer listens.
				time.Sleep(pollInterval / 10)
				continue
			}
			if count != n {
				t.Fatalf("request %d is number %d at its target", n, count)
			}
			break
		}
	}
	<-stopped
	if gateIndex != 1 {
		t.Error("the session never left its gate")
	}
}

func (c *testCell) openSession() string {
	for start := time.Now(); time.Since(start) < waitTimeout; time.Sleep(pollInterval) {
		resp, err := http.Post("http://"+c.gateAddrs[0]+"/v1/sessions/"+service, "", nil)
		if err != nil {
			continue
		}
		var b gate.Body
		_ = json.NewDecoder(resp.Body).Decode(&b)
		resp.Body.Close()
		if resp.StatusCode == http.StatusCreated {
			return b.Token
		}
	}
	c.t.Fatal("no session was opened")
	return ""
}

// send sends the next request of a session to a gate. It returns the request's number at the target, or
// false if the gate did not run it.
func (c *testCell) send(gateIndex int, token string) (count int64, ok bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.gateAddrs[gateIndex]+"/v1/sessions/"+service+"/requests?method=next", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set(gate.HeaderSession, token)
	resp, err := http.DefaultClient.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return 0, false
	}
	if err != nil {
		c.t.Fatalf("a request was cut off: %v", err)
	}
	defer resp.Body.Close()
	var b gate.Body
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		c.t.Fatal(err)
	}
	switch {
	case b.Outcome == job.NotRun:
		return 0, false
	case b.Outcome != job.Done || !b.Answer.IsIntact():
		c.t.Fatalf("status %d, outcome %q: %s", resp.StatusCode, b.Outcome, b.Reason)
	}
	var echo struct{ Count int64 }
	if err := json.Unmarshal(b.Answer.Body, &echo); err != nil {
		c.t.Fatal(err)
	}
	return echo.Count, true
}
