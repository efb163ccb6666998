package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEchoServer starts a server that echoes all bytes, and returns its address.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); conn.Close() }()
		}
	}()
	return l.Addr().String()
}

// echoOnce sends bytes over a connection and waits for their echo.
func echoOnce(conn net.Conn, timeout time.Duration) error {
	if _, err := conn.Write([]byte("hello")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := io.ReadFull(conn, make([]byte, 5))
	return err
}

// echoOnNewConn calls echoOnce on a new connection. A reset may already fail the dial.
func echoOnNewConn(address string, timeout time.Duration) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return echoOnce(conn, timeout)
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Guards against proxies that let bytes pass in a fault mode, which would make the soak test pass without faults.
// Each case uses connections from before, during and after the mode.
func TestProxyModes(t *testing.T) {
	const wait = 100 * time.Millisecond
	cases := []struct {
		name                  string
		mode                  Mode
		during, after, opened func(error) bool
	}{
		{"blackhole", Blackholing, isTimeout, isTimeout, isTimeout},
		{"drop replies", DroppingReplies, isTimeout, isTimeout, isTimeout},
		{"reset", Resetting, isClosed, isClosed, isClosed},
		{"delay", Delaying, isTimeout, isNil, isTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, err := NewProxy("127.0.0.1:0", startEchoServer(t))
			is.NoErr(err)
			defer p.Close()
			before, err := net.Dial("tcp", p.Address())
			is.NoErr(err)
			defer before.Close()
			is.NoErr(echoOnce(before, 10*wait))
			p.Set(c.mode, 3*wait)
			is.True(c.during(echoOnce(before, wait)))
			is.True(c.opened(echoOnNewConn(p.Address(), wait)))
			p.Set(Forwarding, 0)
			time.Sleep(4 * wait)
			is.True(c.after(echoOnce(before, wait)))
			is.NoErr(echoOnNewConn(p.Address(), 10*wait))
		})
	}
}

func isClosed(err error) bool { return err != nil && !isTimeout(err) }

func isNil(err error) bool { return err == nil }
