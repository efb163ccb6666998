package worker_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
	"turmericgap/standin/endpoint"
	standin "turmericgap/standin/worker"
	"turmericgap/webcall"
	"turmericgap/worker"
	"turmericgap/worker/web"
)

const lease = 1500

var (
	info  = worker.Info{ID: "w", Address: "10.0.0.1:7200/w/0", Has: job.Resources{Millicores: 4000, MemoryMB: 4000}}
	small = job.Resources{Millicores: 1000, MemoryMB: 1000}
)

// fixture is a stand-in worker and a client of it.
type fixture struct {
	*is.I
	*worker.Client
	standIn *standin.Worker
	ctx     context.Context
	cursor  int64
}

func (f *fixture) start(s worker.Start) *worker.Report {
	s.Class, s.LeaseMillis = "roster", lease
	r, err := f.Start(f.ctx, &s)
	f.NoErr(err)
	return r
}

func (f *fixture) stop(attempt string) *worker.Report {
	r, err := f.Act(f.ctx, &worker.Act{Attempt: attempt, Verb: worker.Stop})
	f.NoErr(err)
	return r
}

// heartbeat asks for what changed since the last heartbeat.
func (f *fixture) heartbeat(wait time.Duration, forget ...string) *worker.HeartbeatReply {
	h, err := f.Heartbeat(f.ctx, &worker.Heartbeat{
		Cursor: f.cursor, LeaseMillis: lease, WaitMillis: wait.Milliseconds(), Forget: forget,
	})
	f.NoErr(err)
	f.cursor = h.Cursor
	return h
}

// withTimeout returns a context that is cancelled after d.
func (f *fixture) withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// clientKinds builds a client of the stand-in over each transport.
var clientKinds = map[string]func(*standin.Worker) (*worker.Client, func()){
	"in process": func(w *standin.Worker) (*worker.Client, func()) { return w.Client(), func() {} },
	"over HTTP": func(w *standin.Worker) (*worker.Client, func()) {
		mux := endpoint.NewPipe(http.StripPrefix("/w/0", w.Handler()))
		pool := webcall.New(webcall.Dial(mux.Dial))
		return web.New(pool)(info, func() bool { return true }), func() { pool.Close(); mux.Close() }
	},
}

type testCase struct {
	name string
	opts []standin.Option
	do   func(f *fixture)
}

// run runs each case with each kind of client, on a virtual clock.
func run(t *testing.T, cases []testCase) {
	for kind, build := range clientKinds {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := standin.New(info, append(c.opts, standin.UsageLag(100*time.Millisecond))...)
					client, stop := build(w)
					defer stop()
					defer w.Close()
					c.do(&fixture{I: is.New(t), Client: client, standIn: w, ctx: t.Context()})
				})
			})
		}
	}
}

