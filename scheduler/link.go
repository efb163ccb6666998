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

// link is this owner's connection to one worker. It has a goroutine for heartbeats and one for sends.
type link struct {
	info   worker.Info
	client *worker.Client
	sends  chan func(context.Context)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	toForget []string

	// The fields below belong to the term's loop.
	boot     string
	answered bool
	// ackedSentAt is when the last answered heartbeat was sent.
	ackedSentAt  time.Time
	listed       bool
	leavingSince time.Time
	// plannerInfo, open and probe are the values last passed to the planner.
	plannerInfo worker.Info
	open, probe bool
	// lastPossibleRenewal is the latest time at which a message that renews leases may have been sent.
	lastPossibleRenewal time.Time
}

// heartbeatResult is the result of one heartbeat.
type heartbeatResult struct {
	reply  *worker.HeartbeatReply
	err    error
	forget []string
	sentAt time.Time
	renews bool
}

func (t *term) openLink(info worker.Info) *link {
	l := &link{info: info, listed: true, sends: make(chan func(context.Context), sendQueueSize), lastPossibleRenewal: t.startedAt}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.client = t.o.Dial(info, t.ownsZone)
	l.wg.Go(func() { l.sendLoop() })
	l.wg.Go(func() { t.heartbeatLoop(l) })
	t.wg.Go(func() {
		<-t.closing
		l.close()
	})
	return l
}

// close stops both goroutines and waits until their calls have returned.
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

// send queues a call for the send goroutine. It returns false if the queue is full; the call is then not made.
func (l *link) send(f func(context.Context)) bool {
	select {
	case l.sends <- f:
		return true
	default:
		return false
	}
}

// heartbeatLoop renews leases and receives changes by consecutive long polls.
func (t *term) heartbeatLoop(l *link) {
	var cursor int64
	wait := time.Duration(0)
	misses := 0
	for l.ctx.Err() == nil {
		h := &worker.Heartbeat{
			Epoch: t.epoch, LeaseMillis: worker.LeaseMillis(t.o.WorkerLease),
			Cursor: cursor, WaitMillis: wait.Milliseconds(), Forget: l.takeForget(),
		}
		if misses >= missesToStopRenewing {
			// A worker that receives messages but never answers would be renewed forever, and its tasks could never
			// be given up. It still gets heartbeats, but they renew its leases only after it has answered again.
			h.LeaseMillis = 0
		}
		b := t.sendHeartbeat(l, h, wait)
		if b.err == nil {
			cursor, wait, misses = b.reply.Cursor, t.o.HeartbeatWait, 0
		} else {
			misses++
			l.queueForget(b.forget)
			wait = 0
		}
		if !t.post(func() { t.onHeartbeat(l, b) }) {
			return
		}
		pause := t.o.HeartbeatPause
		if b.err != nil {
			pause = t.o.HeartbeatRetry
		}
		if !retry.Sleep(l.ctx, pause) {
			return
		}
	}
}

func (t *term) sendHeartbeat(l *link, h *worker.Heartbeat, wait time.Duration) heartbeatResult {
	if !t.ownsZone() {
		return heartbeatResult{err: worker.ErrNotSent, forget: h.Forget}
	}
	ctx, cancel := context.WithTimeout(l.ctx, wait+t.o.CallTimeout)
	defer cancel()
	began := time.Now()
	reply, err := l.client.Heartbeat(ctx, h)
	return heartbeatResult{reply: reply, err: err, forget: h.Forget, sentAt: began, renews: h.LeaseMillis > 0}
}

func (l *link) takeForget() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.toForget), maxForget)
	out := l.toForget[:n:n]
	l.toForget = l.toForget[n:]
	if len(l.toForget) == 0 {
		l.toForget = nil
	}
	return out
}

func (l *link) queueForget(attempts ...[]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range attempts {
		l.toForget = append(l.toForget, a...)
	}
}

// sendStart sends the start of an attempt whose intent is durable. It may repeat an earlier start.
func (t *term) sendStart(e *entry, i int, now time.Time) {
	k := &e.tasks[i]
	l := t.links[k.Worker]
	if l == nil {
		return
	}
	s := &worker.Start{
		Attempt: attemptID(e.id, i, k.Attempt), Resources: e.Spec.TaskResources, Epoch: t.epoch,
		LeaseMillis: worker.LeaseMillis(t.o.WorkerLease), RunSeconds: e.Spec.RunSeconds, Class: e.Spec.Class,
		Service: e.Spec.Kind == serviceKind, Payload: e.Spec.Payload, Checkpoint: k.Checkpoint,
	}
	parent := e.Parent
	ok := l.send(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, t.o.CallTimeout)
		defer cancel()
		ctx, span := startSpan(ctx, parent, "worker.start", s.Attempt)
		defer span.End()
		s.TraceParent = tracing.Parent(ctx)
		report, err := l.client.Start(ctx, s)
		t.post(func() { t.onStarted(l, s.Attempt, report, err) })
	})
	if ok {
		k.sentAt = now
		k.startsSent++
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

// onStarted handles the result of a start. After an error other than a refusal, it is not known whether the worker
// started the attempt: heartbeats report that, and the tick sends the same start again.
func (t *term) onStarted(l *link, attempt string, report *worker.Report, err error) {
	t.onCalled(l, report, err)
	if errors.Is(err, worker.ErrNotSent) {
		if _, _, k := t.findTask(l, attempt); k != nil {
			k.startsSent--
		}
	}
	if !errors.Is(err, worker.ErrRefused) {
		return
	}
	// An earlier message with this start may still be in flight, so the refusal of one message does not prove that
	// the attempt will not run. A stop does: it forbids the attempt, and its report ends the attempt here.
	if e, i, k := t.findTask(l, attempt); k != nil && !k.saving {
		k.stopReason = "its worker refused it"
		t.sendAct(e, i, worker.Stop, time.Now())
	}
}

// onCalled handles the report that a call returned, if any.
func (t *term) onCalled(l *link, report *worker.Report, err error) {
	now := time.Now()
	if !errors.Is(err, worker.ErrNotSent) {
		l.lastPossibleRenewal = now
	}
	// A Forbidden state proves that nothing ran only together with the worker's boot, which heartbeats carry and other
	// replies do not.
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
