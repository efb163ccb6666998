package connection

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	testBody     = 200 << 10
	testDeadline = 5 * time.Second
)

// readAll answers a request by what became of its body; requests of /unread are answered without it.
func readAll(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var tooLarge *http.MaxBytesError
	raw, err := ReadBody(w, r, testBody, time.Now().Add(testDeadline))
	switch {
	case errors.Is(err, ErrExhausted):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.WriteHeader(http.StatusGatewayTimeout)
	case errors.As(err, &tooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil || strings.Trim(string(raw), "x") != "":
		w.WriteHeader(http.StatusBadRequest)
	}
}

func post(path string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", path, size)
}

const postChunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunks(size, n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n)
}

// Guards against bodies whose connections or memory are held without end, and against the loss of answers to those that are
// within the limits.
func TestReadBody(t *testing.T) {
	cases := []struct {
		name, request string
		budget        int64
		want          int
		// again is set if the connection must serve another request.
		again bool
		after time.Duration
	}{
		{"small", post("/", 10) + "xxxxxxxxxx", 2 << 20, http.StatusOK, true, 0},
		{"large", post("/", testBody) + strings.Repeat("x", testBody), 2 << 20, http.StatusOK, true, 0},
		{"large chunks", postChunked + chunks(testBody/2, 2) + "0\r\n\r\n", 2 << 20, http.StatusOK, true, 0},
		{"small chunks", postChunked + chunks(1, 9000) + "0\r\n\r\n", 2 << 20, http.StatusOK, true, 0},
		{"one byte short", post("/", testBody) + strings.Repeat("x", testBody-1), 2 << 20, http.StatusGatewayTimeout, false, testDeadline},
		{"chunk without end", postChunked + chunks(testBody/2, 2), 2 << 20, http.StatusGatewayTimeout, false, testDeadline},
		{"larger than allowed", post("/", testBody+1), 2 << 20, http.StatusRequestEntityTooLarge, false, 0},
		{"chunks larger than allowed", postChunked + chunks(testBody/2, 3), 2 << 20, http.StatusRequestEntityTooLarge, false, 0},
		{"more than the budget", post("/", testBody) + strings.Repeat("x", testBody), 128 << 10, http.StatusServiceUnavailable, false, 0},
		{"small unread", post("/unread", 10) + "xxxxxxxxxx", 2 << 20, http.StatusNotFound, true, 0},
		{"small unread without end", post("/unread", 10) + "x", 2 << 20, 0, false, testHeader},
		{"large unread without end", post("/unread", testBody) + "x", 2 << 20, http.StatusNotFound, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, b, stop := serveTest(Limits{Connections: 2, Bytes: c.budget}, readAll)
				defer stop()
				conn := p.dial()
				started := time.Now()
				is.Equal(ask(conn, c.request), c.want)
				is.Equal(time.Since(started), c.after)
				synctest.Wait()
				if c.again {
					is.True(b.used <= 2*baseBytes)
					is.Equal(ask(conn, get), http.StatusOK)
				}
				conn.Close()
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(b.used, int64(0))
			})
		})
	}
}

// Guards against bodies that stand still and keep out those that come after them.
func TestBodyThatStandsStillIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, b, stop := serveTest(Limits{Connections: 20, Bytes: 1 << 20}, readAll)
		defer stop()
		for range 10 {
			conn := p.dial()
			defer conn.Close()
			_, err := io.WriteString(conn, post("/", testBody)+strings.Repeat("x", testBody/2))
			is.NoErr(err)
		}
		large, small := p.dial(), p.dial()
		defer large.Close()
		defer small.Close()
		is.Equal(ask(large, post("/", testBody)+strings.Repeat("x", testBody)), http.StatusOK)
		is.Equal(ask(small, post("/", 100)+strings.Repeat("x", 100)), http.StatusOK)
		is.True(b.used <= b.limits.Bytes)
	})
}
