package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"turmericgap/store"
	"turmericgap/store/etcd/wire"
)

// Name is the name of this plug-in in the settings.
const Name = "etcd"

// Default settings of a client.
const (
	DefaultTimeout  = 5 * time.Second
	DefaultMaxConns = 4
	// DefaultMaxResponseBytes is enough for the largest page that the cell requests, encoded in base64.
	DefaultMaxResponseBytes = 16 << 20
	dialTimeout             = time.Second
	idleTimeout             = 30 * time.Second
	maxErrorBytes           = 4 << 10
)

// keepAliveConfig makes a watch fail if the network drops its connection silently; it would wait forever otherwise.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3}

func init() {
	store.Register(Name, func(endpoint string) (*store.Store, error) { return New(endpoint), nil })
}

type client struct {
	endpoint string
	timeout  time.Duration
	maxConns int
	maxBytes int64
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	calls    *http.Client
	watches  *http.Client
}

// New returns a client of the gateway at endpoint, such as "http://127.0.0.1:7100" or "127.0.0.1:7100".
func New(endpoint string, opts ...Option) *store.Store {
	if !strings.Contains(endpoint, "://") {
		endpoint = "http://" + endpoint
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}
	c := &client{
		endpoint: strings.TrimSuffix(endpoint, "/"),
		timeout:  DefaultTimeout,
		maxConns: DefaultMaxConns,
		maxBytes: DefaultMaxResponseBytes,
		dial:     dialer.DialContext,
	}
	for _, o := range opts {
		o(c)
	}
	c.calls = &http.Client{Transport: &http.Transport{
		DialContext: c.dial, MaxConnsPerHost: c.maxConns, MaxIdleConnsPerHost: c.maxConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
	c.watches = &http.Client{Transport: &http.Transport{
		DialContext: c.dial, DisableCompression: true, DisableKeepAlives: true,
		ResponseHeaderTimeout: c.timeout,
	}}
	return &store.Store{
		Range: c.rangeKeys, Txn: c.txn, Grant: c.grant, KeepAlive: c.keepAlive, Revoke: c.revoke, Watch: c.watch,
	}
}

// post sends one request. If it fails before a connection is available, no byte can have been sent and the error is
// ErrNotSent. After that the request may have arrived, whatever the error.
func (c *client) post(ctx context.Context, h *http.Client, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Join(store.ErrNotSent, err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		c.endpoint+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Join(store.ErrNotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, errors.Join(store.ErrNotSent, err)
		}
		return nil, eris.Wrap(err, "store response lost")
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, responseError(resp)
	}
	return resp, nil
}

// responseError converts an error response and detects definite rejections. "Unavailable" is not definite: the service
// also returns it for a write that its leader accepted before the leader failed.
func responseError(resp *http.Response) error {
	var e wire.Error
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(raw, &e)
	}
	switch {
	case err != nil:
		return eris.Errorf("store answered %s", resp.Status)
	case e.Code == wire.CodeNotFound:
		return store.ErrLeaseGone
	case e.Code == wire.CodeInvalidArgument:
		return errors.Join(store.ErrInvalid, errors.New(e.Message))
	default:
		return eris.Errorf("store answered %s: %s", resp.Status, e.Message)
	}
}

func roundTrip[Resp any](ctx context.Context, c *client, path string, body any) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var out Resp
	resp, err := c.post(ctx, c.calls, path, body)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	// Decode reads only the first message; the stream of a lease renewal may stay open after it.
	limited := &io.LimitedReader{R: resp.Body, N: c.maxBytes}
	if err := json.NewDecoder(limited).Decode(&out); err != nil {
		if limited.N <= 0 {
			return out, eris.Errorf("store response exceeds %d bytes", c.maxBytes)
		}
		return out, eris.Wrap(err, "decode store response")
	}
	if path != wire.PathKeepAlive {
		// Drain the body so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, limited, maxErrorBytes)
	}
	return out, nil
}

func (c *client) rangeKeys(ctx context.Context, r store.Range) (store.RangeResult, error) {
	req := wire.RangeRequest{Key: []byte(r.Key), RangeEnd: []byte(r.End), Limit: r.Limit}
	if r.ChangedSince > 0 {
		req.MinModRevision = r.ChangedSince + 1
	}
	resp, err := roundTrip[wire.RangeResponse](ctx, c, wire.PathRange, req)
	if err == nil {
		err = checkHeader(resp.Header)
	}
	if err != nil {
		return store.RangeResult{}, err
	}
	out := store.RangeResult{Revision: resp.Header.Revision, More: resp.More}
	for _, kv := range resp.KVs {
		out.Pairs = append(out.Pairs, toPair(kv))
	}
	return out, nil
}

