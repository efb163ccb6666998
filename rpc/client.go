package rpc

import (
	"context"
	"net"
	netrpc "net/rpc"
	"sync"
	"sync/atomic"
)

// Client calls one peer over one connection, which it opens when needed and again after a failure.
type Client struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	mu      sync.Mutex
	conn    *link
	dialing *dialing
}

// link is one connection.
type link struct {
	*netrpc.Client
	conn net.Conn
	// heard is when the last answer came, in nanoseconds of the process.
	heard atomic.Int64
}

// dialing is a connection being opened, for which any number of calls may wait.
type dialing struct {
	done chan struct{}
	stop context.CancelFunc
	conn *link
	err  error
}

// NewClient returns a client of the peer at address, an IP number and port; it dials on the first call.
func NewClient(address string, opts ...Option) *Client {
	c := &Client{address: address, dial: dialTCP}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Address gives the peer's address.
func (c *Client) Address() string { return c.address }

// Connect opens the connection unless it is open. An error means that the peer could not be reached within ctx.
func (c *Client) Connect(ctx context.Context) error {
	_, err := c.get(ctx)
	return err
}

// get gives the connection, and waits for one to be opened no longer than ctx.
func (c *Client) get(ctx context.Context) (*link, error) {
	c.mu.Lock()
	if c.conn != nil {
		defer c.mu.Unlock()
		return c.conn, nil
	}
	d := c.dialing
	if d == nil {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		d = &dialing{done: make(chan struct{}), stop: cancel}
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

// open dials on behalf of all calls that wait.
func (c *Client) open(ctx context.Context, d *dialing) {
	defer d.stop()
	conn, err := c.dial(ctx, c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	d.err = err
	if err == nil {
		d.conn = &link{Client: netrpc.NewClientWithCodec(newClientCodec(conn)), conn: conn}
	}
	if c.dialing != d {
		// The client was closed meanwhile.
		if d.conn != nil {
			d.conn.Close()
		}
		d.conn, d.err = nil, net.ErrClosed
		return
	}
	c.dialing, c.conn = nil, d.conn
}

// drop forgets a connection that failed, unless a newer one has taken its place.
func (c *Client) drop(failed *link) {
	c.mu.Lock()
	if c.conn == failed {
		c.conn = nil
	}
	c.mu.Unlock()
	failed.reset()
	failed.Close()
}

// reset makes the close of a connection discard what was not delivered. A request that a cut holds up
// would otherwise be carried out when the cut heals, long after its caller was told something else.
func (l *link) reset() {
	if tcp, ok := l.conn.(*net.TCPConn); ok {
		// The connection may be closed already, and then holds nothing.
		_ = tcp.SetLinger(0)
	}
}

// Close ends the connection, and the opening of one.
func (c *Client) Close() {
	c.mu.Lock()
	conn, d := c.conn, c.dialing
	c.conn, c.dialing = nil, nil
	c.mu.Unlock()
	if d != nil {
		d.stop()
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

// NewPool returns an empty pool whose clients are made with opts.
func NewPool(opts ...Option) *Pool {
	return &Pool{opts: opts, clients: make(map[string]*Client)}
}

// Get gives the client of an address.
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

// Retain closes and forgets the clients of all addresses but these.
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
