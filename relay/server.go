package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"turmericgap/rpc"
	"turmericgap/worker"
)

// linkIdleTimeout is how long after its last exchange a link is dropped, with its unfetched results.
const linkIdleTimeout = 5 * time.Second

// maxAgentsPerLink is how many worker instances a link caches: several times as many as it has workers.
const maxAgentsPerLink = 4 * maxWorkersPerRelay

// Server executes the calls that owners send to this VM.
type Server struct {
	direct    func(worker.Info) *worker.Agent
	processID uint64
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu    sync.Mutex
	links map[uint64]*servedLink
}

// servedLink is the relay's side of a link.
type servedLink struct {
	lastExchange time.Time
	results      []result
	agents       map[string]*worker.Agent
}

// NewServer returns a Server that calls workers through the agents returned by direct.
func NewServer(direct func(worker.Info) *worker.Agent) *Server {
	s := &Server{direct: direct, processID: rand.Uint64(), links: make(map[uint64]*servedLink)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Register registers the relay's call with an rpc server.
func (s *Server) Register(r *rpc.Server) {
	rpc.Handle(r, methodExchange, func(_ context.Context, in *exchangeRequest) (*exchangeReply, error) {
		return s.exchange(in), nil
	})
}

// Close cancels the calls in flight and waits for them.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
}

func (s *Server) exchange(in *exchangeRequest) *exchangeReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropIdleLinks(now)
	l := s.links[in.Link]
	if l == nil {
		l = &servedLink{agents: make(map[string]*worker.Agent)}
		s.links[in.Link] = l
	}
	l.lastExchange = now
	for i := range in.Orders {
		o := &in.Orders[i]
		agent := s.agentFor(l, o)
		s.wg.Go(func() { s.execute(l, agent, o) })
	}
	results := l.results
	l.results = nil
	return &exchangeReply{ProcessID: s.processID, Results: results}
}

// dropIdleLinks drops the links of owners that have stopped making exchanges.
func (s *Server) dropIdleLinks(now time.Time) {
	for id, l := range s.links {
		if now.Sub(l.lastExchange) > linkIdleTimeout {
			delete(s.links, id)
		}
	}
}

func (s *Server) agentFor(l *servedLink, o *order) *worker.Agent {
	key := o.Worker + " " + o.Address // a worker that restarts under its ID may have another address
	a := l.agents[key]
	if a == nil {
		if len(l.agents) >= maxAgentsPerLink {
			clear(l.agents) // Most of these workers are gone.
		}
		a = s.direct(worker.Info{ID: o.Worker, Address: o.Address})
		l.agents[key] = a
	}
	return a
}

// execute makes the call and keeps its result until it is fetched.
func (s *Server) execute(l *servedLink, agent *worker.Agent, o *order) {
	ctx, cancel := context.WithTimeout(s.ctx, o.Timeout)
	defer cancel()
	r := result{Number: o.Number}
	var err error
	switch {
	case o.Launch != nil:
		r.Clock, err = agent.Launch(ctx, o.Launch)
	case o.Halt != nil:
		r.Clock, err = agent.Halt(ctx, o.Halt)
	case o.Hold != nil:
		r.Held, err = agent.Hold(ctx, o.Hold)
	}
	r.Outcome, r.Reason, r.Text = outcomeOf(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.results = append(l.results, r)
}
