package connection

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"time"
)

const (
	// firstBodyBytes is the size of the first buffer of a body. It is part of what every connection holds.
	firstBodyBytes = 4 << 10
	// unreadBytes is up to how much of a body is read although its request is answered without it, so that the connection
	// can be used again. With more to come, it is closed after the answer.
	unreadBytes = 4 << 10
)

// ReadBody reads the body of a request, at most limit bytes and until a deadline. While it arrives, the connection may be
// closed in favor of others: that is ErrEvicted. ErrExhausted means that no memory is left for it, *http.MaxBytesError that
// it is too large, os.ErrDeadlineExceeded that it has not arrived in time. After an error, the connection is closed with the
// answer.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	c := fromContext(r.Context())
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if c == nil {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	c.holder.Receiving()
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, c.cause(err)
	}
	w.Header().Set("Connection", "close")
	raw, err := c.readBody(r.Body, r.ContentLength, limit)
	r.Trailer = nil // parsed by net/http, and read by nobody
	if err == nil {
		// Decoded, the body is held a second time.
		err = c.growBeyond(firstBodyBytes, int64(len(raw)))
	}
	if err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	if err == nil {
		err = c.holder.Serve()
	}
	if err != nil {
		return nil, c.cause(err)
	}
	w.Header().Del("Connection")
	return raw, nil
}

// Grow takes memory for the request of a context, beside its headers and body, until it is answered.
func Grow(ctx context.Context, n int64) error {
	c := fromContext(ctx)
	if c == nil {
		return nil
	}
	return c.holder.Grow(n)
}

// cause returns why the connection failed.
func (c *Conn) cause(err error) error {
	if c.holder.Evicted() {
		return ErrEvicted
	}
	return err
}

// readBody reads a body of a size, which is negative if it is not known.
func (c *Conn) readBody(body io.Reader, size, limit int64) ([]byte, error) {
	buf := make([]byte, 0, firstBodyBytes)
	progress := 0
	for {
		if len(buf) == cap(buf) {
			var err error
			if buf, err = c.enlarge(buf); err != nil {
				return nil, err
			}
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if len(buf)-progress >= progressBytes {
			progress = len(buf)
			c.holder.Receiving()
		}
		switch {
		case int64(len(buf)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case errors.Is(err, io.EOF) && (size < 0 || int64(len(buf)) == size):
			return buf, nil
		case err != nil:
			return nil, err
		}
		// Small chunks take time to parse. Others must not wait until the scheduler interrupts each of many such bodies.
		runtime.Gosched()
	}
}

// enlarge replaces a full buffer by one of twice its size.
func (c *Conn) enlarge(buf []byte) ([]byte, error) {
	if err := c.growBeyond(firstBodyBytes, int64(2*cap(buf))); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, 2*cap(buf)), buf...)
	c.shrinkBeyond(firstBodyBytes, int64(cap(buf)))
	return larger, nil
}

// growBeyond takes memory for n bytes if they are more than every connection holds.
func (c *Conn) growBeyond(held, n int64) error {
	if n <= held {
		return nil
	}
	return c.holder.Grow(n)
}

func (c *Conn) shrinkBeyond(held, n int64) {
	if n > held {
		c.holder.Shrink(n)
	}
}

// closeUnlessRead has the connection closed after the answer to a request with a large body, until ReadBody has read it.
func closeUnlessRead(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > unreadBytes {
		w.Header().Set("Connection", "close")
	}
}

// dropBody reads the rest of a small body, so that the answer does not wait for it without end. If it does not arrive in the
// time that headers have, the connection is closed.
func (c *Conn) dropBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength <= 0 || w.Header().Get("Connection") == "close" {
		return
	}
	c.holder.Receiving()
	err := c.SetReadDeadline(time.Now().Add(c.limits().HeaderTimeout))
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(r.Body, unreadBytes))
	}
	if err != nil || c.SetReadDeadline(time.Time{}) != nil {
		panic(http.ErrAbortHandler)
	}
}
