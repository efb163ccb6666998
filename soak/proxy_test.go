package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is what a Link does to its connections.
type Mode int

// The modes of a Link.
const (
	// Passing hands all bytes on.
	Passing Mode = iota
	// Delaying hands them on late.
	Delaying
	// Silencing takes connections and all that comes over them, and hands nothing on in either direction.
	// Connections that were open stay silent for good.
	Silencing
	// Deafening hands requests on and drops the answers; connections that were open stay so for good.
	Deafening
	// Resetting resets connections.
	Resetting
)

const (
	linkBuffer   = 32 << 10
	linkDialWait = time.Second
)

// Link is a proxy on the loopback interface between one caller and one server.
type Link struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[*linkConn]struct{}
}

// linkConn is one connection through a Link.
type linkConn struct {
	near, far net.Conn
	// silent and deaf drop what goes to the server and to the caller.
	silent, deaf bool
}

// NewLink returns a Link that listens on an address and hands on to another.
func NewLink(listen, target string) (*Link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	k := &Link{listener: l, target: target, conns: make(map[*linkConn]struct{})}
	k.wg.Go(k.accept)
	return k, nil
}

// Address gives where the Link listens.
func (k *Link) Address() string { return k.listener.Addr().String() }

// Set changes the mode; the delay counts for Delaying alone.
func (k *Link) Set(m Mode, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode, k.delay = m, delay
	for c := range k.conns {
		switch m {
		case Silencing:
			c.silent, c.deaf = true, true
		case Deafening:
			c.deaf = true
		case Resetting:
			c.reset()
		default:
		}
	}
}

// Close ends the Link with all its connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.Set(Resetting, 0)
	k.wg.Wait()
}

func (k *Link) accept() {
	for {
		conn, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			k.wg.Go(func() { k.serve(conn) })
		}
	}
}

func (k *Link) serve(near net.Conn) {
	c := &linkConn{near: near}
	defer near.Close()
	far, err := net.DialTimeout("tcp", k.target, linkDialWait)
	if err != nil {
		c.reset()
		return
	}
	defer far.Close()
	c.far = far
	k.mu.Lock()
	c.silent, c.deaf = k.mode == Silencing, k.mode == Silencing || k.mode == Deafening
	resets := k.mode == Resetting
	k.conns[c] = struct{}{}
	k.mu.Unlock()
	if resets {
		c.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { k.pump(c, near, far, func() bool { return c.silent }) })
	both.Go(func() { k.pump(c, far, near, func() bool { return c.deaf }) })
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// pump hands bytes on in one direction until either end closes.
func (k *Link) pump(c *linkConn, from, to net.Conn, drops func() bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		k.mu.Lock()
		dropped, delay := drops(), time.Duration(0)
		if k.mode == Delaying {
			delay = k.delay
		}
		k.mu.Unlock()
		if dropped {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// reset ends a connection so that both ends see a reset.
func (c *linkConn) reset() {
	for _, conn := range []net.Conn{c.near, c.far} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a connection that is gone needs no reset
			_ = tcp.Close()
		}
	}
}
