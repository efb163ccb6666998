package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/metric"
)

// pipes is a listener of connections in memory.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	near, far := net.Pipe()
	p.conns <- far
	return near
}

const (
	testHeader = 3 * time.Second
	testIdle   = 20 * time.Second
)

// serveTest runs a server within limits; its Close must be called.
func serveTest(l Limits, h http.HandlerFunc) (*pipes, *Budget, func()) {
	p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	b := NewBudget("test", l, metric.New())
	s := NewServer(h)
	go func() {
		_ = s.Serve(Listen(p, b, func() Timeouts { return Timeouts{Header: testHeader, Idle: testIdle} }))
	}()
	return p, b, func() { _ = s.Close() }
}

// ask sends a request on a connection and returns the status of the answer; zero if the connection was closed.
func ask(conn net.Conn, request string) int {
	go func() { _, _ = io.WriteString(conn, request) }()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against connections that stay open without a request, or within its headers, and against timeouts that end requests
// being served.
func TestTimeouts(t *testing.T) {
	cases := []struct {
		name string
		// requests are sent one after the other and answered, sent is what follows.
		requests int
		sent     string
		want     time.Duration
	}{
		{"no request", 0, "", testHeader},
		{"headers without end", 0, "GET / HTTP/1.1\r\nHost:", testHeader},
		{"idle after a request", 1, "", testIdle},
		{"idle after requests", 3, "", testIdle},
		{"second headers without end", 1, "GET / HTTP/1.1\r\n", testHeader},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, b, stop := serveTest(Limits{Connections: 9, Bytes: 1 << 20}, func(http.ResponseWriter, *http.Request) { time.Sleep(time.Minute) })
				defer stop()
				conn := p.dial()
				defer conn.Close()
				for range c.requests {
					is.Equal(ask(conn, get), http.StatusOK)
				}
				started := time.Now()
				if c.sent != "" {
					_, err := io.WriteString(conn, c.sent)
					is.NoErr(err)
				}
				_, err := conn.Read(make([]byte, 1))
				is.True(err != nil)
				is.Equal(time.Since(started), c.want)
				synctest.Wait()
				is.Equal(b.count, 0)
			})
		})
	}
}

// Guards against a head whose end is found in the wrong place, wherever the reads end.
func TestHeadEnds(t *testing.T) {
	cases := []struct {
		name, in string
		want     int
	}{
		{"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\nbody", 27},
		{"without carriage returns", "GET / HTTP/1.1\nHost: a\n\nbody\n\n", 24},
		{"empty lines first", "\r\n\r\nGET / HTTP/1.1\r\n\r\n\r\n", 22},
		{"line of carriage returns", "GET /\r\n\r\r\n\r\n", 12},
		{"no end", "GET /\r\nA: b\r\n", -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= len(c.in); size++ {
				var h head
				end := -1
				for i := range c.in {
					if i%size == 0 && !h.ended {
						h.add([]byte(c.in[i:min(i+size, len(c.in))]))
						if h.ended {
							end = min(i+size, len(c.in))
						}
					}
				}
				if c.want < 0 {
					is.New(t).Equal(end, -1)
					continue
				}
				want := min((c.want+size-1)/size*size, len(c.in))
				if end != want {
					t.Errorf("reads of %d bytes: the end is found after %d bytes, want %d in %q", size, end, want, strings.ReplaceAll(c.in, "\r", "."))
				}
			}
		})
	}
}