// checkHeader rejects a response without a revision. An empty response, for example from a proxy, would otherwise mean
// that a key is missing or that a compare failed.
func checkHeader(h wire.Header) error {
	if h.Revision <= 0 {
		return eris.New("store response has no revision")
	}
	return nil
}

func toPair(kv wire.KeyValue) store.Pair {
	return store.Pair{
		Key: string(kv.Key), Value: kv.Value, CreateRevision: kv.CreateRevision,
		ModRevision: kv.ModRevision, Version: kv.Version, Lease: kv.Lease,
	}
}

func (c *client) txn(ctx context.Context, t store.Txn) (store.TxnResult, error) {
	resp, err := roundTrip[wire.TxnResponse](ctx, c, wire.PathTxn, txnRequest(t))
	if err == nil {
		err = checkHeader(resp.Header)
	}
	if err != nil {
		return store.TxnResult{}, err
	}
	return store.TxnResult{Succeeded: resp.Succeeded, Revision: resp.Header.Revision}, nil
}

func txnRequest(t store.Txn) wire.TxnRequest {
	var req wire.TxnRequest
	for _, c := range t.Compares {
		w := wire.Compare{Key: []byte(c.Key), Target: string(c.Target), Result: wire.ResultEqual}
		if c.Target == store.CreateRevision {
			w.CreateRevision = c.Revision
		} else {
			w.ModRevision = c.Revision
		}
		req.Compare = append(req.Compare, w)
	}
	for _, op := range t.Then {
		if op.Delete {
			req.Success = append(req.Success,
				wire.RequestOp{DeleteRange: &wire.DeleteRangeRequest{Key: []byte(op.Key), RangeEnd: []byte(op.End)}})
			continue
		}
		req.Success = append(req.Success,
			wire.RequestOp{Put: &wire.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: op.Lease}})
	}
	return req
}

func (c *client) grant(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	resp, err := roundTrip[wire.LeaseResponse](ctx, c, wire.PathGrant, wire.LeaseRequest{TTL: seconds})
	if err == nil && resp.ID == 0 {
		err = eris.New("store response to a lease grant has no lease ID")
	}
	return resp.ID, err
}

func (c *client) keepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	resp, err := roundTrip[wire.StreamMessage[wire.LeaseResponse]](ctx, c, wire.PathKeepAlive, wire.LeaseRequest{ID: lease})
	switch {
	case err != nil:
		return 0, err
	case resp.Error != nil:
		return 0, eris.Errorf("store lease renewal failed: %s", resp.Error.Message)
	case resp.Result.ID != lease:
		return 0, eris.New("store lease renewal returned another lease ID")
	case resp.Result.TTL <= 0:
		return 0, store.ErrLeaseGone
	default:
		return time.Duration(resp.Result.TTL) * time.Second, nil
	}
}

func (c *client) revoke(ctx context.Context, lease int64) error {
	_, err := roundTrip[wire.LeaseResponse](ctx, c, wire.PathRevoke, wire.LeaseRequest{ID: lease})
	return err
}

func (c *client) watch(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
	create := wire.WatchCreate{Key: []byte(prefix), RangeEnd: []byte(store.PrefixEnd(prefix)), StartRevision: from}
	resp, err := c.post(ctx, c.watches, wire.PathWatch, wire.WatchRequest{Create: &create})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	limited := &io.LimitedReader{R: resp.Body}
	dec := json.NewDecoder(limited)
	for {
		limited.N = c.maxBytes // the limit applies per message
		var m wire.StreamMessage[wire.WatchResponse]
		if err := dec.Decode(&m); err != nil {
			return eris.Wrap(err, "decode store watch message")
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch {
		case m.Error != nil:
			return eris.Errorf("store watch failed: %s", m.Error.Message)
		case m.Result.CompactRevision > 0:
			return store.ErrCompacted
		case m.Result.Canceled:
			return eris.New("store watch cancelled")
		}
		if len(m.Result.Events) > 0 {
			each(toBatch(m.Result))
		}
	}
}

// toBatch takes the revision from the last event. The header's revision may be ahead of the delivered events, and a
// watch that resumed from it would miss changes.
func toBatch(m wire.WatchResponse) store.Batch {
	var b store.Batch
	for _, e := range m.Events {
		b.Revision = e.KV.ModRevision
		b.Events = append(b.Events, store.Event{Deleted: e.Type == wire.EventDelete, Pair: toPair(e.KV)})
	}
	return b
}
