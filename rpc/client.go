package rpc

import (
	"context"
	"net"
	netrpc "net/rpc"
	"sync"
)

// Client calls one peer over one connection, which it opens when needed and again after a failure.
type Client struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	mu      sync.Mutex
	conn    *netrpc.Client
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

func (c *Client) get(ctx context.Context) (*netrpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	conn, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	c.conn = netrpc.NewClientWithCodec(newClientCodec(conn))
	return c.conn, nil
}

// drop forgets a connection that failed, unless a newer one has taken its place.
func (c *Client) drop(failed *netrpc.Client) {
	c.mu.Lock()
	if c.conn == failed {
		c.conn = nil
	}
	c.mu.Unlock()
	failed.Close()
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	conn := c.conn
	c.conn = nil
	c.mu.Unlock()
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

// Keep closes and forgets the clients of all addresses but these.
func (p *Pool) Keep(addresses map[string]bool) {
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
func (p *Pool) Close() { p.Keep(nil) }
