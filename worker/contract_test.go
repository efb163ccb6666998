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

// bench is one worker and a client of it.
type bench struct {
	*is.I
	*worker.Client
	at   *standin.Worker
	ctx  context.Context
	last int64
}

func (b *bench) start(s worker.Start) *worker.Report {
	s.Class, s.LeaseMillis = "roster", lease
	r, err := b.Start(b.ctx, &s)
	b.NoErr(err)
	return r
}

func (b *bench) stop(attempt string) *worker.Report {
	r, err := b.Act(b.ctx, &worker.Act{Attempt: attempt, Verb: worker.Stop})
	b.NoErr(err)
	return r
}

// beat asks for what changed since the last beat.
func (b *bench) beat(wait time.Duration, forget ...string) *worker.HeartbeatReply {
	h, err := b.Heartbeat(b.ctx, &worker.Heartbeat{
		Cursor: b.last, LeaseMillis: lease, WaitMillis: wait.Milliseconds(), Forget: forget,
	})
	b.NoErr(err)
	b.last = h.Cursor
	return h
}

// within gives a context that ends after d.
func (b *bench) within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(b.ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// kinds makes a client of the stand-in in each way that the project has.
var kinds = map[string]func(*standin.Worker) (*worker.Client, func()){
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
	do   func(b *bench)
}

// run runs each case over each kind of client, on the virtual clock.
func run(t *testing.T, cases []testCase) {
	for kind, build := range kinds {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := standin.New(info, append(c.opts, standin.UsageLag(100*time.Millisecond))...)
					client, stop := build(w)
					defer stop()
					defer w.Close()
					c.do(&bench{I: is.New(t), Client: client, at: w, ctx: t.Context()})
				})
			})
		}
	}
}

func TestContract(t *testing.T) {
	run(t, []testCase{
		{"a task runs and gives its whole answer", nil, func(b *bench) {
			b.Equal(b.start(worker.Start{Attempt: "j/0/1", Resources: small}).State, worker.Running)
			b.True(b.beat(0).Full)
			h := b.beat(5 * time.Second)
			b.Equal(h.Reports[0].State, worker.Ended)
			b.Equal(string(h.Reports[0].Answer.Body), "roster done attempt j/0/1")
			b.Equal(b.at.State().Used, job.Resources{})
		}},
		{"a repeat changes nothing, whatever the state", nil, func(b *bench) {
			for _, want := range []worker.State{worker.Running, worker.Running, worker.Ended} {
				b.Equal(b.start(worker.Start{Attempt: "j/0/1", Resources: small}).State, want)
				time.Sleep(30 * time.Millisecond)
			}
			b.start(worker.Start{Attempt: "j/1/1", Service: true})
			b.Equal(b.stop("j/1/1").State, worker.Stopped)
			b.Equal(b.start(worker.Start{Attempt: "j/1/1"}).State, worker.Stopped)
			b.Equal(b.at.State().Starts, int64(2))
		}},
		{"a stop before the start forbids it for ever", nil, func(b *bench) {
			b.Equal(b.stop("j/0/1").State, worker.Forbidden)
			b.Equal(b.start(worker.Start{Attempt: "j/0/1"}).State, worker.Forbidden)
			b.beat(0, "j/0/1")
			b.Equal(b.start(worker.Start{Attempt: "j/0/1"}).State, worker.Forbidden)
			b.Equal(b.at.State().Starts, int64(0))
		}},
		{"a late start after the end was forgotten runs nothing", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1"})
			time.Sleep(time.Second)
			b.beat(0, "j/0/1")
			b.Equal(b.at.State().Kept, 0)
			b.Equal(b.start(worker.Start{Attempt: "j/0/1"}).State, worker.Ended)
			b.Equal(b.at.State().Starts, int64(1))
		}},
		{"what runs is not forgotten", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Service: true})
			b.beat(0, "j/0/1")
			b.Equal(b.at.State().Running, 1)
		}},
		{"a lease lapses unless it is renewed", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Service: true})
			for range 5 {
				time.Sleep(time.Second)
				b.beat(0)
			}
			b.Equal(b.at.State().Running, 1)
			time.Sleep(2 * time.Second)
			b.Equal(b.beat(0).Reports[0].State, worker.Stopped)
		}},
		{"a heartbeat waits for a change and no longer than asked", nil, func(b *bench) {
			b.beat(0)
			began := time.Now()
			b.Equal(len(b.beat(2*time.Second).Reports), 0)
			b.Equal(time.Since(began), 2*time.Second)
			time.AfterFunc(time.Second, func() { b.start(worker.Start{Attempt: "j/0/1", Service: true}) })
			b.Equal(b.beat(2 * time.Second).Reports[0].State, worker.Running)
			b.Equal(time.Since(began), 3*time.Second)
			synctest.Wait()
		}},
		{"a restart loses all memory and says so", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Service: true})
			boot := b.beat(0).Boot
			b.at.Restart()
			h := b.beat(5 * time.Second)
			b.True(h.Boot != boot)
			b.True(h.Full)
			b.Equal(len(h.Reports), 0)
			b.start(worker.Start{Attempt: "j/0/1"})
			b.Equal(b.at.Violations(), []string{"attempt ran twice: j/0/1"})
		}},
		{"usage comes late and follows the throttle", nil, func(b *bench) {
			r := b.start(worker.Start{Attempt: "j/0/1", Resources: small, Service: true})
			b.Equal(r.Usage, job.Resources{})
			time.Sleep(time.Second)
			b.Equal(b.beat(0).Reports[0].Usage, small)
			r, err := b.Act(b.ctx, &worker.Act{Attempt: "j/0/1", Verb: worker.Throttle, Millicores: 300})
			b.NoErr(err)
			b.Equal(r.Usage.Millicores, int64(300))
		}},
		{"a start goes on from a checkpoint", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", RunSeconds: 10, Resources: small})
			time.Sleep(time.Second)
			r, err := b.Act(b.ctx, &worker.Act{Attempt: "j/0/1", Verb: worker.Checkpoint})
			b.NoErr(err)
			b.stop("j/0/1")
			b.start(worker.Start{Attempt: "j/0/2", RunSeconds: 2, Checkpoint: r.Checkpoint})
			time.Sleep(1100 * time.Millisecond)
			b.Equal(b.start(worker.Start{Attempt: "j/0/2"}).State, worker.Ended)
		}},
		{"guards refuse what does not fit and old epochs", []standin.Option{standin.RejectInvalid()}, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Resources: small.Times(3), Epoch: 7})
			for _, s := range []worker.Start{
				{Attempt: "j/1/1", Resources: small.Times(2), Epoch: 7}, {Attempt: "j/2/1", Resources: small, Epoch: 6},
			} {
				_, err := b.Start(b.ctx, &s)
				b.True(errors.Is(err, worker.ErrRefused))
			}
			b.Equal(b.at.State().Starts, int64(1))
		}},
		{"without guards what must not be is done and told", []standin.Option{standin.TaskOf(cut)}, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Resources: small.Times(3), Epoch: 7})
			b.start(worker.Start{Attempt: "j/0/2", Resources: small.Times(2), Epoch: 6})
			b.Equal(b.at.State().Starts, int64(2))
			v := b.at.Violations()
			b.True(strings.HasPrefix(v[0], "overfilled by j/0/2"))
			b.Equal(v[1], "two attempts of one task at a time: j/0/1 and j/0/2")
		}},
		{"an act on what is not known is refused", nil, func(b *bench) {
			_, err := b.Act(b.ctx, &worker.Act{Attempt: "j/0/1", Verb: worker.Throttle})
			b.True(errors.Is(err, worker.ErrRefused))
		}},
	})
}

