package member

import (
	"context"
	"time"

	"turmericgap/rpc"
	"turmericgap/store/retry"
)

// Heartbeat is one heartbeat from a member to another of its table.
type Heartbeat struct {
	From Member
	// Version is the newest table that the sender knows; Table holds it if the receiver may lack it.
	Version int64
	Table   *Table
	// Rules is the version of the rules that the sender has in force.
	Rules int64
	// Ask is for how long the sender asks not to be removed; zero asks for nothing.
	Ask time.Duration
}

// HeartbeatReply answers a Beat.
type HeartbeatReply struct {
	From    Member
	Version int64
	Table   *Table
	Rules   int64
	// Promised says that the receiver will not remove the sender, nor take over from it, for
	// Beat.Ask counted from when it received the Beat.
	Promised bool
	// Refused says why it did not promise.
	Refused string
}

// HandleHeartbeat serves a peer's heartbeat.
func (g *Group) HandleHeartbeat(_ context.Context, b *Heartbeat) (*HeartbeatReply, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil, rpc.Refused(g.opts.HeartbeatInterval, "not a member")
	}
	if b.From.Zone != g.self.Zone || b.From.Role != g.self.Role {
		return nil, rpc.Refused(0, "this is a %s of %s", g.self.Role, g.self.Zone)
	}
	if b.Table != nil {
		g.adopt(b.Table.clone())
	}
	r := &HeartbeatReply{From: g.self, Version: g.table.Version, Rules: g.opts.Rules()}
	if b.Version < g.table.Version {
		t := g.table.clone()
		r.Table = &t
	}
	p := g.peers[b.From.ID]
	if p == nil || !p.member.same(b.From) {
		r.Refused = "asker is not in the table"
		return r, nil
	}
	g.hear(p, b.Version, b.Rules, now)
	if b.Ask > 0 {
		r.Refused = g.refusal(p, b)
		r.Promised = r.Refused == ""
	}
	switch {
	case r.Refused != "":
		g.meters.refused.Inc(1)
	case r.Promised:
		g.meters.promised.Inc(1)
		// The drift allowance covers a clock here that runs faster than the asker's.
		p.given = later(p.given, now.Add(min(b.Ask, g.opts.PromiseDuration)+g.opts.ClockDrift))
	}
	return r, nil
}

// refusal gives the reason not to promise, or nothing.
func (g *Group) refusal(p *peer, b *Heartbeat) string {
	switch {
	case b.Version != g.table.Version:
		// A newer table may hold a member that the asker does not know to ask.
		return "tables differ"
	case p.removing != 0 && p.removing >= g.table.Version:
		return "a removal is under way"
	case b.Ask > g.opts.PromiseDuration:
		return "too long"
	default:
		return ""
	}
}

// hear notes a sign of life and what the peer has.
func (g *Group) hear(p *peer, version, rules int64, now time.Time) {
	p.heard, p.suspect, p.rules = now, false, max(p.rules, rules)
	p.confirmed = max(p.confirmed, version)
	if p.established.IsZero() && g.joined != 0 && p.confirmed >= g.joined {
		p.established = now
	}
	if g.self.State == Joining && g.joined != 0 && g.allConfirmed() {
		g.nudge()
	}
	if rules > g.opts.Rules() {
		g.opts.OnNewerRules(p.member, rules)
	}
}

// beat sends heartbeats to all others of the table.
func (g *Group) beat(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(g.opts.HeartbeatInterval)) {
		g.measure()
		for _, m := range g.due() {
			g.wg.Go(func() { g.beatOne(ctx, m) })
		}
	}
}

// due begins a round: it gives the peers that no call is under way to.
func (g *Group) due() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.asks(now) {
		// One that the list drops may be replaced from then on, also when the list shows it again.
		if g.dropped = g.dropped || g.unlisted(g.self.VM); !g.dropped {
			g.asked = now.Add(g.opts.PromiseDuration)
		}
	}
	var out []Member
	for _, p := range g.peers {
		if !p.suspect && now.Sub(p.heard) > suspectBeats*g.opts.HeartbeatInterval {
			p.suspect = true
			g.nudge()
		}
		if !p.calling {
			p.calling = true
			out = append(out, p.member)
		}
	}
	return out
}

// asks says that the lease was not renewed for long, so that promises are needed soon or now.
func (g *Group) asks(now time.Time) bool {
	return g.joined != 0 && g.leaseLeft(now) < g.opts.TTL/2
}

func (g *Group) unlisted(vm string) bool {
	vms, known := g.opts.ListedVMs()
	return known && !vms[vm]
}

func (g *Group) beatOne(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.PromiseDuration/2)
	defer cancel()
	b := g.compose(m)
	sent := time.Now()
	r, err := g.opts.Call(ctx, m.Address, b)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[m.ID]
	if p == nil || !p.member.same(m) {
		return
	}
	p.calling = false
	if err != nil {
		return
	}
	if !r.From.same(m) {
		// Another process at its very address: m has ended, and will never remove this one. Without
		// this, a restart in a store outage would end the whole zone, as it cannot join and promise.
		// It must come while m was still bound: one that was not may have taken over before it ended.
		bound := g.leased() || before(time.Now(), p.promised)
		p.ended = p.ended || bound && r.From.ID == m.ID && r.From.Address == m.Address
		return
	}
	if r.Promised {
		p.promised = later(p.promised, sent.Add(b.Ask))
	}
	if r.Table != nil {
		g.adopt(r.Table.clone())
	}
	g.hear(p, r.Version, r.Rules, time.Now())
}

func (g *Group) compose(m Member) *Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := &Heartbeat{From: g.self, Version: g.table.Version, Rules: g.opts.Rules()}
	if p := g.peers[m.ID]; p == nil || p.confirmed < b.Version {
		t := g.table.clone()
		b.Table = &t
	}
	if g.asks(time.Now()) {
		b.Ask = g.opts.PromiseDuration
	}
	return b
}

func (g *Group) suspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if p.suspect {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
