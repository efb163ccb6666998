package target

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"turmericgap/gate/target"
	"turmericgap/history"
)

// Defaults.
const (
	// DefaultServiceTime is how long a request takes.
	DefaultServiceTime = 5 * time.Millisecond
	// DefaultLeavingGrace is how long new work is no violation after the target has announced that it is leaving.
	DefaultLeavingGrace = 5 * time.Second
	// MaxAnswers and MaxSessions are the maximum numbers of remembered first answers and sessions.
	MaxAnswers  = 4096
	MaxSessions = 1 << 16

	maxViolations = 256
)

var (
	errDown = errors.New("target is down")
	errLost = errors.New("the answer was lost")
)

// Target is an in-memory target.
type Target struct {
	opts Options

	mu           sync.Mutex
	inUse        int
	maxInUse     int
	startCount   int64
	answers      map[string]*keyedAnswer
	answerOrder  []string
	sessions     map[string]int64
	sessionOrder []string
	lastResponse *target.Response
	fault        Fault
	thawed       chan struct{}
	leavingSince time.Time
	violations   []string
}

// keyedAnswer is the first answer to a key. It is valid once done is closed.
type keyedAnswer struct {
	done     chan struct{}
	response *target.Response
	err      error
}

// New returns a target that is described by info.
func New(info target.Info, opts ...Option) *Target {
	o := Options{Info: info, ServiceTime: DefaultServiceTime, LeavingGrace: DefaultLeavingGrace, Record: func(history.Event) {}}
	for _, f := range opts {
		f(&o)
	}
	t := &Target{opts: o, answers: make(map[string]*keyedAnswer), sessions: make(map[string]int64), thawed: make(chan struct{})}
	close(t.thawed)
	t.record(history.Event{Kind: history.TargetCapacity, Slots: info.Slots})
	return t
}

// Client returns a client that calls the target in process.
func (t *Target) Client() *target.Client { return &target.Client{Do: t.Do} }

// Info returns the target's entry for the VM list.
func (t *Target) Info() target.Info {
	t.mu.Lock()
	defer t.mu.Unlock()
	info := t.opts.Info
	info.Leaving = !t.leavingSince.IsZero()
	return info
}

// Do answers a request and checks the response as a client does.
func (t *Target) Do(ctx context.Context, r *target.Request) (*target.Response, error) {
	out, err := t.do(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := out.Check(r.ID); err != nil {
		return nil, err
	}
	return out, nil
}

// do answers a request without the checks of a client.
func (t *Target) do(ctx context.Context, r *target.Request) (*target.Response, error) {
	fault := t.Fault()
	if fault.Down {
		return nil, errDown
	}
	if err := t.delay(ctx, time.Duration(fault.DelayMillis)*time.Millisecond); err != nil {
		return nil, err
	}
	if err := t.applyRefusal(r); err != nil {
		return nil, err
	}
	out, err := t.answerOnce(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := t.delay(ctx, time.Duration(fault.LateMillis)*time.Millisecond); err != nil {
		return nil, err
	}
	return t.applyAnswerFault(r, out)
}

// delay waits for the duration and then until the VM is not frozen.
func (t *Target) delay(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	t.mu.Lock()
	thawed := t.thawed
	t.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// answerOnce returns the first answer to the request's key, or runs the request if there is none.
func (t *Target) answerOnce(ctx context.Context, r *target.Request) (*target.Response, error) {
	if r.Key == "" {
		return t.run(ctx, r)
	}
	for {
		a, claimed := t.claim(r.Key)
		if claimed {
			return t.runFirst(ctx, r, a)
		}
		select {
		case <-a.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if a.completed() {
			return copyResponse(a.response, r.ID), nil
		}
	}
}

// claim returns the answer to a key; claimed reports that the caller has to run the request.
func (t *Target) claim(key string) (a *keyedAnswer, claimed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.answers[key]; ok {
		return a, false
	}
	a = &keyedAnswer{done: make(chan struct{})}
	t.answers[key] = a
	t.answerOrder = append(t.answerOrder, key)
	t.trimAnswers()
	return a, true
}

// runFirst runs the first request with a key.
func (t *Target) runFirst(ctx context.Context, r *target.Request, a *keyedAnswer) (*target.Response, error) {
	a.response, a.err = t.run(ctx, r)
	if !a.completed() {
		t.mu.Lock()
		delete(t.answers, r.Key) // The request did not complete, so the key has no answer yet.
		t.mu.Unlock()
	}
	close(a.done)
	return copyResponse(a.response, r.ID), a.err
}

// completed reports whether the request ran to completion.
func (a *keyedAnswer) completed() bool { return a.err == nil && !a.response.Busy }

func copyResponse(r *target.Response, id string) *target.Response {
	if r == nil {
		return nil
	}
	out := *r
	out.ID = id
	return &out
}

func (t *Target) trimAnswers() {
	for len(t.answerOrder) > MaxAnswers {
		delete(t.answers, t.answerOrder[0])
		t.answerOrder = t.answerOrder[1:]
	}
}

// run occupies a slot for the service time of the request. Without a free slot it returns a busy response.
func (t *Target) run(ctx context.Context, r *target.Request) (*target.Response, error) {
	if !t.acquireSlot(r) {
		return &target.Response{ID: r.ID, Busy: true}, nil
	}
	defer t.releaseSlot(r)
	timer := time.NewTimer(t.serviceTime(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return t.result(r), nil
}

func (t *Target) serviceTime(r *target.Request) time.Duration {
	if d, ok := t.opts.MethodTimes[r.Method]; ok {
		return d
	}
	return t.opts.ServiceTime
}

func (t *Target) acquireSlot(r *target.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse >= t.opts.Info.Slots {
		t.addViolation(fmt.Sprintf("request %s exceeds %d slots", r.ID, t.opts.Info.Slots))
		return false
	}
	_, known := t.sessions[r.Session]
	continues := r.Session != "" && known
	if !t.leavingSince.IsZero() && !continues && time.Since(t.leavingSince) > t.opts.LeavingGrace {
		t.addViolation("new work while leaving: " + r.ID)
	}
	t.inUse++
	t.maxInUse = max(t.maxInUse, t.inUse)
	t.startCount++
	t.record(history.Event{Kind: history.RequestStarted, Attempt: r.ID, Key: r.Key, Session: continues})
	return true
}

func (t *Target) releaseSlot(r *target.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse--
	t.record(history.Event{Kind: history.RequestEnded, Attempt: r.ID, Key: r.Key})
}

func (t *Target) record(e history.Event) {
	e.At, e.Worker = time.Now(), t.opts.Info.ID
	t.opts.Record(e)
}

func (t *Target) addViolation(reason string) {
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, reason)
	}
}

// SetLeaving sets whether the target announces that it is leaving.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !leaving:
		t.leavingSince = time.Time{}
	case t.leavingSince.IsZero():
		t.leavingSince = time.Now()
		t.record(history.Event{Kind: history.Leaving})
	}
}