// The caller of a start gets an error that is neither ErrNotSent nor ErrRefused, since it cannot know
// whether the start took effect. In some cases it did, in some it did not, in some it does later.
// The repeat of the start finds out, without running the task twice.
func TestStartUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  standin.Fault
		starts int64 // Taken effect when the error is there,
		later  int64 // and some time after the fault has ended.
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
		all = append(all, testCase{c.name, nil, func(b *bench) {
			b.at.SetFault(c.fault)
			_, err := b.Start(b.within(time.Second), &worker.Start{Attempt: "j/0/1", Service: true})
			b.True(err != nil)
			b.True(!errors.Is(err, worker.ErrNotSent) && !errors.Is(err, worker.ErrRefused))
			b.Equal(b.at.State().Starts, c.starts)
			b.at.SetFault(standin.Fault{})
			time.Sleep(5 * time.Second)
			b.Equal(b.at.State().Starts, c.later)
			b.Equal(b.start(worker.Start{Attempt: "j/0/1", Service: true}).State, worker.Running)
			b.Equal(b.at.State().Starts, int64(1))
			b.Equal(len(b.at.Violations()), 0)
		}})
	}
	run(t, all)
}

func TestFaultsOfTasks(t *testing.T) {
	run(t, []testCase{
		// The owner sees a heartbeat fail and asks again. The answer was cut on its way, and the
		// cursor of the cut reply is not kept, so that the next heartbeat brings the whole answer.
		{"a cut answer is asked for again", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Resources: small})
			b.beat(0)
			b.at.SetFault(standin.Fault{Truncate: 1})
			_, err := b.Heartbeat(b.ctx, &worker.Heartbeat{Cursor: b.last, WaitMillis: 1000})
			b.True(errors.Is(err, worker.ErrTruncated))
			b.True(b.beat(0).Reports[0].Answer.IsIntact())
		}},
		// A worker cuts the answer of one attempt for ever; another attempt ends well beside it.
		// After some errors the reply comes through, and the owner sees which answer is not whole.
		{"an answer that is cut for ever holds back no others", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Resources: small})
			b.at.SetFault(standin.Fault{Truncate: 100})
			time.Sleep(time.Second)
			for range worker.MaxTruncatedReplies {
				_, err := b.Heartbeat(b.ctx, &worker.Heartbeat{})
				b.True(errors.Is(err, worker.ErrTruncated))
			}
			b.True(!b.beat(0).Reports[0].Answer.IsIntact())
			_, err := b.Heartbeat(b.ctx, &worker.Heartbeat{})
			b.True(errors.Is(err, worker.ErrTruncated))
		}},
		{"a worker that fails all gives failed answers", nil, func(b *bench) {
			b.at.SetFault(standin.Fault{FailAll: true})
			r := b.start(worker.Start{Attempt: "j/0/1", Resources: small})
			b.Equal(r.State, worker.Ended)
			b.Equal(r.Answer.Exit, 1)
			b.Equal(b.at.State().Used, job.Resources{})
		}},
		// Ten large answers wait at a worker while the store is out; then a new owner asks for all.
		// One reply would be beyond its bound. It names all attempts, and the ends come in parts.
		{"answers beyond one reply come in parts", []standin.Option{standin.Answer(large)}, func(b *bench) {
			for i := range 10 {
				b.start(worker.Start{Attempt: fmt.Sprint("j/0/", i)})
			}
			time.Sleep(time.Second)
			h := b.beat(0)
			b.True(h.Full)
			b.Equal(len(h.Reports), 10)
			ended := map[string]bool{}
			for beats := 0; len(ended) < 10; beats++ {
				b.True(beats < 10)
				for _, r := range h.Reports {
					ended[r.Attempt] = ended[r.Attempt] || r.State == worker.Ended && r.Answer.IsIntact()
				}
				maps.DeleteFunc(ended, func(_ string, whole bool) bool { return !whole })
				h = b.beat(0)
				b.True(!h.Full)
			}
		}},
		// The worker's VM freezes, the lease lapses, a heartbeat waits in its queue, the VM thaws.
		// The owner has given the attempt up by then: the heartbeat must find it stopped.
		{"a renewal that waits does not revive a lapsed lease", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Service: true})
			b.at.SetFault(standin.Fault{Frozen: true})
			go func() {
				time.Sleep(3 * time.Second)
				b.at.SetFault(standin.Fault{})
			}()
			h := b.beat(0)
			b.Equal(h.Reports[0].State, worker.Stopped)
		}},
		{"a frozen worker tells usage late", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1", Resources: small, RunSeconds: 5})
			b.at.SetFault(standin.Fault{Frozen: true})
			time.Sleep(time.Second)
			b.at.SetFault(standin.Fault{})
			b.Equal(b.beat(0).Reports[0].Usage, small)
		}},
		// The VM freezes and its task's time is over before its lease; the thaw tells the end late.
		{"a frozen worker tells an end late", nil, func(b *bench) {
			b.start(worker.Start{Attempt: "j/0/1"})
			b.at.SetFault(standin.Fault{Frozen: true})
			time.Sleep(time.Second)
			b.Equal(b.at.State().Running, 1)
			b.at.SetFault(standin.Fault{})
			b.Equal(b.beat(0).Reports[0].State, worker.Ended)
		}},
		// A start waits at a frozen VM, which is then restarted. Its owner learns of the new boot and
		// places the task anew. The start that waited came over a connection that is gone: if it
		// ran now, the task would run twice.
		{"a start that waited before a restart never runs", nil, func(b *bench) {
			for _, f := range []standin.Fault{{Frozen: true}, {DelayMillis: 3000}} {
				b.at.SetFault(f)
				_, err := b.Start(b.within(time.Second), &worker.Start{Attempt: "j/0/1", Service: true})
				b.True(err != nil && !errors.Is(err, worker.ErrNotSent))
				b.at.Restart()
				b.at.SetFault(standin.Fault{})
				time.Sleep(5 * time.Second)
				b.Equal(b.at.State().Starts, int64(0))
			}
		}},
		// The start's answer is lost and the worker reboots before the repeat: the task runs again, and
		// only the changed boot tells its owner, who must ask for the boot before any repeat.
		{"answer lost, then restarted", nil, func(b *bench) {
			boot := b.beat(0).Boot
			b.at.SetFault(standin.Fault{LoseAnswers: 1})
			_, err := b.Start(b.ctx, &worker.Start{Attempt: "j/0/1", Service: true})
			b.True(err != nil)
			b.at.Restart()
			h := b.beat(0)
			b.True(h.Boot != boot && h.Full && len(h.Reports) == 0)
		}},
	})
}

func TestMemoryOfForgottenIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{I: is.New(t), at: standin.New(info), ctx: t.Context()}
		b.Client = b.at.Client()
		ids := []string{}
		for i := range 2 * standin.MaxForgotten {
			ids = append(ids, "j/"+strings.Repeat("x", i%50)+string(rune('a'+i/50)))
			b.stop(ids[i])
		}
		b.beat(0, ids...)
		b.Equal(b.at.State().Kept, 0)
		b.Equal(b.at.State().Forgotten, standin.MaxForgotten)
		time.Sleep(standin.ForgottenRetention + time.Second)
		b.stop("last")
		b.beat(0, "last")
		b.Equal(b.at.State().Forgotten, 1)
		b.at.Close()
	})
}

func large(*worker.Start, int) []byte { return make([]byte, standin.MaxReplyBytes/2) }

func cut(attempt string) string { return attempt[:strings.LastIndexByte(attempt, '/')] }