func TestContract(t *testing.T) {
	run(t, []testCase{
		{"a task runs and returns its answer", nil, func(f *fixture) {
			f.Equal(f.start(worker.Start{Attempt: "j/0/1", Resources: small}).State, worker.Running)
			f.True(f.heartbeat(0).Full)
			h := f.heartbeat(5 * time.Second)
			f.Equal(h.Reports[0].State, worker.Ended)
			f.Equal(string(h.Reports[0].Answer.Body), "roster done attempt j/0/1")
			f.Equal(f.standIn.State().Used, job.Resources{})
		}},
		{"a repeated start has no effect in any state", nil, func(f *fixture) {
			for _, want := range []worker.State{worker.Running, worker.Running, worker.Ended} {
				f.Equal(f.start(worker.Start{Attempt: "j/0/1", Resources: small}).State, want)
				time.Sleep(30 * time.Millisecond)
			}
			f.start(worker.Start{Attempt: "j/1/1", Service: true})
			f.Equal(f.stop("j/1/1").State, worker.Stopped)
			f.Equal(f.start(worker.Start{Attempt: "j/1/1"}).State, worker.Stopped)
			f.Equal(f.standIn.State().Starts, int64(2))
		}},
		{"a stop before the start forbids the attempt", nil, func(f *fixture) {
			f.Equal(f.stop("j/0/1").State, worker.Forbidden)
			f.Equal(f.start(worker.Start{Attempt: "j/0/1"}).State, worker.Forbidden)
			f.heartbeat(0, "j/0/1")
			f.Equal(f.start(worker.Start{Attempt: "j/0/1"}).State, worker.Forbidden)
			f.Equal(f.standIn.State().Starts, int64(0))
		}},
		{"a late start after the end was forgotten does not run", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1"})
			time.Sleep(time.Second)
			f.heartbeat(0, "j/0/1")
			f.Equal(f.standIn.State().Kept, 0)
			f.Equal(f.start(worker.Start{Attempt: "j/0/1"}).State, worker.Ended)
			f.Equal(f.standIn.State().Starts, int64(1))
		}},
		{"a running attempt is not forgotten", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Service: true})
			f.heartbeat(0, "j/0/1")
			f.Equal(f.standIn.State().Running, 1)
		}},
		{"a lease expires unless it is renewed", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Service: true})
			for range 5 {
				time.Sleep(time.Second)
				f.heartbeat(0)
			}
			f.Equal(f.standIn.State().Running, 1)
			time.Sleep(2 * time.Second)
			f.Equal(f.heartbeat(0).Reports[0].State, worker.Stopped)
		}},
		{"a heartbeat waits for a change up to its limit", nil, func(f *fixture) {
			f.heartbeat(0)
			began := time.Now()
			f.Equal(len(f.heartbeat(2*time.Second).Reports), 0)
			f.Equal(time.Since(began), 2*time.Second)
			time.AfterFunc(time.Second, func() { f.start(worker.Start{Attempt: "j/0/1", Service: true}) })
			f.Equal(f.heartbeat(2 * time.Second).Reports[0].State, worker.Running)
			f.Equal(time.Since(began), 3*time.Second)
			synctest.Wait()
		}},
		{"a restart loses all attempts and changes the boot ID", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Service: true})
			boot := f.heartbeat(0).Boot
			f.standIn.Restart()
			h := f.heartbeat(5 * time.Second)
			f.True(h.Boot != boot)
			f.True(h.Full)
			f.Equal(len(h.Reports), 0)
			f.start(worker.Start{Attempt: "j/0/1"})
			f.Equal(f.standIn.Violations(), []string{"attempt ran twice: j/0/1"})
		}},
		{"usage is reported late and follows the throttle", nil, func(f *fixture) {
			r := f.start(worker.Start{Attempt: "j/0/1", Resources: small, Service: true})
			f.Equal(r.Usage, job.Resources{})
			time.Sleep(time.Second)
			f.Equal(f.heartbeat(0).Reports[0].Usage, small)
			r, err := f.Act(f.ctx, &worker.Act{Attempt: "j/0/1", Verb: worker.Throttle, Millicores: 300})
			f.NoErr(err)
			f.Equal(r.Usage.Millicores, int64(300))
		}},
		{"a start resumes from a checkpoint", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", RunSeconds: 10, Resources: small})
			time.Sleep(time.Second)
			r, err := f.Act(f.ctx, &worker.Act{Attempt: "j/0/1", Verb: worker.Checkpoint})
			f.NoErr(err)
			f.stop("j/0/1")
			f.start(worker.Start{Attempt: "j/0/2", RunSeconds: 2, Checkpoint: r.Checkpoint})
			time.Sleep(1100 * time.Millisecond)
			f.Equal(f.start(worker.Start{Attempt: "j/0/2"}).State, worker.Ended)
		}},
		{"RejectInvalid refuses oversized starts and old epochs", []standin.Option{standin.RejectInvalid()}, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Resources: small.Times(3), Epoch: 7})
			for _, s := range []worker.Start{
				{Attempt: "j/1/1", Resources: small.Times(2), Epoch: 7}, {Attempt: "j/2/1", Resources: small, Epoch: 6},
			} {
				_, err := f.Start(f.ctx, &s)
				f.True(errors.Is(err, worker.ErrRefused))
			}
			f.Equal(f.standIn.State().Starts, int64(1))
		}},
		{"without RejectInvalid violations are executed and recorded", []standin.Option{standin.TaskOf(taskOf)}, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Resources: small.Times(3), Epoch: 7})
			f.start(worker.Start{Attempt: "j/0/2", Resources: small.Times(2), Epoch: 6})
			f.Equal(f.standIn.State().Starts, int64(2))
			v := f.standIn.Violations()
			f.True(strings.HasPrefix(v[0], "overfilled by j/0/2"))
			f.Equal(v[1], "two attempts of one task at a time: j/0/1 and j/0/2")
		}},
		{"an act on an unknown attempt is refused", nil, func(f *fixture) {
			_, err := f.Act(f.ctx, &worker.Act{Attempt: "j/0/1", Verb: worker.Throttle})
			f.True(errors.Is(err, worker.ErrRefused))
		}},
	})
}

