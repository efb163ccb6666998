package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"turmericgap/store"
	"turmericgap/store/etcd/wire"
	"turmericgap/store/memory"
)

const maxRequestBytes = 4 << 20

// Server is an HTTP handler for the gateway.
type Server struct {
	faults *memory.Faults
	store  *store.Store
	mux    *http.ServeMux
}

// New returns a server for s.
func New(s *memory.Service) *Server {
	faults := &memory.Faults{}
	srv := &Server{faults: faults, store: s.Client(faults), mux: http.NewServeMux()}
	handle(srv, wire.PathRange, srv.rangeKeys)
	handle(srv, wire.PathTxn, srv.txn)
	handle(srv, wire.PathGrant, srv.grant)
	handle(srv, wire.PathKeepAlive, srv.keepAlive)
	handle(srv, wire.PathRevoke, srv.revoke)
	handle(srv, wire.PathRevokeKV, srv.revoke)
	srv.mux.HandleFunc("POST "+wire.PathWatch, srv.watch)
	srv.mux.HandleFunc("POST "+wire.PathFault, srv.fault)
	return srv
}

// Faults returns the faults, which apply to all callers of the server.
func (s *Server) Faults() *memory.Faults { return s.faults }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func handle[Req, Resp any](s *Server, path string, method func(context.Context, Req) (Resp, error)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if !decode(w, r, &req) {
			return
		}
		resp, err := method(r.Context(), req)
		if err != nil {
			fail(w, err)
			return
		}
		write(w, resp)
	})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, wire.Error{Error: err.Error(), Message: err.Error(), Code: wire.CodeInvalidArgument})
	}
	return err == nil
}

// fail responds with an error. If the outcome of the request is unknown, it aborts the connection instead, as a
// real service that fails would.
func fail(w http.ResponseWriter, err error) {
	e := wire.Error{Error: err.Error(), Message: err.Error()}
	switch {
	case errors.Is(err, store.ErrLeaseGone):
		e.Code = wire.CodeNotFound
		reply(w, http.StatusNotFound, e)
	case errors.Is(err, store.ErrInvalid):
		e.Code = wire.CodeInvalidArgument
		reply(w, http.StatusBadRequest, e)
	case errors.Is(err, store.ErrNotSent):
		e.Code = wire.CodeUnavailable
		reply(w, http.StatusServiceUnavailable, e)
	default:
		panic(http.ErrAbortHandler)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	write(w, body)
}

func write(w http.ResponseWriter, body any) {
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) rangeKeys(ctx context.Context, req wire.RangeRequest) (wire.RangeResponse, error) {
	res, err := s.store.Range(ctx, store.Range{
		Key: string(req.Key), End: string(req.RangeEnd), Limit: req.Limit, ChangedSince: max(req.MinModRevision-1, 0),
	})
	if err != nil {
		return wire.RangeResponse{}, err
	}
	out := wire.RangeResponse{Header: wire.Header{Revision: res.Revision}, More: res.More, Count: int64(len(res.Pairs))}
	for _, p := range res.Pairs {
		out.KVs = append(out.KVs, toWire(p))
	}
	return out, nil
}

func toWire(p store.Pair) wire.KeyValue {
	return wire.KeyValue{
		Key: []byte(p.Key), Value: p.Value, CreateRevision: p.CreateRevision,
		ModRevision: p.ModRevision, Version: p.Version, Lease: p.Lease,
	}
}

func (s *Server) txn(ctx context.Context, req wire.TxnRequest) (wire.TxnResponse, error) {
	t, err := fromWire(req)
	if err != nil {
		return wire.TxnResponse{}, err
	}
	res, err := s.store.Txn(ctx, t)
	return wire.TxnResponse{Header: wire.Header{Revision: res.Revision}, Succeeded: res.Succeeded}, err
}

func fromWire(req wire.TxnRequest) (store.Txn, error) {
	var t store.Txn
	for _, c := range req.Compare {
		target, revision := store.CompareTarget(c.Target), c.ModRevision
		if target == store.CreateRevision {
			revision = c.CreateRevision
		} else if target != store.ModRevision {
			return t, store.ErrInvalid
		}
		if c.Result != wire.ResultEqual {
			return t, store.ErrInvalid
		}
		t.Compares = append(t.Compares, store.Compare{Key: string(c.Key), Target: target, Revision: revision})
	}
	for _, op := range req.Success {
		switch {
		case op.Put != nil:
			t.Then = append(t.Then, store.Op{Key: string(op.Put.Key), Value: op.Put.Value, Lease: op.Put.Lease})
		case op.DeleteRange != nil:
			t.Then = append(t.Then, store.Op{Delete: true, Key: string(op.DeleteRange.Key), End: string(op.DeleteRange.RangeEnd)})
		default:
			return t, store.ErrInvalid
		}
	}
	return t, nil
}

func (s *Server) grant(ctx context.Context, req wire.LeaseRequest) (wire.LeaseResponse, error) {
	id, err := s.store.Grant(ctx, time.Duration(req.TTL)*time.Second)
	return wire.LeaseResponse{ID: id, TTL: req.TTL}, err
}

func (s *Server) keepAlive(ctx context.Context, req wire.LeaseRequest) (wire.StreamMessage[wire.LeaseResponse], error) {
	ttl, err := s.store.KeepAlive(ctx, req.ID)
	if errors.Is(err, store.ErrLeaseGone) {
		err = nil // The gateway reports an expired lease by a missing TTL.
	}
	res := wire.LeaseResponse{ID: req.ID, TTL: int64(ttl / time.Second)}
	return wire.StreamMessage[wire.LeaseResponse]{Result: res}, err
}

func (s *Server) revoke(ctx context.Context, req wire.LeaseRequest) (wire.LeaseResponse, error) {
	return wire.LeaseResponse{}, s.store.Revoke(ctx, req.ID)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var req wire.WatchRequest
	if !decode(w, r, &req) {
		return
	}
	c := req.Create
	if c == nil || string(c.RangeEnd) != store.PrefixEnd(string(c.Key)) {
		fail(w, store.ErrInvalid)
		return
	}
	if s.faults.IsDown() {
		fail(w, store.ErrNotSent)
		return
	}
	stream(w, wire.WatchResponse{Created: true})
	err := s.store.Watch(r.Context(), string(c.Key), c.StartRevision, func(b store.Batch) { stream(w, watchResponse(b)) })
	if errors.Is(err, store.ErrCompacted) {
		stream(w, wire.WatchResponse{Canceled: true, CompactRevision: c.StartRevision + 1})
		return
	}
	panic(http.ErrAbortHandler)
}

func stream(w http.ResponseWriter, m wire.WatchResponse) {
	write(w, wire.StreamMessage[wire.WatchResponse]{Result: m})
	// A writer that cannot flush sends its data when the handler returns.
	_ = http.NewResponseController(w).Flush()
}

func watchResponse(b store.Batch) wire.WatchResponse {
	m := wire.WatchResponse{Header: wire.Header{Revision: b.Revision}}
	for _, e := range b.Events {
		event := wire.Event{KV: toWire(e.Pair)}
		if e.Deleted {
			event.Type = wire.EventDelete
		}
		m.Events = append(m.Events, event)
	}
	return m
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var f wire.Fault
	if !decode(w, r, &f) {
		return
	}
	s.faults.Down(f.Down)
	s.faults.Delay(time.Duration(f.DelayMillis) * time.Millisecond)
	s.faults.LoseNext(f.LoseAnswers)
	write(w, f)
}
