package crowd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// form is a kind of request of a crowd.
type form struct {
	// path is the path of the request; an ID is appended.
	path string
	// head holds additional header lines; each ends with CRLF.
	head string
	// body is the body on the wire, with its chunk framing if chunked is set.
	body    []byte
	chunked bool
	// pieceBytes splits the request into writes of that size; zero writes it at once.
	pieceBytes int
	// holdBack is how many bytes of the request the crowd does not send. A request without them stays open.
	holdBack int
}

// request returns the request with an ID.
func (f *form) request(method, host, id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n", method, f.path, id, host)
	switch {
	case f.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(f.body) > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(f.body))
	}
	b.WriteString(f.head)
	b.WriteString("\r\n")
	b.Write(f.body)
	return b.Bytes()
}

// work returns the body of a valid submission of that size, filled up by spaces.
func work(size int) []byte {
	body := []byte(`{"Spec":"x","Steps":[{"Count":1,"Cpu":500,"MemMb":256}]}`)
	return append(body, bytes.Repeat([]byte(" "), size-len(body))...)
}

// steps returns the body of a submission with as many steps as a body may hold.
func steps(step string) []byte {
	body := []byte(`{"Steps":[` + step)
	for len(body)+len(step)+3 < maxBodyBytes {
		body = append(append(body, ','), step...)
	}
	return append(body, "]}"...)
}

// shortHeaders returns distinct header lines of four to six bytes, at most that many bytes in all.
func shortHeaders(bytes int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; ; i++ {
		name := ""
		for n := i; ; n = n/len(digits) - 1 {
			name += digits[n%len(digits) : n%len(digits)+1]
			if n < len(digits) {
				break
			}
		}
		if b.Len()+len(name)+3 > bytes {
			return b.String()
		}
		b.WriteString(name + ":\r\n")
	}
}

// inChunks returns a body in chunks of that size.
func inChunks(body []byte, size int) []byte {
	var b bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n", n)
		b.Write(body[:n])
		b.WriteString("\r\n")
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// crowd holds open connections.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// id returns an ID of 16 hexadecimal digits.
func id(n int) string { return fmt.Sprintf("%016x", n) }

// newCrowd opens n connections to an address and sends a request of the form on each, but for the bytes that it holds back.
// It returns when all that the server takes has been sent. With readAnswers it also reads one response on each.
func newCrowd(t *testing.T, n int, address string, request func(i int) []byte, f *form, readAnswers bool) *crowd {
	t.Helper()
	c := &crowd{}
	var wg sync.WaitGroup
	opening := make(chan struct{}, 64)
	for i := range n {
		wg.Go(func() {
			opening <- struct{}{}
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			<-opening
			if err != nil {
				return // the server may refuse connections of a crowd
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			raw := request(i)
			raw = raw[:len(raw)-f.holdBack]
			piece := len(raw)
			if f.pieceBytes > 0 {
				piece = f.pieceBytes
			}
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			for len(raw) > 0 {
				sent, err := conn.Write(raw[:min(piece, len(raw))])
				if err != nil {
					return // the server may close connections of a crowd
				}
				raw = raw[sent:]
			}
			if readAnswers {
				_, _ = readResponse(conn)
			}
		})
	}
	wg.Wait()
	return c
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}

// The limits of waits: a test that reaches one of them fails, or has found a server that hangs.
const (
	dialTimeout   = 5 * time.Second
	crowdTimeout  = 30 * time.Second
	answerTimeout = 10 * time.Second
	answerTries   = 20
)

// readResponse reads one response and returns its status.
func readResponse(conn net.Conn) (int, error) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var discarded bytes.Buffer
	_, err = discarded.ReadFrom(res.Body)
	return res.StatusCode, err
}

// send sends one request on a new connection and returns the status of its response.
func send(ctx context.Context, address string, request []byte) (int, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := conn.Write(request); err != nil {
		return 0, err
	}
	return readResponse(conn)
}

// sendUntil repeats a request, as a caller does that is refused or gets no answer, until it is answered with that status.
func sendUntil(ctx context.Context, address string, request []byte, status int) error {
	var last error
	for range answerTries {
		got, err := send(ctx, address, request)
		if err == nil && got == status {
			return nil
		}
		last = errors.Join(err, fmt.Errorf("status %d", got))
		time.Sleep(time.Second)
	}
	return last
}