// A start that fails with neither ErrNotSent nor ErrRefused may have taken effect, may not have, or may
// take effect later. Repeating the start must resolve this without running the task twice.
func TestStartUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  standin.Fault
		starts int64 // Starts that took effect by the time of the error.
		later  int64 // Starts that took effect by 5 seconds after the fault ended.
	}{
		{"down", standin.Fault{Down: true}, 0, 0},
		{"answer lost", standin.Fault{LoseAnswers: 1}, 1, 1},
		{"delayed beyond the deadline", standin.Fault{DelayMillis: 3000}, 0, 1},
		{"frozen", standin.Fault{Frozen: true}, 0, 1},
		{"frozen and answer lost", standin.Fault{Frozen: true, LoseAnswers: 1}, 0, 1},
		{"delayed and frozen", standin.Fault{Frozen: true, DelayMillis: 3000}, 0, 1},
	}
	var all []testCase
	for _, c := range cases {
		all = append(all, testCase{c.name, nil, func(f *fixture) {
			f.standIn.SetFault(c.fault)
			_, err := f.Start(f.withTimeout(time.Second), &worker.Start{Attempt: "j/0/1", Service: true})
			f.True(err != nil)
			f.True(!errors.Is(err, worker.ErrNotSent) && !errors.Is(err, worker.ErrRefused))
			f.Equal(f.standIn.State().Starts, c.starts)
			f.standIn.SetFault(standin.Fault{})
			time.Sleep(5 * time.Second)
			f.Equal(f.standIn.State().Starts, c.later)
			f.Equal(f.start(worker.Start{Attempt: "j/0/1", Service: true}).State, worker.Running)
			f.Equal(f.standIn.State().Starts, int64(1))
			f.Equal(len(f.standIn.Violations()), 0)
		}})
	}
	run(t, all)
}

