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
	// RulesMethod is the rpc method that exchanges rules.
	RulesMethod = "view.rules"
	// NextMethod is the rpc method that returns a Keeper's next view.
	NextMethod = "view.next"
	// maxConcurrentCalls limits the concurrent calls to peers.
	maxConcurrentCalls = 8
	// maxBackoffDoublings limits the backoff for a process that does not answer. With the default
	// interval the backoff is at most one second, so a process gets the rules soon after it is
	// back.
	maxBackoffDoublings = 2
)

// RulesRequest reports the caller's rules version and asks for newer rules.
type RulesRequest struct {
	From    member.Member
	Version int64
	// Rules are the caller's rules, sent if the callee is known to have older ones.
	Rules *Rules
}

// RulesReply reports the callee's rules version, with the rules if they are newer than the
// caller's.
type RulesReply struct {
	Version int64
	Rules   *Rules
}

// Process is a process of the cell and the newest rules version that it is known to have.
type Process struct {
	ID      string    `json:"id"`
	Role    string    `json:"role"`
	Zone    string    `json:"zone"`
	Address string    `json:"address"`
	Rules   int64     `json:"rules"`
	Heard   time.Time `json:"heard"`
}

// peerState is what is known of a peer.
type peerState struct {
	rulesVersion int64
	lastHeard    time.Time
	lastTried    time.Time
	// failures counts the calls since the last one that succeeded.
	failures int
	calling  bool
}

// gossip exchanges rules with peers: those that lack the newest rules and those without recent
// contact. It keeps one record per address in the member tables and the seeds.
type gossip struct {
	opts   Options
	state  *viewState
	mu     sync.Mutex
	peers  map[string]*peerState
	wakeup chan struct{}
	sem    chan struct{}
	wg     sync.WaitGroup
}

func newGossip(o Options, b *viewState) *gossip {
	return &gossip{
		opts: o, state: b, peers: make(map[string]*peerState), wakeup: make(chan struct{}, 1),
		sem: make(chan struct{}, maxConcurrentCalls),
	}
}

func newID() string { return strconv.FormatUint(rand.Uint64(), 36) }

func (g *gossip) wake() {
	select {
	case g.wakeup <- struct{}{}:
	default:
	}
}

func (g *gossip) run(ctx context.Context, pool *rpc.Pool) {
	defer g.wg.Wait()
	for ctx.Err() == nil {
		addresses := g.addresses()
		pool.Retain(addresses)
		for _, address := range g.duePeers(addresses) {
			select {
			case g.sem <- struct{}{}:
			case <-ctx.Done():
				return
			}
			g.wg.Go(func() {
				defer func() { <-g.sem }()
				g.exchange(ctx, address)
			})
		}
		t := time.NewTimer(retry.Jitter(g.opts.SpreadInterval))
		select {
		case <-ctx.Done():
		case <-g.wakeup:
		case <-t.C:
		}
		t.Stop()
	}
}

// addresses returns the addresses of all known processes except this one.
func (g *gossip) addresses() map[string]bool {
	out := make(map[string]bool)
	for _, a := range g.opts.Seeds {
		out[a] = true
	}
	for _, t := range g.state.view.Load().Tables {
		for _, m := range t.Members {
			out[m.Address] = true
		}
	}
	delete(out, g.opts.Self.Address)
	return out
}

// duePeers returns the peers to call now: those that lack the newest rules and those without recent
// contact.
func (g *gossip) duePeers(addresses map[string]bool) []string {
	newest := g.state.view.Load().Rules.Version
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.peers {
		if !addresses[a] {
			delete(g.peers, a)
		}
	}
	maxSilence := g.opts.MaxSilence
	if !g.inTable() {
		maxSilence = 2 * g.opts.SpreadInterval // This process is in no table, so the others don't call it.
	}
	var out []string
	for a := range addresses {
		p := g.peers[a]
		if p == nil {
			p = &peerState{rulesVersion: -1}
			g.peers[a] = p
		}
		sinceCall := now.Sub(p.lastTried)
		behind := p.rulesVersion != newest && sinceCall >= g.opts.SpreadInterval<<min(p.failures, maxBackoffDoublings)/2
		if !p.calling && (behind || sinceCall >= maxSilence && now.Sub(p.lastHeard) >= maxSilence) {
			p.calling, p.lastTried = true, now
			out = append(out, a)
		}
	}
	return out
}

// inTable reports whether a member table lists this process.
func (g *gossip) inTable() bool {
	for _, t := range g.state.view.Load().Tables {
		for _, m := range t.Members {
			if m.Address == g.opts.Self.Address {
				return true
			}
		}
	}
	return false
}

// exchange exchanges rules with one peer.
func (g *gossip) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, PeerTimeout)
	defer cancel()
	mine := g.state.view.Load().Rules
	c := &RulesRequest{From: g.opts.Self, Version: mine.Version}
	g.mu.Lock()
	if p := g.peers[address]; p != nil && p.rulesVersion < mine.Version {
		c.Rules = &mine
	}
	g.mu.Unlock()
	r, err := g.opts.CallRules(ctx, address, c)
	g.updatePeer(address, func(p *peerState) {
		p.calling = false
		p.failures++
		if err == nil {
			p.rulesVersion, p.lastHeard, p.failures = r.Version, time.Now(), 0
		}
	})
	if err != nil {
		g.opts.Metrics.Counter("view_spreadFailed_total").Inc(1)
		g.opts.Logger.Debug("view: exchange of rules failed", zap.String("to", address), zap.Error(err))
		return
	}
	g.acceptRules(r.Rules)
}

func (g *gossip) acceptRules(r *Rules) {
	if r != nil && g.state.updateRules(*r) {
		g.wake()
	}
}

func (g *gossip) updatePeer(address string, change func(p *peerState)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.peers[address]; p != nil {
		change(p)
	}
}

// serve handles the rules request of a peer.
func (g *gossip) serve(c *RulesRequest) *RulesReply {
	g.acceptRules(c.Rules)
	mine := g.state.view.Load().Rules
	g.updatePeer(c.From.Address, func(p *peerState) {
		p.lastHeard = time.Now()
		p.rulesVersion = c.Version
	})
	r := &RulesReply{Version: mine.Version}
	if c.Version < mine.Version {
		r.Rules = &mine
	} else if c.Version > mine.Version {
		g.wake()
	}
	return r
}

// recordVersion records a version reported by a heartbeat and starts an exchange if needed.
func (g *gossip) recordVersion(from member.Member, version int64) {
	g.updatePeer(from.Address, func(p *peerState) { p.rulesVersion, p.lastHeard = version, time.Now() })
	g.wake()
}

func (g *gossip) rulesByProcess() []Process {
	v := g.state.view.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Process
	for _, t := range v.Tables {
		for _, m := range t.Members {
			p := Process{ID: m.ID, Role: m.Role, Zone: m.Zone, Address: m.Address}
			if k := g.peers[m.Address]; k != nil {
				p.Rules, p.Heard = max(k.rulesVersion, 0), k.lastHeard
			}
			if m.Address == g.opts.Self.Address {
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
