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

// fakeTargets is a set of targets that share one implementation.
type fakeTargets struct {
	mu    sync.Mutex
	infos []target.Info
	calls atomic.Int64
	do    func(ctx context.Context, id string, r *target.Request) (*target.Response, error)
}

func newFakeTargets(n int, do func(context.Context, string, *target.Request) (*target.Response, error)) *fakeTargets {
	f := &fakeTargets{do: do}
	for i := range n {
		id := "t" + string(rune('a'+i))
		f.infos = append(f.infos, target.Info{ID: id, Address: id, Zone: "z1", Service: "desk", Slots: 2, Connections: 64})
	}
	return f
}

func (f *fakeTargets) dial(info target.Info, _ int) *target.Client {
	return &target.Client{Do: func(ctx context.Context, r *target.Request) (*target.Response, error) {
		f.calls.Add(1)
		return f.do(ctx, info.ID, r)
	}}
}

func (f *fakeTargets) list() []target.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.infos
}

// updateInfos calls keep for each target, which may modify it, and keeps those for which it returns
// true.
func (f *fakeTargets) updateInfos(keep func(*target.Info) bool) {
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

func (f *fakeTargets) newGate(opts ...Option) *Gate {
	base := []Option{ID("g1"), Zone("z1"), Targets(f.list), Dial(f.dial)}
	return New(append(base, opts...)...)
}

func answer(r *target.Request, body string) *target.Response {
	return &target.Response{ID: r.ID, Answer: job.NewAnswer(0, []byte(body))}
}

// script lists what the targets do at the first, the second and each later call.
type script []func(ctx context.Context, r *target.Request) (*target.Response, error)

func (s script) step(n int64) func(context.Context, *target.Request) (*target.Response, error) {
	return s[min(int(n), len(s))-1]
}

func completeAnswer(_ context.Context, r *target.Request) (*target.Response, error) {
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

func connectionLost(context.Context, *target.Request) (*target.Response, error) {
	return nil, errors.New("connection cut")
}

func staleAnswer(context.Context, *target.Request) (*target.Response, error) {
	return answer(&target.Request{ID: "an earlier try"}, "other seat"), nil
}

func truncated(_ context.Context, r *target.Request) (*target.Response, error) {
	a := answer(r, "seat taken")
	a.Answer.Body = a.Answer.Body[:4]
	return a, nil
}

func noResponse(context.Context, *target.Request) (*target.Response, error) { return nil, nil }

func hang(ctx context.Context, _ *target.Request) (*target.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a wrong outcome after a target refuses an attempt, is busy, cuts the connection, hangs,
// or returns a truncated answer or that of another attempt. A check that did not run may go to another
// target. A check that may have run is retried only if it is repeatable, and is never reported as
// NotRun afterwards, whatever the later attempts return.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		script     script
		repeatable bool
		want       job.Outcome
		calls      int64
	}{
		{"complete answer", script{completeAnswer}, false, job.Done, 1},
		{"not reached, then complete", script{notSent, completeAnswer}, false, job.Done, 2},
		{"refused, then complete", script{refused, completeAnswer}, false, job.Done, 2},
		{"busy, then complete", script{busy, completeAnswer}, false, job.Done, 2},
		{"never reached", script{notSent}, false, job.NotRun, 3},
		{"always busy", script{busy}, true, job.NotRun, 3},
		{"answer lost", script{connectionLost, completeAnswer}, false, job.Unknown, 1},
		{"answer lost, repeatable", script{connectionLost, completeAnswer}, true, job.Done, 2},
		{"lost, then never reached", script{connectionLost, notSent}, true, job.Unknown, 3},
		{"refused, then lost", script{refused, connectionLost, completeAnswer}, false, job.Unknown, 2},
		{"answer of another try", script{staleAnswer, completeAnswer}, false, job.Unknown, 1},
		{"answer of another try, repeatable", script{staleAnswer, completeAnswer}, true, job.Done, 2},
		{"truncated answer", script{truncated, completeAnswer}, false, job.Unknown, 1},
		{"truncated answer, repeatable", script{truncated, completeAnswer}, true, job.Done, 2},
		{"no answer at all", script{noResponse, completeAnswer}, false, job.Unknown, 1},
		{"hangs", script{hang, completeAnswer}, false, job.Unknown, 1},
		{"hangs, repeatable", script{hang, completeAnswer}, true, job.Done, 2},
		{"always hangs, repeatable", script{hang}, true, job.Unknown, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var f *fakeTargets
				f = newFakeTargets(4, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
					return c.script.step(f.calls.Load())(ctx, r)
				})
				g := f.newGate()
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

// Guards against a check that uses up the retry budget of others when it gets its slot a moment
// before its deadline, too late to be sent.
func TestNoTimeLeftIsNoRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			return completeAnswer(ctx, r)
		})
		g := f.newGate()
		defer g.Close()
		r := g.Do(context.Background(), &Check{Service: "desk", Repeatable: true, Deadline: minRunTime / 2})
		is.Equal(r.Outcome, job.NotRun)
		is.Equal(f.calls.Load(), int64(0))
		for range budget.DefaultBurst {
			is.True(g.budget.TryWithdraw())
		}
	})
}

