package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode defines how a Proxy treats its connections.
type Mode int

// Modes of a Proxy.
const (
	// Forwarding forwards all bytes.
	Forwarding Mode = iota
	// Delaying forwards all bytes after a delay.
	Delaying
	// Blackholing accepts connections and drops all bytes in both directions. Connections that are open in this
	// mode never forward again.
	Blackholing
	// DroppingReplies forwards requests and drops replies. Connections that are open in this mode keep doing so.
	DroppingReplies
	// Resetting resets connections.
	Resetting
)

const (
	proxyBufferBytes = 32 << 10
	proxyDialTimeout = time.Second
)

// Proxy is a TCP proxy on the loopback interface that injects network faults.
type Proxy struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	conns map[*proxyConn]struct{}
}

// proxyConn is a connection through a Proxy.
type proxyConn struct {
	client, server            net.Conn
	dropRequests, dropReplies bool
}

// NewProxy starts a proxy from an address to a target.
func NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: make(map[*proxyConn]struct{})}
	p.wg.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode; the delay applies only to Delaying.
func (p *Proxy) Set(m Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
	for c := range p.conns {
		switch m {
		case Blackholing:
			c.dropRequests, c.dropReplies = true, true
		case DroppingReplies:
			c.dropReplies = true
		case Resetting:
			c.reset()
		default:
		}
	}
}

// Close closes the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Resetting, 0)
	p.wg.Wait()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			p.wg.Go(func() { p.serve(conn) })
		}
	}
}

func (p *Proxy) serve(client net.Conn) {
	c := &proxyConn{client: client}
	defer client.Close()
	server, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		c.reset()
		return
	}
	defer server.Close()
	c.server = server
	p.mu.Lock()
	c.dropRequests, c.dropReplies = p.mode == Blackholing, p.mode == Blackholing || p.mode == DroppingReplies
	resetNow := p.mode == Resetting
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	if resetNow {
		c.reset()
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(c, client, server, func() bool { return c.dropRequests }) })
	directions.Go(func() { p.forward(c, server, client, func() bool { return c.dropReplies }) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies bytes in one direction until either end closes.
func (p *Proxy) forward(c *proxyConn, from, to net.Conn, drop func() bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		dropped, delay := drop(), time.Duration(0)
		if p.mode == Delaying {
			delay = p.delay
		}
		p.mu.Unlock()
		if dropped {
			continue
		}
		time.Sleep(delay)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// reset closes both ends with a TCP reset.
func (c *proxyConn) reset() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails only if the connection is already closed
			_ = tcp.Close()
		}
	}
}
