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
	// patience bounds every wait; a verdict never depends on how fast anything is.
	patience = time.Minute
	pause    = 200 * time.Millisecond
)

// world is a cell of one zone: the platform's stand-ins, two schedulers and two gates.
type world struct {
	t      *testing.T
	dir    string
	store  string
	list   string
	worker string
	gates  [2]string
	rpc    [2]string
	scheds [2]*proc
	doors  [2]*proc
	specs  [2][]string
}

type proc struct{ cmd *exec.Cmd }

func address(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (w *world) start(args ...string) *proc {
	cmd := exec.Command(filepath.Join(w.dir, args[0]), args[1:]...)
	log, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("%s-%d.log", args[0], time.Now().UnixNano())))
	if err != nil {
		w.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	p := &proc{cmd}
	w.t.Cleanup(func() { p.end(syscall.SIGKILL) })
	return p
}

// end sends a signal that ends the process, and waits for it.
func (p *proc) end(s syscall.Signal) {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(s)
		_ = p.cmd.Wait()
	}
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, dir: t.TempDir(), store: address(t), list: address(t), worker: address(t)}
	if out, err := exec.Command("go", "build", "-o", w.dir+"/", "turmericgap/cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("build: %s", out)
	}
	w.start("standinstore", "--listen", w.store)
	w.start("standinlist", "--listen", w.list, "--entry", "entry-0:"+zone, "--entry", "entry-1:"+zone)
	w.start("standinworker", "--listen", w.worker, "--zone", zone, "--count", fmt.Sprint(workers), "--cores", "4", "--register", w.list)
	w.start("standintarget", "--listen", address(t), "--zone", zone, "--count", "2", "--service", service, "--register", w.list)
	for i := range 2 {
		w.rpc[i], w.gates[i] = address(t), address(t)
		common := map[string]any{
			"vm": fmt.Sprint("entry-", i), "zone": zone, "zones": []string{zone}, "listAddress": w.list,
			"store": map[string]string{"kind": "etcd", "endpoint": "http://" + w.store},
		}
		sched := w.settings(common, fmt.Sprint("scheduler-", i), map[string]any{"rpcAddress": w.rpc[i]})
		gate := w.settings(common, fmt.Sprint("gate-", i), map[string]any{
			"rpcAddress": address(t), "callerAddress": w.gates[i], "scheduler": w.rpc[i],
			"sessionKeys": []string{"a key of this test alone, no secret"},
		})
		w.specs[i] = []string{"scheduler", "--settings", sched}
		w.scheds[i] = w.start(w.specs[i]...)
		w.doors[i] = w.start("gate", "--settings", gate)
		if i == 0 {
			w.await(w.submit("first", 1, true)) // the first scheduler owns the zone from now on
		}
	}
	w.awaitReady("scheduler-1")
	return w
}

// awaitReady waits until a scheduler's table shows it as ready: the others know it, so that their
// lapse lets it take over.
func (w *world) awaitReady(id string) {
	client := rpc.NewClient(w.rpc[0])
	defer client.Close()
	for began := time.Now(); time.Since(began) < patience; time.Sleep(pause) {
		r, err := rpc.Call[view.NextRequest, view.NextReply](context.Background(), client, view.NextMethod, &view.NextRequest{})
		if err != nil {
			continue
		}
		t, _ := r.View.Table(zone, member.RoleScheduler)
		if m, ok := t.Find(id); ok && m.State == member.Ready {
			return
		}
	}
	w.t.Fatalf("%s is not ready", id)
}

