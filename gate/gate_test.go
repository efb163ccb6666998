package gate

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/budget"
	"turmericgap/gate/target"
	"turmericgap/job"
)

// fakes is a set of targets whose behaviour is one function.
type fakes struct {
	mu    sync.Mutex
	infos []target.Info
	calls atomic.Int64
	do    func(ctx context.Context, id string, r *target.Request) (*target.Response, error)
}

func newFakes(n int, do func(context.Context, string, *target.Request) (*target.Response, error)) *fakes {
	f := &fakes{do: do}
	for i := range n {
		id := "t" + string(rune('a'+i))
		f.infos = append(f.infos, target.Info{ID: id, Address: id, Zone: "z1", Service: "desk", Slots: 2, Connections: 64})
	}
	return f
}

func (f *fakes) dial(info target.Info, _ int) *target.Client {
	return &target.Client{Do: func(ctx context.Context, r *target.Request) (*target.Response, error) {
		f.calls.Add(1)
		return f.do(ctx, info.ID, r)
	}}
}

func (f *fakes) list() []target.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.infos
}

// change gives each target to keep, which may change it, and lists those for which it returns true.
func (f *fakes) change(keep func(*target.Info) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var next []target.Info
	for _, info := range f.infos {
		if keep(&info) {
			next = append(next, info)
		}
	}
	f.infos = next
}

func (f *fakes) gate(opts ...Option) *Gate {
	base := []Option{ID("g1"), Zone("z1"), Targets(f.list), Dial(f.dial)}
	return New(append(base, opts...)...)
}

func answer(r *target.Request, body string) *target.Response {
	return &target.Response{ID: r.ID, Answer: job.NewAnswer(0, []byte(body))}
}

// script is what the targets do at the first, second, and each later call.
type script []func(ctx context.Context, r *target.Request) (*target.Response, error)

func (s script) play(n int64) func(context.Context, *target.Request) (*target.Response, error) {
	return s[min(int(n), len(s))-1]
}

func whole1(_ context.Context, r *target.Request) (*target.Response, error) {
	return answer(r, "seat"), nil
}

func notSent(context.Context, *target.Request) (*target.Response, error) {
	return nil, target.ErrNotSent
}

func refused(context.Context, *target.Request) (*target.Response, error) {
	return nil, target.ErrRefused
}

func busy(_ context.Context, r *target.Request) (*target.Response, error) {
	return &target.Response{ID: r.ID, Busy: true}, nil
}

func lost(context.Context, *target.Request) (*target.Response, error) {
	return nil, errors.New("connection cut")
}

func late(context.Context, *target.Request) (*target.Response, error) {
	return answer(&target.Request{ID: "an earlier try"}, "other seat"), nil
}

func cut(_ context.Context, r *target.Request) (*target.Response, error) {
	a := answer(r, "seat taken")
	a.Answer.Body = a.Answer.Body[:4]
	return a, nil
}

func empty(context.Context, *target.Request) (*target.Response, error) { return nil, nil }

func hang(ctx context.Context, _ *target.Request) (*target.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// The caller sees one of three outcomes, and it is true.
// Targets refuse, are busy, cut the connection, hang, or give a cut answer or that of another try.
// What surely did not run may go to another target; what may have run goes there only if it is
// repeatable, and is never called notRun after that, whatever the later tries say.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		script     script
		repeatable bool
		want       job.Outcome
		calls      int64
	}{
		{"whole answer", script{whole1}, false, job.Done, 1},
		{"not reached, then whole", script{notSent, whole1}, false, job.Done, 2},
		{"refused, then whole", script{refused, whole1}, false, job.Done, 2},
		{"busy, then whole", script{busy, whole1}, false, job.Done, 2},
		{"never reached", script{notSent}, false, job.NotRun, 3},
		{"always busy", script{busy}, true, job.NotRun, 3},
		{"answer lost", script{lost, whole1}, false, job.Unknown, 1},
		{"answer lost, repeatable", script{lost, whole1}, true, job.Done, 2},
		{"lost, then never reached", script{lost, notSent}, true, job.Unknown, 3},
		{"refused, then lost", script{refused, lost, whole1}, false, job.Unknown, 2},
		{"answer of another try", script{late, whole1}, false, job.Unknown, 1},
		{"answer of another try, repeatable", script{late, whole1}, true, job.Done, 2},
		{"cut answer", script{cut, whole1}, false, job.Unknown, 1},
		{"cut answer, repeatable", script{cut, whole1}, true, job.Done, 2},
		{"no answer at all", script{empty, whole1}, false, job.Unknown, 1},
		{"hangs", script{hang, whole1}, false, job.Unknown, 1},
		{"hangs, repeatable", script{hang, whole1}, true, job.Done, 2},
		{"always hangs, repeatable", script{hang}, true, job.Unknown, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var f *fakes
				f = newFakes(4, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
					return c.script.play(f.calls.Load())(ctx, r)
				})
				g := f.gate()
				defer g.Close()
				r := g.Do(context.Background(), &Check{Service: "desk", Method: "seat", Repeatable: c.repeatable})
				is.Equal(r.Outcome, c.want)
				is.Equal(f.calls.Load(), c.calls)
				is.Equal(r.Attempts, int(c.calls))
				is.Equal(r.Answer != nil, c.want == job.Done)
				if r.Answer != nil {
					is.Equal(string(r.Answer.Body), "seat")
				}
			})
		})
	}
}

