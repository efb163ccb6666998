package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"turmericgap/rpc"
	"turmericgap/worker"
)

// forgetAfter is how long after the last exchange a link is forgotten, with the results that nobody fetched.
const forgetAfter = 5 * time.Second

// agentsMost is how many lifetimes of workers a link remembers: several times as many as it has workers.
const agentsMost = 4 * workersMost

// Server carries out the calls that owners hand to this VM.
type Server struct {
	direct  func(worker.Info) *worker.Agent
	process uint64
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu    sync.Mutex
	links map[uint64]*served
}

// served is a link as its relay sees it.
type served struct {
	heard   time.Time
	results []result
	agents  map[string]*worker.Agent
}

// NewServer returns a server that calls workers by direct.
func NewServer(direct func(worker.Info) *worker.Agent) *Server {
	s := &Server{direct: direct, process: rand.Uint64(), links: make(map[uint64]*served)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Register serves the calls of owners.
func (s *Server) Register(r *rpc.Server) {
	rpc.Handle(r, methodExchange, func(_ context.Context, in *exchangeRequest) (*exchangeReply, error) {
		return s.exchange(in), nil
	})
}

// Close gives up the calls under way and waits for them.
func (s *Server) Close() {
	s.stop()
	s.wg.Wait()
}

func (s *Server) exchange(in *exchangeRequest) *exchangeReply {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	l := s.links[in.Link]
	if l == nil {
		l = &served{agents: make(map[string]*worker.Agent)}
		s.links[in.Link] = l
	}
	l.heard = now
	for i := range in.Orders {
		o := &in.Orders[i]
		agent := s.agent(l, o)
		s.wg.Go(func() { s.carryOut(l, agent, o) })
	}
	results := l.results
	l.results = nil
	return &exchangeReply{Process: s.process, Results: results}
}

// forget drops the links of owners that no longer ask.
func (s *Server) forget(now time.Time) {
	for id, l := range s.links {
		if now.Sub(l.heard) > forgetAfter {
			delete(s.links, id)
		}
	}
}

func (s *Server) agent(l *served, o *order) *worker.Agent {
	a := l.agents[o.Worker]
	if a == nil {
		if len(l.agents) >= agentsMost {
			clear(l.agents) // of workers that have gone, for the most part
		}
		a = s.direct(worker.Info{ID: o.Worker, Address: o.Address})
		l.agents[o.Worker] = a
	}
	return a
}

// carryOut makes the call and keeps its result until it is fetched.
func (s *Server) carryOut(l *served, agent *worker.Agent, o *order) {
	ctx, cancel := context.WithTimeout(s.ctx, o.Within)
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
	r.Ended, r.Reason, r.Text = endingOf(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.results = append(l.results, r)
}
