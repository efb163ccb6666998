package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// windowTime is how long what one connection may have under way on a link takes there. A connection waits until the
	// windows of the others that came first have passed, so that connections with much to send get equal shares.
	windowTime = 50 * time.Millisecond
	// unlimitedWindow is the window in bytes between links without a limit.
	unlimitedWindow = 64 << 10
)

// lingerTimeout limits the sending of what was written before a connection was closed.
const lingerTimeout = time.Second

// Link is the network link of a VM. Both directions have the same speed.
type Link struct {
	in, out  lane
	received atomic.Int64
}

// New returns a link with a speed in bits per second; zero means that it has no limit.
func New(bitsPerSecond int) *Link {
	return &Link{in: lane{bitsPerSecond: bitsPerSecond}, out: lane{bitsPerSecond: bitsPerSecond}}
}

// window returns how many bytes of one connection may be under way.
func (l *Link) window() int {
	if l.in.bitsPerSecond == 0 {
		return unlimitedWindow
	}
	return max(int(int64(l.in.bitsPerSecond)*int64(windowTime)/int64(8*time.Second)), 1)
}

// Received returns the number of bytes that the VM has received, including those of connections that it closed.
func (l *Link) Received() int64 { return l.received.Load() }

// lane is one direction of a link.
type lane struct {
	bitsPerSecond int
	mu            sync.Mutex
	freeAt        time.Time
}

// pass returns when n bytes have passed behind those that came before.
func (l *lane) pass(n int) {
	if l.bitsPerSecond == 0 {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * 8 * time.Second / time.Duration(l.bitsPerSecond))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// Network connects VMs by address.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network { return &Network{listeners: make(map[string]*listener)} }

// Listen returns a listener at an address of a VM.
func (n *Network) Listen(at *Link, address string) net.Listener {
	l := &listener{link: at, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Dialer returns a function that connects a VM to an address.
func (n *Network) Dialer(from *Link) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
		}
		client, server := net.Pipe()
		select {
		case l.conns <- newConn(server, l.link, from):
			return newConn(client, from, l.link), nil
		case <-l.closed:
		case <-ctx.Done():
		}
		client.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
}

// conn is one end of a connection. What is written leaves over one link and arrives over the other. Write does not wait for
// that, so that a writer that holds a lock meanwhile does not stop the fake clock of a synctest bubble.
type conn struct {
	net.Conn
	from, to *Link

	mu      sync.Mutex
	queue   []byte
	sending bool
	closing bool
	err     error
}

func newConn(inner net.Conn, from, to *Link) *conn { return &conn{Conn: inner, from: from, to: to} }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.err != nil {
		return 0, net.ErrClosed
	}
	c.queue = append(c.queue, p...)
	if !c.sending {
		c.sending = true
		go c.send()
	}
	return len(p), nil
}

// send sends what is queued, and ends once nothing is.
func (c *conn) send() {
	for {
		c.mu.Lock()
		part := c.queue[:min(c.from.window(), c.to.window(), len(c.queue))]
		c.queue = c.queue[len(part):]
		if c.sending = len(part) > 0 && c.err == nil; !c.sending {
			closing := c.closing
			c.mu.Unlock()
			if closing {
				c.Conn.Close()
			}
			return
		}
		c.mu.Unlock()
		c.from.out.pass(len(part))
		c.to.in.pass(len(part))
		c.to.received.Add(int64(len(part)))
		if _, err := c.Conn.Write(part); err != nil {
			c.mu.Lock()
			c.err = err
			c.mu.Unlock()
		}
	}
}

// Close implements net.Conn. What was written before is still sent, for lingerTimeout at most.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.sending {
		return c.Conn.Close()
	}
	return errors.Join(c.SetReadDeadline(time.Now()), c.SetWriteDeadline(time.Now().Add(lingerTimeout)))
}

type listener struct {
	link   *Link
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.IPAddr{} }