// Guards against leaked slots when a target leaves the list while it serves a request and then
// returns.
func TestSlotSurvivesList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			time.Sleep(time.Second)
			return completeAnswer(ctx, r)
		})
		all := f.infos
		g := f.newGate()
		defer g.Close()
		result := make(chan *Result, 1)
		go func() { result <- g.Do(context.Background(), &Check{Service: "desk"}) }()
		synctest.Wait()
		f.updateInfos(func(*target.Info) bool { return false })
		is.Equal((<-result).Outcome, job.Done)
		is.Equal(g.Status().Shares.Used, 0)
		f.mu.Lock()
		f.infos = all
		f.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(g.Do(context.Background(), &Check{Service: "desk"}).Outcome, job.Done)
	})
}

// Guards against work for a caller that has hung up: its running check must be canceled at the
// target and its queued check must never be sent. The slot of the running check stays taken until
// its deadline has passed at the target.
func TestCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		canceled := 0
		f := newFakeTargets(1, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			if string(r.Body) != "hang" {
				return answer(r, "seat"), nil
			}
			<-ctx.Done()
			canceled++
			return nil, ctx.Err()
		})
		f.infos[0].Slots = 1
		g := f.newGate()
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
		is.Equal(canceled, 1)
		start := time.Now()
		r := g.Do(context.Background(), &Check{Service: "desk", Deadline: 10 * time.Second})
		is.Equal(r.Outcome, job.Done)
		is.Equal(time.Since(start) >= 3*time.Second, true)
	})
}

// Guards against checks that wait in a queue without a chance to run. One slot takes 100 ms per
// check, and 50 callers with a deadline of 1 s arrive at once. About ten can be served; the others
// must be rejected at once with the time in which the queue drains.
func TestShedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(1, func(_ context.Context, _ string, r *target.Request) (*target.Response, error) {
			time.Sleep(100 * time.Millisecond)
			return answer(r, "seat"), nil
		})
		f.infos[0].Slots = 1
		g := f.newGate()
		defer g.Close()
		for range 100 { // The gate learns the run time of a check.
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

// Guards against retries that keep failed targets overloaded. Without a retry budget each
// repeatable check would be sent three times.
func TestOutageIsNotMultiplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(10, func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
			return connectionLost(ctx, r)
		})
		g := f.newGate(Limit(func(l *Limits) { l.Grace = 0 }))
		defer g.Close()
		const checks = 1000
		for range checks {
			g.Do(context.Background(), &Check{Service: "desk", Repeatable: true, Deadline: 10 * time.Millisecond})
		}
		is.Equal(f.calls.Load(), int64(checks+budget.DefaultBurst))
	})
}