func (w *world) settings(common map[string]any, id string, own map[string]any) string {
	all := map[string]any{"id": id}
	for _, m := range []map[string]any{common, own} {
		for k, v := range m {
			all[k] = v
		}
	}
	raw, err := json.Marshal(all)
	if err != nil {
		w.t.Fatal(err)
	}
	path := filepath.Join(w.dir, id+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// call asks both gates in turn until one gives an answer that is not "come back later".
func (w *world) call(method, path string, body []byte) *job.Status {
	var last []byte
	for began, i := time.Now(), 0; time.Since(began) < patience; i++ {
		req, err := http.NewRequest(method, "http://"+w.gates[i%2]+path, bytes.NewReader(body))
		if err != nil {
			w.t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			raw, _ := io.ReadAll(resp.Body)
			last = raw
			resp.Body.Close()
			if resp.StatusCode < http.StatusMultipleChoices {
				st := &job.Status{}
				if err := json.Unmarshal(raw, st); err != nil {
					w.t.Fatal(err)
				}
				return st
			}
		}
		time.Sleep(pause)
	}
	w.t.Fatalf("%s %s: no answer in %v, last %s", method, path, patience, last)
	return nil
}

func (w *world) submit(key string, tasks int, repeatable bool) string {
	raw, err := json.Marshal(&job.Submission{
		Key: key, Team: "team", Class: "class", Kind: job.Batch, Tasks: tasks, Repeatable: repeatable, RunSeconds: 3,
		TaskResources: job.Resources{Millicores: 1000, MemoryMB: 100},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return w.call(http.MethodPost, "/v1/jobs", raw).ID
}

// await waits for the end of a job and checks that it is done in one attempt a task.
func (w *world) await(id string) {
	for began := time.Now(); time.Since(began) < patience; {
		st := w.call(http.MethodGet, "/v1/jobs/"+id+"/wait?timeoutMillis=2000", nil)
		if st.State != job.Final {
			continue
		}
		for _, k := range st.Tasks {
			if k.Outcome != job.Done || k.Attempt != 1 || k.Answer == nil || !k.Answer.IsIntact() {
				w.t.Errorf("job %s task %d: %s after attempt %d: %s", id, k.Index, k.Outcome, k.Attempt, k.Reason)
			}
		}
		return
	}
	w.t.Errorf("job %s has no end", id)
}

// load submits work of both kinds and gives the jobs' ids.
func (w *world) load(round string) (ids []string) {
	for i := range 4 {
		ids = append(ids, w.submit(fmt.Sprint(round, "-once-", i), 2, false), w.submit(fmt.Sprint(round, "-again-", i), 2, true))
	}
	return ids
}

func (w *world) awaitAll(ids []string) {
	for _, id := range ids {
		w.await(id)
	}
}

// The callers see all of their jobs done, each task by its first attempt, whatever happens to the
// owner of the zone: stopped by a signal past its lease and continued, killed, stopped in order.
// Each time the other scheduler takes over, finds what runs by the journal and the workers, and goes
// on. No worker sees an attempt twice or more than it holds.
func TestOwnerStoppedKilledAndReplaced(t *testing.T) {
	w := newWorld(t)
	ids := w.load("stopped")
	if err := w.scheds[0].cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	w.awaitAll(ids)
	if err := w.scheds[0].cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	w.awaitAll(w.load("continued"))

	ids = w.load("killed")
	w.scheds[1].end(syscall.SIGKILL)
	w.awaitAll(ids)

	w.scheds[1] = w.start(w.specs[1]...)
	w.awaitReady("scheduler-1")
	ids = w.load("handed over")
	w.scheds[0].end(syscall.SIGTERM)
	w.awaitAll(ids)

	for i := range workers {
		resp, err := http.Get(fmt.Sprintf("http://%s/w/%d/state", w.worker, i))
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

// The caller of a session sees each of its requests answered, in order, by the same target.
// It talks to a gate without pause while that gate is stopped in order; what the gate then refuses
// was not run, and goes on at the other gate with the same token. Nothing is cut off half way.
func TestSessionOutlivesGate(t *testing.T) {
	w := newWorld(t)
	token := w.openSession()
	gone := make(chan struct{})
	at := 0
	for n := int64(1); n <= 60; n++ {
		if n == 20 {
			go func() {
				defer close(gone)
				w.doors[0].end(syscall.SIGTERM)
			}()
		}
		for began := time.Now(); ; {
			if time.Since(began) > patience {
				t.Fatalf("request %d has no answer", n)
			}
			count, ok := w.ask(at, token)
			if !ok {
				at = 1 // not run here, or nothing listens here any more
				time.Sleep(pause / 10)
				continue
			}
			if count != n {
				t.Fatalf("request %d is number %d at its target", n, count)
			}
			break
		}
	}
	<-gone
	if at != 1 {
		t.Error("the session never left its gate")
	}
}

func (w *world) openSession() string {
	for began := time.Now(); time.Since(began) < patience; time.Sleep(pause) {
		resp, err := http.Post("http://"+w.gates[0]+"/v1/sessions/"+service, "", nil)
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
	w.t.Fatal("no session was opened")
	return ""
}

// ask sends the next request of a session to a gate. It gives the request's number at the target;
// false means that the gate surely did not run it.
func (w *world) ask(door int, token string) (count int64, ok bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+w.gates[door]+"/v1/sessions/"+service+"/requests?method=next", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set(gate.HeaderSession, token)
	resp, err := http.DefaultClient.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return 0, false
	}
	if err != nil {
		w.t.Fatalf("a request was cut off: %v", err)
	}
	defer resp.Body.Close()
	var b gate.Body
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
		w.t.Fatal(err)
	}
	switch {
	case b.Outcome == job.NotRun:
		return 0, false
	case b.Outcome != job.Done || !b.Answer.IsIntact():
		w.t.Fatalf("status %d, outcome %q: %s", resp.StatusCode, b.Outcome, b.Reason)
	}
	var echo struct{ Count int64 }
	if err := json.Unmarshal(b.Answer.Body, &echo); err != nil {
		w.t.Fatal(err)
	}
	return echo.Count, true
}
