package rpc

import (
	"bufio"
	"io"
	"net"
	netrpc "net/rpc"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// codec encodes and decodes msgpack values for both the client and the server codec of net/rpc.
type codec struct {
	conn  net.Conn
	buf   *bufio.Writer
	enc   *msgpack.Encoder
	dec   *msgpack.Decoder
	limit *io.LimitedReader
	once  sync.Once
}

func newCodec(conn net.Conn) *codec {
	c := &codec{conn: conn, buf: bufio.NewWriter(conn), limit: &io.LimitedReader{R: bufio.NewReader(conn)}}
	c.enc = msgpack.NewEncoder(c.buf)
	c.dec = msgpack.NewDecoder(c.limit)
	return c
}

func (c *codec) write(header, body any) error {
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// readHeader starts a new message and limits its size, so that a peer cannot exhaust this process's
// memory. A longer message closes the connection.
func (c *codec) readHeader(header any) error {
	c.limit.N = MaxMessageBytes
	return c.dec.Decode(header)
}

func (c *codec) readBody(body any) error {
	if body == nil {
		return c.dec.Skip()
	}
	return c.dec.Decode(body)
}

func (c *codec) Close() error {
	var err error
	c.once.Do(func() { err = c.conn.Close() })
	return err
}

type header struct {
	Method string `msgpack:"m,omitempty"`
	Seq    uint64 `msgpack:"s"`
	Error  string `msgpack:"e,omitempty"`
}

type clientCodec struct{ *codec }

func newClientCodec(conn net.Conn) netrpc.ClientCodec { return &clientCodec{newCodec(conn)} }

func (c *clientCodec) WriteRequest(r *netrpc.Request, body any) error {
	return c.write(&header{Method: r.ServiceMethod, Seq: r.Seq}, body)
}

func (c *clientCodec) ReadResponseHeader(r *netrpc.Response) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

type serverCodec struct{ *codec }

func newServerCodec(conn net.Conn) netrpc.ServerCodec { return &serverCodec{newCodec(conn)} }

func (c *serverCodec) ReadRequestHeader(r *netrpc.Request) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}
	r.ServiceMethod, r.Seq = h.Method, h.Seq
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *serverCodec) WriteResponse(r *netrpc.Response, body any) error {
	return c.write(&header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)
}
