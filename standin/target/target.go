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
	// DefaultLeavingGrace is how long after its leaving was announced new work is still no violation.
	DefaultLeavingGrace = 5 * time.Second
	// MaxAnswers and MaxSessions bound what a target remembers.
	MaxAnswers  = 4096
	MaxSessions = 1 << 16

	maxViolations = 256
)

var (
	errDown = errors.New("target is down")
	errLost = errors.New("the answer was lost")
)

// Target is one target that exists only in memory.
type Target struct {
	opts Options

	mu           sync.Mutex
	inUse        int
	most         int
	ran          int64
	answers      map[string]*first
	answerOrder  []string
	sessions     map[string]int64
	sessionOrder []string
	last         *target.Response
	fault        Fault
	thawed       chan struct{}
	leavingSince time.Time
	violations   []string
}

// first is the first answer to a key, or the work on it.
type first struct {
	done     chan struct{}
	response *target.Response
	err      error
}

// New returns a target that is what info says.
func New(info target.Info, opts ...Option) *Target {
	o := Options{Info: info, ServiceTime: DefaultServiceTime, LeavingGrace: DefaultLeavingGrace, Record: func(history.Event) {}}
	for _, f := range opts {
		f(&o)
	}
	t := &Target{opts: o, answers: make(map[string]*first), sessions: make(map[string]int64), thawed: make(chan struct{})}
	close(t.thawed)
	t.record(history.Event{Kind: history.TargetHas, Slots: info.Slots})
	return t
}

// Client gives a client that calls the target within the process.
func (t *Target) Client() *target.Client { return &target.Client{Do: t.Do} }

// Info gives the target's entry in the VM list.
func (t *Target) Info() target.Info {
	t.mu.Lock()
	defer t.mu.Unlock()
	info := t.opts.Info
	info.Leaving = !t.leavingSince.IsZero()
	return info
}

// Do answers a request.
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

// do answers without the checks that a client makes.
func (t *Target) do(ctx context.Context, r *target.Request) (*target.Response, error) {
	fault := t.Fault()
	if fault.Down {
		return nil, errDown
	}
	if err := t.pause(ctx, time.Duration(fault.DelayMillis)*time.Millisecond); err != nil {
		return nil, err
	}
	if err := t.refuse(r); err != nil {
		return nil, err
	}
	out, err := t.once(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := t.pause(ctx, time.Duration(fault.LateMillis)*time.Millisecond); err != nil {
		return nil, err
	}
	return t.answer(r, out)
}

// pause waits, and then until the VM is thawed.
func (t *Target) pause(ctx context.Context, d time.Duration) error {
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

// once gives the first answer to the request's key, and works on the request if there is none.
func (t *Target) once(ctx context.Context, r *target.Request) (*target.Response, error) {
	if r.Key == "" {
		return t.work(ctx, r)
	}
	for {
		f, mine := t.claim(r.Key)
		if mine {
			return t.first(ctx, r, f)
		}
		select {
		case <-f.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if f.runs() {
			return copied(f.response, r.ID), nil
		}
	}
}

// claim gives what is known of the key; mine says that its work falls to the caller.
func (t *Target) claim(key string) (f *first, mine bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f, ok := t.answers[key]; ok {
		return f, false
	}
	f = &first{done: make(chan struct{})}
	t.answers[key] = f
	t.answerOrder = append(t.answerOrder, key)
	t.trimAnswers()
	return f, true
}

// first works on the first request with a key.
func (t *Target) first(ctx context.Context, r *target.Request, f *first) (*target.Response, error) {
	f.response, f.err = t.work(ctx, r)
	if !f.runs() {
		t.mu.Lock()
		delete(t.answers, r.Key) // It did not run to its end, so there is no first answer.
		t.mu.Unlock()
	}
	close(f.done)
	return copied(f.response, r.ID), f.err
}

// runs tells whether the work ran to its end.
func (f *first) runs() bool { return f.err == nil && !f.response.Busy }

func copied(r *target.Response, id string) *target.Response {
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

// work takes a slot and the time that the request needs.
func (t *Target) work(ctx context.Context, r *target.Request) (*target.Response, error) {
	if !t.take(r) {
		return &target.Response{ID: r.ID, Busy: true}, nil
	}
	defer t.give(r)
	timer := time.NewTimer(t.workTime(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return t.result(r), nil
}

func (t *Target) workTime(r *target.Request) time.Duration {
	if d, ok := t.opts.MethodTimes[r.Method]; ok {
		return d
	}
	return t.opts.ServiceTime
}

func (t *Target) take(r *target.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse >= t.opts.Info.Slots {
		t.violate(fmt.Sprintf("request %s exceeds %d slots", r.ID, t.opts.Info.Slots))
		return false
	}
	_, known := t.sessions[r.Session]
	continues := r.Session != "" && known
	if !t.leavingSince.IsZero() && !continues && time.Since(t.leavingSince) > t.opts.LeavingGrace {
		t.violate("new work while leaving: " + r.ID)
	}
	t.inUse++
	t.most = max(t.most, t.inUse)
	t.ran++
	t.record(history.Event{Kind: history.RequestBegan, Attempt: r.ID, Key: r.Key, Session: continues})
	return true
}

func (t *Target) give(r *target.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse--
	t.record(history.Event{Kind: history.RequestEnded, Attempt: r.ID, Key: r.Key})
}

func (t *Target) record(e history.Event) {
	e.At, e.Worker = time.Now(), t.opts.Info.ID
	t.opts.Record(e)
}

func (t *Target) violate(reason string) {
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, reason)
	}
}

// SetLeaving announces that the target leaves, or that it stays after all.
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
