package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
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
	testHeader      = 3 * time.Second
	testIdle        = 20 * time.Second
	testHeaderBytes = 16 << 10
)

// serveTest runs a server within limits; its Close must be called.
func serveTest(l Limits, h http.HandlerFunc) (*pipes, *Budget, func()) {
	p := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
	b := NewBudget("test", l, metric.New())
	s := NewServer(h)
	go func() {
		_ = s.Serve(Listen(p, b, func() RequestLimits {
			return RequestLimits{HeaderBytes: testHeaderBytes, HeaderTimeout: testHeader, IdleTimeout: testIdle}
		}))
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
	defer res.Body.Close()
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
						_ = h.add([]byte(c.in[i:min(i+size, len(c.in))]))
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

// lines returns header lines of n bytes each, that many bytes in all.
func lines(n, all int) string {
	var b strings.Builder
	for i := 0; b.Len()+n <= all; i++ {
		name := strconv.Itoa(i)
		b.WriteString(name + ":" + strings.Repeat("x", n-len(name)-3) + "\r\n")
	}
	return b.String()
}

// Guards against headers that take more memory once parsed than a budget has, and against a limit that rejects what is
// allowed: any headers within the limit are served alone, and larger ones are rejected with an answer.
func TestHeaders(t *testing.T) {
	cases := []struct {
		name, head string
		budget     int64
		want       int
	}{
		{"short lines", lines(7, testHeaderBytes-100), 1 << 20, http.StatusOK},
		{"long lines", lines(1000, testHeaderBytes-100), 1 << 20, http.StatusOK},
		{"one line", lines(testHeaderBytes-100, testHeaderBytes-100), 1 << 20, http.StatusOK},
		{"too large", lines(1000, testHeaderBytes+2*headerSlack), 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		{"short lines beyond the budget", lines(7, testHeaderBytes-100), 64 << 10, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, b, stop := serveTest(Limits{Connections: 2, Bytes: c.budget}, func(http.ResponseWriter, *http.Request) {})
				defer stop()
				conn := p.dial()
				is.Equal(ask(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+c.head+"\r\n"), c.want)
				synctest.Wait()
				conn.Close()
				synctest.Wait()
				is.Equal(b.used, int64(0))
			})
		})
	}
}

// Guards against headers that come behind the last request in the same read, and are not counted.
func TestPipelinedHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, b, stop := serveTest(Limits{Connections: 2, Bytes: 1 << 20}, func(http.ResponseWriter, *http.Request) {})
		defer stop()
		conn := p.dial()
		defer conn.Close()
		is.Equal(ask(conn, get+"GET / HTTP/1.1\r\nHost: a\r\n"+lines(7, 3000)), http.StatusOK)
		synctest.Wait()
		_, err := io.WriteString(conn, "z:\r\n")
		is.NoErr(err)
		synctest.Wait()
		is.True(b.used > 3000/7*lineBytes)
	})
}
