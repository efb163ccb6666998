package gate

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/gate/target"
	"turmericgap/job"
)

var sessionKey = []byte("a key of sixteen bytes or more")

// pipes is a listener whose connections are pipes, which the virtual clock can wait for.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), ended: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { p.once.Do(func() { close(p.ended) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		near, far := net.Pipe()
		select {
		case p.conns <- far:
			return near, nil
		case <-p.ended:
			return nil, errors.New("not listening")
		}
	}}}
}

// caller is a caller over HTTP with a session.
type caller struct {
	*http.Client
	token string
}

func (c *caller) call(method, path, body string) (int, Body, OpenedSession) {
	req, _ := http.NewRequest(method, "http://gate/v1"+path, strings.NewReader(body))
	req.Header.Set(HeaderSession, c.token)
	req.Header.Set(HeaderDeadline, "2000")
	resp, err := c.Do(req)
	if err != nil {
		return 0, Body{Reason: err.Error()}, OpenedSession{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var b Body
	var o OpenedSession
	_ = json.Unmarshal(raw, &b)
	_ = json.Unmarshal(raw, &o)
	return resp.StatusCode, b, o
}

// served runs a gate behind pipes, for a test that stops all at its end.
func served(t *testing.T, f *fakes, opts ...Option) (*Gate, *caller) {
	g := f.gate(append(opts, SessionKeys(sessionKey))...)
	l := newPipes()
	go g.Serve(l)
	c := &caller{Client: l.client()}
	t.Cleanup(func() {
		c.CloseIdleConnections()
		l.Close()
		g.Close()
	})
	return g, c
}

func echo(_ context.Context, id string, r *target.Request) (*target.Response, error) {
	return answer(r, id+" "+r.Session+" "+string(r.Body)), nil
}

// The caller goes on with its session although the gate that opened it is dead.
// Each request must reach the session's target, also through a gate of another zone, and while the
// target is leaving; when the target is gone, the caller is told so and not that it may try again.
func TestSessionOutlivesItsGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes(3, echo)
		first, c := served(t, f)
		code, _, opened := c.call("POST", "/sessions/desk", "")
		is.Equal(code, http.StatusCreated)
		first.Close()

		second, c := served(t, f, ID("g2"))
		c.token = opened.Token
		_, b, _ := c.call("POST", "/sessions/desk/requests?method=add", "1")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 1")

		_, far := served(t, f, ID("g3"), Zone("z2"), Rules(func(*Check) Decision { return Decision{Zone: "z2"} }),
			Targets(func() []target.Info { return nil }), Peers(func(zone string) []string { return []string{zone} },
				func(ctx context.Context, zone string, in *Check) (*Result, error) {
					is.Equal(zone, "z1")
					return second.HandleForwarded(ctx, in)
				}))
		far.token = opened.Token
		_, b, _ = far.call("POST", "/sessions/desk/requests?method=add", "2")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 2")

		f.change(func(info *target.Info) bool { info.Leaving = info.ID == opened.Target; return true })
		time.Sleep(time.Second)
		_, b, _ = c.call("POST", "/sessions/desk/requests?method=add", "3")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 3")
		for range 20 {
			_, b, _ = c.call("POST", "/checks/desk/add", "")
			is.True(b.Target != opened.Target)
		}

		f.change(func(info *target.Info) bool { return info.ID != opened.Target })
		time.Sleep(time.Second)
		code, b, _ = c.call("POST", "/sessions/desk/requests?method=add", "4")
		is.Equal(code, http.StatusGone)
		is.Equal(b.Outcome, job.NotRun)
		code, b, _ = c.call("DELETE", "/sessions/desk", "")
		is.Equal(code, http.StatusOK)
		is.Equal(b.Outcome, job.Done)
	})
}