func TestFaultsOfTasks(t *testing.T) {
	run(t, []testCase{
		// An answer is truncated in transit. The cursor of that reply must not be kept, so that the
		// next heartbeat returns the complete answer.
		{"a truncated answer is requested again", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Resources: small})
			f.heartbeat(0)
			f.standIn.SetFault(standin.Fault{Truncate: 1})
			_, err := f.Heartbeat(f.ctx, &worker.Heartbeat{Cursor: f.cursor, WaitMillis: 1000})
			f.True(errors.Is(err, worker.ErrTruncated))
			f.True(f.heartbeat(0).Reports[0].Answer.IsIntact())
		}},
		// A worker truncates the answer of one attempt every time. After some errors the reply must be
		// accepted, or the reports of all its other attempts would be withheld.
		{"an always truncated answer does not withhold others", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Resources: small})
			f.standIn.SetFault(standin.Fault{Truncate: 100})
			time.Sleep(time.Second)
			for range worker.MaxTruncatedReplies {
				_, err := f.Heartbeat(f.ctx, &worker.Heartbeat{})
				f.True(errors.Is(err, worker.ErrTruncated))
			}
			f.True(!f.heartbeat(0).Reports[0].Answer.IsIntact())
			_, err := f.Heartbeat(f.ctx, &worker.Heartbeat{})
			f.True(errors.Is(err, worker.ErrTruncated))
		}},
		{"a worker that fails all tasks returns failed answers", nil, func(f *fixture) {
			f.standIn.SetFault(standin.Fault{FailAll: true})
			r := f.start(worker.Start{Attempt: "j/0/1", Resources: small})
			f.Equal(r.State, worker.Ended)
			f.Equal(r.Answer.Exit, 1)
			f.Equal(f.standIn.State().Used, job.Resources{})
		}},
		// Ten large answers accumulate at a worker during a store outage, and a new owner asks for
		// everything. They exceed one reply, which lists all attempts; the ends follow in later replies.
		{"answers that exceed one reply are split", []standin.Option{standin.Answer(largeAnswer)}, func(f *fixture) {
			for i := range 10 {
				f.start(worker.Start{Attempt: fmt.Sprint("j/0/", i)})
			}
			time.Sleep(time.Second)
			h := f.heartbeat(0)
			f.True(h.Full)
			f.Equal(len(h.Reports), 10)
			ended := map[string]bool{}
			for heartbeats := 0; len(ended) < 10; heartbeats++ {
				f.True(heartbeats < 10)
				for _, r := range h.Reports {
					ended[r.Attempt] = ended[r.Attempt] || r.State == worker.Ended && r.Answer.IsIntact()
				}
				maps.DeleteFunc(ended, func(_ string, intact bool) bool { return !intact })
				h = f.heartbeat(0)
				f.True(!h.Full)
			}
		}},
		// The VM freezes, the lease expires, and a heartbeat is queued until the VM resumes. By then the
		// owner has given up the attempt, so the heartbeat must find it stopped.
		{"a queued renewal does not revive an expired lease", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Service: true})
			f.standIn.SetFault(standin.Fault{Frozen: true})
			go func() {
				time.Sleep(3 * time.Second)
				f.standIn.SetFault(standin.Fault{})
			}()
			h := f.heartbeat(0)
			f.Equal(h.Reports[0].State, worker.Stopped)
		}},
		{"a frozen worker reports usage late", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1", Resources: small, RunSeconds: 5})
			f.standIn.SetFault(standin.Fault{Frozen: true})
			time.Sleep(time.Second)
			f.standIn.SetFault(standin.Fault{})
			f.Equal(f.heartbeat(0).Reports[0].Usage, small)
		}},
		// The VM freezes and the task ends before its lease expires; the end is reported after the freeze.
		{"a frozen worker reports an end late", nil, func(f *fixture) {
			f.start(worker.Start{Attempt: "j/0/1"})
			f.standIn.SetFault(standin.Fault{Frozen: true})
			time.Sleep(time.Second)
			f.Equal(f.standIn.State().Running, 1)
			f.standIn.SetFault(standin.Fault{})
			f.Equal(f.heartbeat(0).Reports[0].State, worker.Ended)
		}},
		// A start is queued at a frozen VM, which is then restarted. The owner sees the new boot ID and
		// places the task elsewhere. If the queued start, from a connection that is closed, ran now, the
		// task would run twice.
		{"a start queued before a restart never runs", nil, func(f *fixture) {
			for _, fault := range []standin.Fault{{Frozen: true}, {DelayMillis: 3000}} {
				f.standIn.SetFault(fault)
				_, err := f.Start(f.withTimeout(time.Second), &worker.Start{Attempt: "j/0/1", Service: true})
				f.True(err != nil && !errors.Is(err, worker.ErrNotSent))
				f.standIn.Restart()
				f.standIn.SetFault(standin.Fault{})
				time.Sleep(5 * time.Second)
				f.Equal(f.standIn.State().Starts, int64(0))
			}
		}},
		// The reply to a start is lost and the worker restarts before the repeat, which would run the task
		// again. Only the changed boot ID shows this, so the owner must ask for it before any repeat.
		{"reply lost, then restarted", nil, func(f *fixture) {
			boot := f.heartbeat(0).Boot
			f.standIn.SetFault(standin.Fault{LoseAnswers: 1})
			_, err := f.Start(f.ctx, &worker.Start{Attempt: "j/0/1", Service: true})
			f.True(err != nil)
			f.standIn.Restart()
			h := f.heartbeat(0)
			f.True(h.Boot != boot && h.Full && len(h.Reports) == 0)
		}},
	})
}

func TestForgottenAttemptsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{I: is.New(t), standIn: standin.New(info), ctx: t.Context()}
		f.Client = f.standIn.Client()
		ids := []string{}
		for i := range 2 * standin.MaxForgotten {
			ids = append(ids, "j/"+strings.Repeat("x", i%50)+string(rune('a'+i/50)))
			f.stop(ids[i])
		}
		f.heartbeat(0, ids...)
		f.Equal(f.standIn.State().Kept, 0)
		f.Equal(f.standIn.State().Forgotten, standin.MaxForgotten)
		time.Sleep(standin.ForgottenRetention + time.Second)
		f.stop("last")
		f.heartbeat(0, "last")
		f.Equal(f.standIn.State().Forgotten, 1)
		f.standIn.Close()
	})
}

func largeAnswer(*worker.Start, int) []byte { return make([]byte, standin.MaxReplyBytes/2) }

func taskOf(attempt string) string { return attempt[:strings.LastIndexByte(attempt, '/')] }
