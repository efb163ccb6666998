package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"turmericgap/connection"
	"turmericgap/finding"
	"turmericgap/job"
	"turmericgap/session"
	"turmericgap/setting"
)

// stream is a caller's connection that carries the requests of one session.
type stream struct {
	gate     *Gate
	session  *session.Session
	template Check
	flusher  http.Flusher
	encoder  *json.Encoder
	control  *http.ResponseController
	// readErr is why reading ended; it is set before the channel of lines is closed.
	readErr error
}

// serve answers line by line until the caller ends the stream or the gate asks it to move. A line
// that was received is always answered first, so no request in progress is cut off.
func (st *stream) serve(r *http.Request) {
	lines := make(chan []byte)
	ctx, cancel := context.WithCancel(r.Context())
	var reading sync.WaitGroup
	defer reading.Wait()
	defer st.unblockReader()
	defer cancel()
	reading.Go(func() { st.readLines(ctx, r, lines) })
	for {
		select {
		case <-st.gate.inProgress.moveStreams:
			st.askToMove()
			return
		default:
		}
		select {
		case <-st.gate.inProgress.moveStreams:
			st.askToMove()
			return
		case line, more := <-lines:
			if !more {
				st.reportReadError(ctx)
				return
			}
			if !st.handleLine(ctx, line) {
				return
			}
		}
	}
}

// readLines sends the lines to the channel until the body ends, a line is too long or ctx is done.
func (st *stream) readLines(ctx context.Context, r *http.Request, lines chan<- []byte) {
	defer close(lines)
	limit := int(st.gate.opts.Limits.BodyBytes)*4/3 + streamLineExtra
	scanner := bufio.NewScanner(&lineReader{Reader: r.Body, grow: func(n int64) error { return connection.Grow(ctx, n) }})
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

// lineCopies is how many times a line is held: in the buffer, which doubles, and when it is handed on.
const lineCopies = 3

// lineReader takes the memory that the lines need before they have ended. It is returned with the end of the stream, as is
// the buffer.
type lineReader struct {
	io.Reader
	grow func(n int64) error
	// line is the length of the current line so far, held the memory taken.
	line, held int64
}

// Read reads a part of a line, or of several.
func (r *lineReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if end := bytes.LastIndexByte(p[:n], '\n'); end >= 0 {
		r.line = int64(n - end - 1)
	} else {
		r.line += int64(n)
	}
	if need := r.line*lineCopies - streamLineExtra; need > r.held {
		if err := r.grow(need - r.held); err != nil {
			return 0, err
		}
		r.held = need
	}
	return n, err
}

// reportReadError sends the caller the error that ended reading.
func (st *stream) reportReadError(ctx context.Context) {
	if st.readErr == nil || ctx.Err() != nil {
		return
	}
	var l finding.List
	l.Add("stream", "%s", st.readErr)
	st.send(&Body{Outcome: job.NotRun, Reason: reasonInvalid, Findings: l})
}

// unblockReader interrupts a read that waits for the caller's next line.
func (st *stream) unblockReader() { _ = st.control.SetReadDeadline(time.Now()) }

func (st *stream) handleLine(ctx context.Context, raw []byte) bool {
	c, l := st.parseLine(raw)
	if len(l) > 0 {
		return st.send(&Body{Outcome: job.NotRun, Reason: reasonInvalid, Findings: l})
	}
	r := st.gate.traceCheck(ctx, c, st.gate.perform)
	body := responseBody(r)
	body.Token = st.gate.renewToken(st.session)
	return st.send(body)
}

func (st *stream) parseLine(raw []byte) (*Check, finding.List) {
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
		return nil, findingsOf(err)
	}
	c.Key, c.Body, c.Repeatable = in.Key, in.Body, in.Repeatable
	c.Deadline = setting.Millis(in.DeadlineMillis)
	return &c, nil
}

// askToMove tells the caller to continue the session at another gate with the token.
func (st *stream) askToMove() {
	s := *st.session
	token, err := st.gate.issueToken(&s)
	if err == nil {
		st.send(&Body{Outcome: job.NotRun, Reason: reasonMove, Token: token, Move: true})
	}
}

func (st *stream) send(b *Body) bool {
	_ = st.control.SetWriteDeadline(time.Now().Add(st.gate.opts.Limits.ReadTimeout))
	if st.encoder.Encode(b) != nil {
		return false
	}
	st.flusher.Flush()
	return true
}