// The caller sends requests of one session without waiting for answers.
// They run one at a time in the order of arrival; behind one whose end is not known none is run,
// because the caller could not tell whether it came before or after.
func TestSessionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var ran []string
		f := newFakes(1, func(ctx context.Context, id string, r *target.Request) (*target.Response, error) {
			mu.Lock()
			ran = append(ran, string(r.Body))
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			if string(r.Body) == "c" {
				return nil, errors.New("connection cut")
			}
			return echo(ctx, id, r)
		})
		g := f.gate()
		defer g.Close()
		results := make([]*Result, 5)
		var all sync.WaitGroup
		for i, body := range []string{"a", "b", "c", "d", "e"} {
			all.Go(func() {
				results[i] = g.Do(context.Background(), &Check{Service: "desk", Session: "s", Target: "ta", Zone: "z1", Body: []byte(body)})
			})
			synctest.Wait()
		}
		all.Wait()
		is.Equal(strings.Join(ran, ""), "abc")
		for i, want := range []job.Outcome{job.Done, job.Done, job.Unknown, job.NotRun, job.NotRun} {
			is.Equal(results[i].Outcome, want)
		}
		is.Equal(len(g.lanes), 0)
	})
}

// The callers see no request cut off by a planned stop.
// A check and a request of a stream are at the target when the gate starts to stop. Both get their
// answers, new checks are refused at once, and the stream is asked to move; with its token the caller
// goes on at another gate.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes(2, func(ctx context.Context, id string, r *target.Request) (*target.Response, error) {
			time.Sleep(time.Second)
			return echo(ctx, id, r)
		})
		g, c := served(t, f)
		_, _, opened := c.call("POST", "/sessions/desk", "")
		c.token = opened.Token
		lines, send := io.Pipe()
		req, _ := http.NewRequest("POST", "http://gate/v1/sessions/desk/stream", lines)
		req.Header.Set(HeaderSession, c.token)
		resp, err := c.Do(req)
		is.NoErr(err)
		answers := json.NewDecoder(bufio.NewReader(resp.Body))
		go send.Write([]byte("{\"method\":\"add\",\"body\":\"MQ==\"}\n"))
		inProgress := make(chan Body, 1)
		go func() {
			_, b, _ := c.call("POST", "/checks/desk/seat", "")
			inProgress <- b
		}()
		time.Sleep(500 * time.Millisecond)

		stopped := make(chan int, 1)
		go func() { stopped <- g.Drain(time.Now().Add(10 * time.Second)) }()
		synctest.Wait()
		start := time.Now()
		code, b, _ := c.call("POST", "/checks/desk/seat", "")
		is.Equal(code, http.StatusServiceUnavailable)
		is.Equal(b.Outcome, job.NotRun)
		is.True(b.RetryAfterMillis > 0)
		is.Equal(time.Since(start), time.Duration(0))

		is.Equal((<-inProgress).Outcome, job.Done)
		var answered, moved Body
		is.NoErr(answers.Decode(&answered))
		is.Equal(string(answered.Answer.Body), opened.Target+" "+opened.Session+" 1")
		is.NoErr(answers.Decode(&moved))
		is.True(moved.Move)
		is.Equal(<-stopped, 0)
		send.Close()
		resp.Body.Close()

		_, next := served(t, f, ID("g2"))
		next.token = moved.Token
		_, b, _ = next.call("POST", "/sessions/desk/requests?method=add", "2")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 2")
	})
}

// A stream answers in order, and tells the findings of a bad line without ending.
func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakes(1, echo)
		_, c := served(t, f, Limit(func(l *Limits) { l.BodyBytes = 16 }))
		_, _, opened := c.call("POST", "/sessions/desk", "")
		in := "{\"method\":\"add\",\"body\":\"MQ==\"}\n{\"methd\":1}\n{\"method\":\"add\",\"body\":\"Mg==\"}\n" +
			strings.Repeat("x", 8<<10) + "\n"
		req, _ := http.NewRequest("POST", "http://gate/v1/sessions/desk/stream", strings.NewReader(in))
		req.Header.Set(HeaderSession, opened.Token)
		resp, err := c.Do(req)
		is.NoErr(err)
		raw, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		var got []string
		for _, line := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
			var b Body
			is.NoErr(json.Unmarshal(line, &b))
			if b.Answer != nil {
				got = append(got, string(b.Answer.Body[len(b.Answer.Body)-1:]))
				continue
			}
			got = append(got, b.Findings[0].Path)
		}
		is.Equal(got, []string{"1", "methd", "2", "stream"})
	})
}
