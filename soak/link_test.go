package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo answers each connection with what comes over it.
func echo(t *testing.T) string {
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

// say sends a line over a connection and tells whether it comes back.
func say(conn net.Conn, within time.Duration) error {
	if _, err := conn.Write([]byte("hello")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(conn, make([]byte, 5))
	return err
}

// sayAnew does so over a connection of its own; one that is reset at once may be so while it is being opened.
func sayAnew(address string, within time.Duration) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return say(conn, within)
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// A soak is worth what its links do: a mode that handed bytes on would let every promise pass. In each case
// a connection is open before the mode is set, one is opened in it, and one after it has been lifted.
func TestLinkModes(t *testing.T) {
	const wait = 100 * time.Millisecond
	cases := []struct {
		name                  string
		mode                  Mode
		during, after, opened func(error) bool
	}{
		{"silent", Silencing, isTimeout, isTimeout, isTimeout},
		{"deaf", Deafening, isTimeout, isTimeout, isTimeout},
		{"reset", Resetting, ended, ended, ended},
		{"late", Delaying, isTimeout, passes, isTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k, err := NewLink("127.0.0.1:0", echo(t))
			is.NoErr(err)
			defer k.Close()
			before, err := net.Dial("tcp", k.Address())
			is.NoErr(err)
			defer before.Close()
			is.NoErr(say(before, 10*wait))
			k.Set(c.mode, 3*wait)
			is.True(c.during(say(before, wait)))
			is.True(c.opened(sayAnew(k.Address(), wait)))
			k.Set(Passing, 0)
			time.Sleep(4 * wait)
			is.True(c.after(say(before, wait)))
			is.NoErr(sayAnew(k.Address(), 10*wait))
		})
	}
}

func ended(err error) bool { return err != nil && !isTimeout(err) }

func passes(err error) bool { return err == nil }
