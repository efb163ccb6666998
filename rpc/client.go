package rpc

import (
	"context"
	"net"
	netrpc "net/rpc"
	"sync"
	"sync/atomic"
)

// Client calls one peer over one connection, which it opens on demand and reopens after a failure.
type Client struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	mu      sync.Mutex
	conn    *connection
	dialing *dialing
}

// connection is an open connection to the peer.
type connection struct {
	*netrpc.Client
	conn net.Conn
	// lastResponse is when the last response arrived, in Unix nanoseconds.
	lastResponse atomic.Int64
}

// dialing is a connection being opened, shared by all calls that wait for it.
type dialing struct {
	done   chan struct{}
	cancel context.CancelFunc
	conn   *connection
	err    error
}

// NewClient returns a client of the peer at address, an IP address and port. It dials on the first call.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{address: address, dial: dialTCP}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Connect opens the connection if needed. It fails if the peer cannot be reached before ctx is done.
func (c *Client) Connect(ctx context.Context) error {
	_, err := c.get(ctx)
	return err
}

// get returns the connection and opens one if needed. It waits no longer than ctx.
func (c *Client) get(ctx context.Context) (*connection, error) {
	c.mu.Lock()
	if c.conn != nil {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	d := c.dialing
	if d == nil {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		d = &dialing{done: make(chan struct{}), cancel: cancel}
		c.dialing = d
		go c.open(ctx, d)
	}
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open dials for all waiting calls.
func (c *Client) open(ctx context.Context, d *dialing) {
	defer d.cancel()
	conn, err := c.dial(ctx, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	d.err = err
	if err == nil {
		d.conn = &connection{Client: netrpc.NewClientWithCodec(newClientCodec(conn)), conn: conn}
	}
	if c.dialing != d {
		// The client was closed in the meantime.
		if d.conn != nil {
			d.conn.Close()
		}
		d.conn, d.err = nil, net.ErrClosed
		return
	}
	c.dialing, c.conn = nil, d.conn
}

// drop closes a failed connection and removes it, unless a newer one has replaced it.
func (c *Client) drop(failed *connection) {
	c.mu.Lock()
	if c.conn == failed {
		c.conn = nil
	}
	c.mu.Unlock()
	failed.reset()
	failed.Close()
}

// reset makes the close of the connection discard undelivered data. Otherwise a request delayed by a
// network partition would be executed when the partition heals, long after its caller has given up.
func (c *connection) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed and has no data left.
		_ = tcp.SetLinger(0)
	}
}

// Close closes the connection and cancels a dial in progress.
func (c *Client) Close() {
	c.mu.Lock()
	conn, d := c.conn, c.dialing
	c.conn, c.dialing = nil, nil
	c.mu.Unlock()
	if d != nil {
		d.cancel()
	}
	if conn != nil {
		conn.Close()
	}
}

// Pool keeps one client for each address.
type Pool struct {
	opts    []Option
	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool that creates its clients with opts.
func NewPool(opts ...Option) *Pool {
	return &Pool{opts: opts, clients: make(map[string]*Client)}
}

// Get returns the client of an address and creates it if needed.
func (p *Pool) Get(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = NewClient(address, p.opts...)
		p.clients[address] = c
	}
	return c
}

// Retain closes and removes the clients of all addresses except these.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !addresses[address] {
			c.Close()
			delete(p.clients, address)
		}
	}
}

// Close closes all clients.
func (p *Pool) Close() { p.Retain(nil) }