// The caller's check that has no time left must end, and must not use up the retries of others.
// It gets its slot a moment before its deadline, when it is too late to send.
func TestNoTimeLeftIsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			return whole1(ctx, r)
		})
		g := f.gate()
		defer g.Close()
		r := g.Do(context.Background(), &Check{Service: "desk", Repeatable: true, Deadline: leastRun / 2})
		is.Equal(r.Outcome, job.NotRun)
		is.Equal(f.calls.Load(), int64(0))
		for range budget.DefaultBurst {
			is.True(g.budget.TryWithdraw())
		}
	})
}

// The slots of a target must come back although the list loses it while it works, and shows it again.
func TestSlotSurvivesList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			time.Sleep(time.Second)
			return whole1(ctx, r)
		})
		all := f.infos
		g := f.gate()
		defer g.Close()
		result := make(chan *Result, 1)
		go func() { result <- g.Do(context.Background(), &Check{Service: "desk"}) }()
		synctest.Wait()
		f.change(func(*target.Info) bool { return false })
		is.Equal((<-result).Outcome, job.Done)
		is.Equal(g.Status().Shares.Used, 0)
		f.mu.Lock()
		f.infos = all
		f.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(g.Do(context.Background(), &Check{Service: "desk"}).Outcome, job.Done)
	})
}

// The caller hangs up.
// Its check is at a target, which must hear of it; another check waits in the queue, and must leave
// it without ever being sent. The slot of the first stays taken until the target has surely stopped.
func TestCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		told := 0
		f := newFakes(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			if string(r.Body) != "hang" {
				return answer(r, "seat"), nil
			}
			<-ctx.Done()
			told++
			return nil, ctx.Err()
		})
		f.infos[0].Slots = 1
		g := f.gate()
		defer g.Close()
		ctx, hangUp := context.WithCancel(context.Background())
		results := make(chan *Result, 2)
		for range 2 {
			go func() {
				results <- g.Do(ctx, &Check{Service: "desk", Body: []byte("hang"), Deadline: 3 * time.Second})
			}()
		}
		synctest.Wait()
		hangUp()
		outcomes := []job.Outcome{(<-results).Outcome, (<-results).Outcome}
		slices.Sort(outcomes)
		is.Equal(outcomes, []job.Outcome{job.NotRun, job.Unknown})
		is.Equal(told, 1)
		start := time.Now()
		r := g.Do(context.Background(), &Check{Service: "desk", Deadline: 10 * time.Second})
		is.Equal(r.Outcome, job.Done)
		is.Equal(time.Since(start) >= 3*time.Second, true)
	})
}

// The caller is told at once that its check can't be run in time.
// One slot works 100 ms on each check; 50 callers with 1 s each come at once. About ten can be
// served; the rest must not wait for nothing, and hear when the queue will have drained.
func TestShedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes(1, func(_ context.Context, _ string, r *target.Request) (*target.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return answer(r, "seat"), nil
		})
		f.infos[0].Slots = 1
		g := f.gate()
		defer g.Close()
		for range 100 { // The gate learns how long a check takes.
			g.Do(context.Background(), &Check{Service: "desk"})
		}
		start := time.Now()
		results := make(chan *Result, 50)
		for range 50 {
			go func() {
				r := g.Do(context.Background(), &Check{Service: "desk", Deadline: time.Second})
				if r.Limited && time.Since(start) > 0 {
					r.Reason = "late"
				}
				results <- r
			}()
		}
		done := 0
		for range 50 {
			r := <-results
			if r.Outcome == job.Done {
				done++
				continue
			}
			is.Equal(r.Outcome, job.NotRun)
			is.True(r.Reason != "late")
			is.True(r.RetryAfter >= 500*time.Millisecond)
		}
		is.True(done >= 8 && done <= 10)
	})
}

// The targets fail for everyone, and callers' repeatable checks are retried.
// Without a budget each check would be sent three times, which keeps the targets down.
func TestOutageIsNotMultiplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes(10, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			return lost(ctx, r)
		})
		g := f.gate(Limit(func(l *Limits) { l.Grace = 0 }))
		defer g.Close()
		const checks = 1000
		for range checks {
			g.Do(context.Background(), &Check{Service: "desk", Repeatable: true, Deadline: 10 * time.Millisecond})
		}
		is.Equal(f.calls.Load(), int64(checks+budget.DefaultBurst))
	})
}
