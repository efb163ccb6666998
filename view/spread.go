package view

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/member"
	"turmericgap/rpc"
	"turmericgap/store/retry"
)

const (
	// RulesMethod is the rpc name under which rules are exchanged.
	RulesMethod = "view.rules"
	// NextMethod is the rpc name under which a Keeper gives its next view.
	NextMethod = "view.next"
	// maxAtOnce bounds the calls that pass rules on at the same time.
	maxAtOnce = 8
	// maxFailed bounds how often the pause doubles for a process that does not answer: to one
	// second with the defaults, so that it has the rules in time after it is back.
	maxFailed = 2
)

// RulesRequest tells a process which rules the caller has and asks for newer ones.
type RulesRequest struct {
	From    member.Member
	Version int64
	// Rules are the caller's, given if the callee is thought to lack them.
	Rules *Rules
}

// RulesReply tells which rules the callee has, and gives them if they are newer than the caller's.
type RulesReply struct {
	Version int64
	Rules   *Rules
}

// Process is one process of the cell with the newest rules that it is known to have.
type Process struct {
	ID      string    `json:"id"`
	Role    string    `json:"role"`
	Zone    string    `json:"zone"`
	Address string    `json:"address"`
	Rules   int64     `json:"rules"`
	Heard   time.Time `json:"heard"`
}

// known is what a process was last heard to have.
type known struct {
	rules int64
	heard time.Time
	tried time.Time
	// failed counts the calls since the last that was answered.
	failed  int
	calling bool
}

// spread passes the newest rules on to the processes that lack them, and asks those unheard for
// theirs. It keeps one record for each address of the tables and the seeds.
type spread struct {
	opts   Options
	board  *board
	mu     sync.Mutex
	peers  map[string]*known
	kicked chan struct{}
	slots  chan struct{}
	wg     sync.WaitGroup
}

func newSpread(o Options, b *board) *spread {
	return &spread{
		opts: o, board: b, peers: make(map[string]*known), kicked: make(chan struct{}, 1),
		slots: make(chan struct{}, maxAtOnce),
	}
}

func newName() string { return strconv.FormatUint(rand.Uint64(), 36) }

func (s *spread) kick() {
	select {
	case s.kicked <- struct{}{}:
	default:
	}
}

func (s *spread) run(ctx context.Context, pool *rpc.Pool) {
	defer s.wg.Wait()
	for ctx.Err() == nil {
		addresses := s.addresses()
		pool.Retain(addresses)
		for _, address := range s.due(addresses) {
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			s.wg.Go(func() {
				defer func() { <-s.slots }()
				s.tell(ctx, address)
			})
		}
		t := time.NewTimer(retry.Jitter(s.opts.SpreadInterval))
		select {
		case <-ctx.Done():
		case <-s.kicked:
		case <-t.C:
		}
		t.Stop()
	}
}

// addresses gives those of all processes that are known, without this one.
func (s *spread) addresses() map[string]bool {
	out := make(map[string]bool)
	for _, a := range s.opts.Seeds {
		out[a] = true
	}
	for _, t := range s.board.view.Load().Tables {
		for _, m := range t.Members {
			out[m.Address] = true
		}
	}
	delete(out, s.opts.Self.Address)
	return out
}

// due gives the processes to call now: those that lack the newest rules, and those long unheard.
func (s *spread) due(addresses map[string]bool) []string {
	newest := s.board.view.Load().Rules.Version
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := range s.peers {
		if !addresses[a] {
			delete(s.peers, a)
		}
	}
	quiet := s.opts.MaxSilence
	if !s.inTable() {
		quiet = 2 * s.opts.SpreadInterval // The others do not know this process, so that it has to ask.
	}
	var out []string
	for a := range addresses {
		p := s.peers[a]
		if p == nil {
			p = &known{rules: -1}
			s.peers[a] = p
		}
		tried := now.Sub(p.tried)
		behind := p.rules != newest && tried >= s.opts.SpreadInterval<<min(p.failed, maxFailed)/2
		if !p.calling && (behind || tried >= quiet && now.Sub(p.heard) >= quiet) {
			p.calling, p.tried = true, now
			out = append(out, a)
		}
	}
	return out
}

// inTable says whether a table holds this process.
func (s *spread) inTable() bool {
	for _, t := range s.board.view.Load().Tables {
		for _, m := range t.Members {
			if m.Address == s.opts.Self.Address {
				return true
			}
		}
	}
	return false
}

// tell exchanges rules with one process.
func (s *spread) tell(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	mine := s.board.view.Load().Rules
	c := &RulesRequest{From: s.opts.Self, Version: mine.Version}
	s.mu.Lock()
	if p := s.peers[address]; p != nil && p.rules < mine.Version {
		c.Rules = &mine
	}
	s.mu.Unlock()
	r, err := s.opts.CallRules(ctx, address, c)
	s.note(address, func(p *known) {
		p.calling = false
		p.failed++
		if err == nil {
			p.rules, p.heard, p.failed = r.Version, time.Now(), 0
		}
	})
	if err != nil {
		s.opts.Metrics.Counter("view_spreadFailed_total").Inc(1)
		s.opts.Logger.Debug("view: rules not passed on", zap.String("to", address), zap.Error(err))
		return
	}
	s.take(r.Rules)
}

func (s *spread) take(r *Rules) {
	if r != nil && s.board.offerRules(*r) {
		s.kick()
	}
}

func (s *spread) note(address string, change func(p *known)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil {
		change(p)
	}
}

// serve answers a process that tells or asks for rules.
func (s *spread) serve(c *RulesRequest) *RulesReply {
	s.take(c.Rules)
	mine := s.board.view.Load().Rules
	s.note(c.From.Address, func(p *known) {
		p.heard = time.Now()
		p.rules = c.Version
	})
	r := &RulesReply{Version: mine.Version}
	if c.Version < mine.Version {
		r.Rules = &mine
	} else if c.Version > mine.Version {
		s.kick()
	}
	return r
}

// heard notes a version that a heartbeat told of; newer rules are fetched at once.
func (s *spread) heard(from member.Member, version int64) {
	s.note(from.Address, func(p *known) { p.rules, p.heard = version, time.Now() })
	s.kick()
}

func (s *spread) inForce() []Process {
	v := s.board.view.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Process
	for _, t := range v.Tables {
		for _, m := range t.Members {
			p := Process{ID: m.ID, Role: m.Role, Zone: m.Zone, Address: m.Address}
			if k := s.peers[m.Address]; k != nil {
				p.Rules, p.Heard = max(k.rules, 0), k.heard
			}
			if m.Address == s.opts.Self.Address {
				p.Rules, p.Heard = v.Rules.Version, time.Now()
			}
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Process) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
	return out
}
