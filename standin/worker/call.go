package worker

import (
	"context"
	"time"

	"turmericgap/worker"
)

// Client returns a client that calls the worker in process.
func (w *Worker) Client() *worker.Client {
	return &worker.Client{Start: w.Start, Heartbeat: w.Heartbeat, Act: w.Act}
}

// Start starts an attempt. It has no effect if the attempt is already known.
func (w *Worker) Start(ctx context.Context, s *worker.Start) (*worker.Report, error) {
	return checkReport(call(ctx, w, func() (*worker.Report, error) { return w.doStart(s, time.Now()) }))
}

// Act applies an action to an attempt: stop, throttle or checkpoint.
func (w *Worker) Act(ctx context.Context, a *worker.Act) (*worker.Report, error) {
	return checkReport(call(ctx, w, func() (*worker.Report, error) { return w.doAct(a, time.Now()) }))
}

func checkReport(r *worker.Report, err error) (*worker.Report, error) {
	if err != nil {
		return nil, err
	}
	if err := r.Check(); err != nil {
		return nil, err
	}
	return r, nil
}

// Heartbeat renews the leases of all attempts and waits for a change after the cursor, at most for the given time.
func (w *Worker) Heartbeat(ctx context.Context, h *worker.Heartbeat) (*worker.HeartbeatReply, error) {
	reply, err := w.heartbeat(ctx, h)
	if err != nil {
		return nil, err
	}
	if err := w.cutReplies.Check(reply); err != nil {
		return nil, err
	}
	return reply, nil
}

func (w *Worker) heartbeat(ctx context.Context, h *worker.Heartbeat) (*worker.HeartbeatReply, error) {
	_, err := call(ctx, w, func() (struct{}, error) { w.renew(h, time.Now()); return struct{}{}, nil })
	if err != nil {
		return nil, err
	}
	wait := min(time.Duration(h.WaitMillis)*time.Millisecond, maxHeartbeatWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for timedOut := wait <= 0; ; {
		reply, changed, thawed := w.changes(h.Cursor)
		if reply != nil && (timedOut || reply.Full || len(reply.Reports) > 0) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-thawed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// call runs effect under the current fault. As in a network, a delayed or frozen call takes effect later even if
// its caller has given up. A restart fails all earlier calls.
func call[T any](ctx context.Context, w *Worker, effect func() (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	var none T
	fault, boot, ok := w.beginCall()
	if !ok {
		return none, errDown
	}
	done := make(chan outcome, 1)
	go func() {
		defer w.endCall()
		time.Sleep(time.Duration(fault.DelayMillis) * time.Millisecond)
		w.awaitThaw()
		w.mu.Lock()
		defer w.mu.Unlock()
		var o outcome
		switch {
		case w.boot != boot:
			o.err = errRestarted
		case w.fault.LoseAnswers > 0:
			w.fault.LoseAnswers--
			_, _ = effect()
			o.err = errLost
		default:
			o.value, o.err = effect()
		}
		done <- o
	}()
	select {
	case o := <-done:
		if o.err != nil {
			return none, o.err
		}
		return o.value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (w *Worker) beginCall() (fault Fault, boot string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault.Down || w.closed || w.inFlight >= maxCallsInFlight {
		return Fault{}, "", false
	}
	w.inFlight++
	w.calls.Add(1)
	return w.fault, w.boot, true
}

func (w *Worker) endCall() {
	w.mu.Lock()
	w.inFlight--
	w.mu.Unlock()
	w.calls.Done()
}

func (w *Worker) awaitThaw() {
	w.mu.Lock()
	thawed := w.thawed
	w.mu.Unlock()
	<-thawed
}
