package gate

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/session"
	"turmericgap/setting"
)

// stream is one caller's connection that carries the requests of a session.
type stream struct {
	gate     *Gate
	session  *session.Session
	template Check
	out      http.Flusher
	encoder  *json.Encoder
	control  *http.ResponseController
	// readErr is why the reading ended; it is set before the lines are closed.
	readErr error
}

// serve answers line by line until the caller ends the stream or the gate asks it to move. A line
// that was read is always answered first, so that nothing in progress is cut off.
func (st *stream) serve(r *http.Request) {
	lines := make(chan []byte)
	ctx, cancel := context.WithCancel(r.Context())
	var reading sync.WaitGroup
	defer reading.Wait()
	defer st.endReading()
	defer cancel()
	reading.Go(func() { st.read(ctx, r, lines) })
	for {
		select {
		case <-st.gate.work.moving:
			st.move()
			return
		default:
		}
		select {
		case <-st.gate.work.moving:
			st.move()
			return
		case line, more := <-lines:
			if !more {
				st.explainEnd(ctx)
				return
			}
			if !st.answer(ctx, line) {
				return
			}
		}
	}
}

// read hands the lines over; it ends with the body, at a line that is too long, or with ctx.
func (st *stream) read(ctx context.Context, r *http.Request, lines chan<- []byte) {
	defer close(lines)
	limit := int(st.gate.opts.Limits.BodyBytes)*4/3 + streamLineExtra
	scanner := bufio.NewScanner(r.Body)
	scanner.Buffer(make([]byte, 0, streamLineExtra), limit)
	for scanner.Scan() {
		line := append([]byte(nil), scanner.Bytes()...)
		select {
		case lines <- line:
		case <-ctx.Done():
			return
		}
	}
	st.readErr = scanner.Err()
}

// explainEnd tells the caller of a line that could not be read.
func (st *stream) explainEnd(ctx context.Context) {
	if st.readErr == nil || ctx.Err() != nil {
		return
	}
	var l finding.List
	l.Add("stream", "%s", st.readErr)
	st.send(&Body{Outcome: job.NotRun, Reason: reasonInvalid, Findings: l})
}

// endReading wakes a read that waits for the caller's next line.
func (st *stream) endReading() { _ = st.control.SetReadDeadline(time.Now()) }

func (st *stream) answer(ctx context.Context, raw []byte) bool {
	c, l := st.parse(raw)
	if len(l) > 0 {
		return st.send(&Body{Outcome: job.NotRun, Reason: reasonInvalid, Findings: l})
	}
	r := st.gate.traceCheck(ctx, c, st.gate.perform)
	body := bodyOf(r)
	body.Token = st.gate.renewed(st.session)
	return st.send(body)
}

func (st *stream) parse(raw []byte) (*Check, finding.List) {
	var in StreamRequest
	c := st.template
	check := func(l *finding.List) {
		if in.Method == "" {
			l.Add("method", "must not be empty")
		}
		if len(in.Key) > job.MaxKeyBytes {
			l.Add("key", "must be at most %d bytes", job.MaxKeyBytes)
		}
		if int64(len(in.Body)) > st.gate.opts.Limits.BodyBytes {
			l.Add("body", "must be at most %d bytes", st.gate.opts.Limits.BodyBytes)
		}
		setting.CheckRange(l, "deadlineMillis", in.DeadlineMillis, 0, st.gate.opts.Limits.MaxTimeout.Milliseconds())
		c.Method = in.Method
		checkNames(&c, l)
	}
	if err := setting.Decode(raw, &in, check); err != nil {
		return nil, findings(err)
	}
	c.Key, c.Body, c.Repeatable = in.Key, in.Body, in.Repeatable
	c.Deadline = setting.Millis(in.DeadlineMillis)
	return &c, nil
}

// move asks the caller to go on elsewhere. The token is what another gate needs.
func (st *stream) move() {
	s := *st.session
	token, err := st.gate.token(&s)
	if err == nil {
		st.send(&Body{Outcome: job.NotRun, Reason: reasonMove, Token: token, Move: true})
	}
}

func (st *stream) send(b *Body) bool {
	_ = st.control.SetWriteDeadline(time.Now().Add(st.gate.opts.Limits.ReadTimeout))
	if st.encoder.Encode(b) != nil {
		return false
	}
	st.out.Flush()
	return true
}
