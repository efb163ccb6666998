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

// listener is a listener over in-memory pipes, which work with the virtual clock.
type listener struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

func listen() *listener { return &listener{conns: make(chan net.Conn), ended: make(chan struct{})} }

func (p *listener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *listener) Close() error   { p.once.Do(func() { close(p.ended) }); return nil }
func (p *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *listener) client() *http.Client {
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

// caller is an HTTP caller with a session.
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

// serveGate runs a gate behind a listener and stops both when the test ends.
func serveGate(t *testing.T, f *fakeTargets, opts ...Option) (*Gate, *caller) {
	g := f.newGate(append(opts, SessionKeys(sessionKey))...)
	l := listen()
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

// Guards against sessions that end with the gate that opened them. Each request must reach the
// session's target, also through a gate of another zone and while the target is leaving. Once the
// target is gone, the caller must learn that and not retry.
func TestSessionOutlivesItsGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(3, echo)
		first, c := serveGate(t, f)
		code, _, opened := c.call("POST", "/sessions/desk", "")
		is.Equal(code, http.StatusCreated)
		first.Close()

		second, c := serveGate(t, f, ID("g2"))
		c.token = opened.Token
		_, b, _ := c.call("POST", "/sessions/desk/requests?method=add", "1")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 1")

		_, far := serveGate(t, f, ID("g3"), Zone("z2"), Rules(func(*Check) Decision { return Decision{Zone: "z2"} }),
			Targets(func() []target.Info { return nil }), Peers(func(zone string) []string { return []string{zone} },
				func(ctx context.Context, zone string, in *Check) (*Result, error) {
					is.Equal(zone, "z1")
					return second.HandleForwarded(ctx, in)
				}))
		far.token = opened.Token
		_, b, _ = far.call("POST", "/sessions/desk/requests?method=add", "2")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 2")

		f.updateInfos(func(info *target.Info) bool { info.Leaving = info.ID == opened.Target; return true })
		time.Sleep(time.Second)
		_, b, _ = c.call("POST", "/sessions/desk/requests?method=add", "3")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 3")
		for range 20 {
			_, b, _ = c.call("POST", "/checks/desk/add", "")
			is.True(b.Target != opened.Target)
		}

		f.updateInfos(func(info *target.Info) bool { return info.ID != opened.Target })
		time.Sleep(time.Second)
		code, b, _ = c.call("POST", "/sessions/desk/requests?method=add", "4")
		is.Equal(code, http.StatusGone)
		is.Equal(b.Outcome, job.NotRun)
		code, b, _ = c.call("DELETE", "/sessions/desk", "")
		is.Equal(code, http.StatusOK)
		is.Equal(b.Outcome, job.Done)
	})
}

// Guards against pipelined requests of a session that run out of order. After a request of unknown
// outcome none of the later ones may run, because the caller could not tell their order.
func TestSessionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var ran []string
		f := newFakeTargets(1, func(ctx context.Context, id string, r *target.Request) (*target.Response, error) {
			mu.Lock()
			ran = append(ran, string(r.Body))
			mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			if string(r.Body) == "c" {
				return nil, errors.New("connection cut")
			}
			return echo(ctx, id, r)
		})
		g := f.newGate()
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
		is.Equal(len(g.sessionQueues), 0)
	})
}

// Guards against requests cut off by a graceful stop. A check and a stream request are in progress
// when the gate starts to drain. Both must be answered, new checks must be rejected at once, and
// the stream must be asked to move; its token must work at another gate.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(2, func(ctx context.Context, id string, r *target.Request) (*target.Response, error) {
			time.Sleep(time.Second)
			return echo(ctx, id, r)
		})
		g, c := serveGate(t, f)
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

		_, next := serveGate(t, f, ID("g2"))
		next.token = moved.Token
		_, b, _ = next.call("POST", "/sessions/desk/requests?method=add", "2")
		is.Equal(string(b.Answer.Body), opened.Target+" "+opened.Session+" 2")
	})
}

// Guards against a stream that answers out of order or ends at an invalid line.
func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeTargets(1, echo)
		_, c := serveGate(t, f, Limit(func(l *Limits) { l.BodyBytes = 16 }))
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
