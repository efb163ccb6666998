package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"turmericgap/store/retry"
	tracing "turmericgap/trace"
	"turmericgap/worker"
)

// link is this owner's connection to one worker: a goroutine for heartbeats and one for sends.
type link struct {
	info   worker.Info
	client *worker.Client
	sends  chan func(context.Context)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	forget []string

	// The rest belongs to the term's loop.
	boot     string
	answered bool
	// answeredAt is when the last heartbeat that was answered had left.
	answeredAt   time.Time
	listed       bool
	leavingSince time.Time
	// told, open and probe are what the planner was last told.
	told        worker.Info
	open, probe bool
	// mayHaveRenewed is when a message that renews leases can last have left this process.
	mayHaveRenewed time.Time
}

// beat is the outcome of one heartbeat.
type beat struct {
	reply  *worker.HeartbeatReply
	err    error
	forgot []string
	began  time.Time
	renews bool
}

func (t *term) openLink(info worker.Info) *link {
	l := &link{info: info, listed: true, sends: make(chan func(context.Context), sendRing), mayHaveRenewed: t.since}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.client = t.o.Dial(info, t.valid)
	l.wg.Go(func() { l.sendLoop() })
	l.wg.Go(func() { t.beatLoop(l) })
	t.wg.Go(func() {
		<-t.closing
		l.close()
	})
	return l
}

// close ends both goroutines and waits until no call of theirs is under way.
func (l *link) close() {
	l.cancel()
	l.wg.Wait()
}

func (l *link) sendLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.sends:
			f(l.ctx)
		}
	}
}

// send hands a call to the sender; false means that its ring is full and the call was not made.
func (l *link) send(f func(context.Context)) bool {
	select {
	case l.sends <- f:
		return true
	default:
		return false
	}
}

// beatLoop renews leases and asks for changes, one long poll after another.
func (t *term) beatLoop(l *link) {
	var cursor int64
	wait := time.Duration(0)
	misses := 0
	for l.ctx.Err() == nil {
		h := &worker.Heartbeat{
			Epoch: t.epoch, LeaseMillis: worker.LeaseMillis(t.o.WorkerLease),
			Cursor: cursor, WaitMillis: wait.Milliseconds(), Forget: l.takeForget(),
		}
		if misses >= missesToStopRenewing {
			// A worker that takes messages and never answers would be renewed for ever, and its tasks
			// could never be given up. It is asked on, but renewed only after it has answered.
			h.LeaseMillis = 0
		}
		b := t.beatOnce(l, h, wait)
		if b.err == nil {
			cursor, wait, misses = b.reply.Cursor, t.o.HeartbeatWait, 0
		} else {
			misses++
			l.giveForget(b.forgot)
			wait = 0
		}
		if !t.post(func() { t.onBeat(l, b) }) {
			return
		}
		rest := t.o.HeartbeatPause
		if b.err != nil {
			rest = t.o.HeartbeatRetry
		}
		if !retry.Sleep(l.ctx, rest) {
			return
		}
	}
}

func (t *term) beatOnce(l *link, h *worker.Heartbeat, wait time.Duration) beat {
	if !t.valid() {
		return beat{err: worker.ErrNotSent, forgot: h.Forget}
	}
	ctx, cancel := context.WithTimeout(l.ctx, wait+t.o.CallTimeout)
	defer cancel()
	began := time.Now()
	reply, err := l.client.Heartbeat(ctx, h)
	return beat{reply: reply, err: err, forgot: h.Forget, began: began, renews: h.LeaseMillis > 0}
}

func (l *link) takeForget() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.forget), forgetMost)
	out := l.forget[:n:n]
	l.forget = l.forget[n:]
	if len(l.forget) == 0 {
		l.forget = nil
	}
	return out
}

func (l *link) giveForget(attempts ...[]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range attempts {
		l.forget = append(l.forget, a...)
	}
}

// sendStart sends an attempt whose intent is durable; it may be a repeat of one sent before.
func (t *term) sendStart(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	l := t.links[k.Worker]
	if l == nil {
		return
	}
	s := &worker.Start{
		Attempt: attemptID(e.id, i, k.Attempt), Each: e.Spec.Each, Epoch: t.epoch,
		LeaseMillis: worker.LeaseMillis(t.o.WorkerLease), RunSeconds: e.Spec.RunSeconds, Class: e.Spec.Class,
		Service: e.Spec.Kind == serviceKind, Payload: e.Spec.Payload, Checkpoint: k.Checkpoint,
	}
	parent := e.Parent
	ok := l.send(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, t.o.CallTimeout)
		defer cancel()
		ctx, span := startSpan(ctx, parent, "worker.start", s.Attempt)
		defer span.End()
		s.Parent = tracing.Parent(ctx)
		report, err := l.client.Start(ctx, s)
		t.post(func() { t.onStarted(l, s.Attempt, report, err) })
	})
	if ok {
		k.sentAt = now
		k.starts++
	}
}

// sendAct asks the worker of an attempt to stop or checkpoint it.
func (t *term) sendAct(e *entry, i int, verb worker.Verb, now time.Time) {
	k := &e.tasks[i]
	l := t.links[k.Worker]
	if l == nil {
		return
	}
	a := &worker.Act{Attempt: attemptID(e.id, i, k.Attempt), Verb: verb, Epoch: t.epoch}
	ok := l.send(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, t.o.CallTimeout)
		defer cancel()
		report, err := l.client.Act(ctx, a)
		t.post(func() { t.onCalled(l, report, err) })
	})
	if ok {
		k.sentAt = now
	}
}

// onStarted takes the outcome of a start. An error other than a refusal tells nothing of what the
// worker did: heartbeats will, and the tick sends the same attempt again.
func (t *term) onStarted(l *link, attempt string, report *worker.Report, err error) {
	t.onCalled(l, report, err)
	if errors.Is(err, worker.ErrNotSent) {
		if _, _, k := t.find(l, attempt); k != nil {
			k.starts--
		}
	}
	if !errors.Is(err, worker.ErrRefused) {
		return
	}
	// An earlier message with this start may still be under way, so the refusal of one message is no
	// proof. A stop is: it forbids the attempt, and its report ends it here.
	if e, i, k := t.find(l, attempt); k != nil && !k.saving {
		k.stop = "its worker refused it"
		t.sendAct(e, i, worker.Stop, time.Now())
	}
}

// onCalled takes the report that a call brought back, if any.
func (t *term) onCalled(l *link, report *worker.Report, err error) {
	now := time.Now()
	if !errors.Is(err, worker.ErrNotSent) {
		l.mayHaveRenewed = now
	}
	// Only a heartbeat, which tells the worker's boot, can prove by Forbidden that nothing ran.
	if err == nil && report != nil && report.State != worker.Forbidden {
		t.onReport(l, report, now)
	}
}

const tracerName = "turmericgap/scheduler"

func startSpan(ctx context.Context, parent, name, attempt string) (context.Context, trace.Span) {
	ctx = tracing.WithParent(ctx, parent)
	return otel.Tracer(tracerName).Start(ctx, name,
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("attempt", attempt)))
}
