package member

import (
	"context"
	"time"

	"turmericgap/rpc"
	"turmericgap/store/retry"
)

// Heartbeat is one heartbeat from a member to another member of its table.
type Heartbeat struct {
	From Member
	// Version is the newest table version that the sender knows. Table is set if the receiver may lack that version.
	Version int64
	Table   *Table
	// Rules is the version of the rules that the sender has in force.
	Rules int64
	// Ask is how long the sender asks not to be removed; zero requests no promise.
	Ask time.Duration
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	From    Member
	Version int64
	Table   *Table
	Rules   int64
	// Promised reports that the receiver will neither remove the sender nor take over from it for Heartbeat.Ask,
	// counted from when the receiver got the heartbeat.
	Promised bool
	// Refused is the reason why no promise was given.
	Refused string
}

// HandleHeartbeat serves a heartbeat from a peer.
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
		g.adoptTable(b.Table.clone())
	}
	r := &HeartbeatReply{From: g.self, Version: g.table.Version, Rules: g.opts.Rules()}
	if b.Version < g.table.Version {
		t := g.table.clone()
		r.Table = &t
	}
	p := g.peers[b.From.ID]
	if p == nil || !p.member.sameProcess(b.From) {
		r.Refused = "asker is not in the table"
		return r, nil
	}
	g.recordHeard(p, b.Version, b.Rules, now)
	if b.Ask > 0 {
		r.Refused = g.refusalReason(p, b)
		r.Promised = r.Refused == ""
	}
	switch {
	case r.Refused != "":
		g.metrics.refused.Inc(1)
	case r.Promised:
		g.metrics.promised.Inc(1)
		// The drift allowance covers a local clock that runs faster than the sender's.
		p.promiseGivenUntil = latest(p.promiseGivenUntil, now.Add(min(b.Ask, g.opts.PromiseDuration)+g.opts.ClockDrift))
	}
	return r, nil
}

// refusalReason returns why no promise can be given, or an empty string if it can.
func (g *Group) refusalReason(p *peer, b *Heartbeat) string {
	switch {
	case b.Version != g.table.Version:
		// A newer table may hold a member that the sender does not know to ask.
		return "tables differ"
	case p.removalVersion != 0 && p.removalVersion >= g.table.Version:
		return "a removal is under way"
	case b.Ask > g.opts.PromiseDuration:
		return "too long"
	default:
		return ""
	}
}

// recordHeard records that a peer is alive, and which table and rules it has.
func (g *Group) recordHeard(p *peer, version, rules int64, now time.Time) {
	p.lastHeard, p.suspect, p.rulesVersion = now, false, max(p.rulesVersion, rules)
	p.confirmedVersion = max(p.confirmedVersion, version)
	if p.knowsSelfSince.IsZero() && g.joinedVersion != 0 && p.confirmedVersion >= g.joinedVersion {
		p.knowsSelfSince = now
	}
	if g.self.State == Joining && g.joinedVersion != 0 && g.allPeersKnowSelf() {
		g.wakeUp()
	}
	if rules > g.opts.Rules() {
		g.opts.OnNewerRules(p.member, rules)
	}
}

// sendHeartbeats sends heartbeats to all peers of the table until ctx ends.
func (g *Group) sendHeartbeats(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(g.opts.HeartbeatInterval)) {
		g.updateMetrics()
		for _, m := range g.beginRound() {
			g.wg.Go(func() { g.sendHeartbeat(ctx, m) })
		}
	}
}

// beginRound starts a heartbeat round and returns the peers that have no call in flight.
func (g *Group) beginRound() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.needsPromises(now) {
		// Once the VM list omits this VM, this member may be replaced, even if the list shows the VM again later.
		if g.wasUnlisted = g.wasUnlisted || g.isUnlisted(g.self.VM); !g.wasUnlisted {
			g.promisesEnd = now.Add(g.opts.PromiseDuration)
		}
	}
	var out []Member
	for _, p := range g.peers {
		if !p.suspect && now.Sub(p.lastHeard) > suspectHeartbeats*g.opts.HeartbeatInterval {
			p.suspect = true
			g.wakeUp()
		}
		if !p.callInFlight {
			p.callInFlight = true
			out = append(out, p.member)
		}
	}
	return out
}

// needsPromises reports whether less than half of the lease is left, so that promises are or will soon be needed.
func (g *Group) needsPromises(now time.Time) bool {
	return g.joinedVersion != 0 && g.leaseLeft(now) < g.opts.TTL/2
}

func (g *Group) isUnlisted(vm string) bool {
	vms, known := g.opts.ListedVMs()
	return known && !vms[vm]
}

func (g *Group) sendHeartbeat(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.PromiseDuration/2)
	defer cancel()
	b := g.newHeartbeat(m)
	sent := time.Now()
	r, err := g.opts.Call(ctx, m.Address, b)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[m.ID]
	if p == nil || !p.member.sameProcess(m) {
		return
	}
	p.callInFlight = false
	if err != nil {
		return
	}
	if !r.From.sameProcess(m) {
		// Another process answers at m's address, so m has ended and will never remove this member. Without this rule
		// a restart during a store outage would stop the whole zone, since the new process can neither join nor
		// promise. It applies only while m's promise, or this member's lease, is valid: otherwise m may have taken over
		// before it ended.
		bound := g.holdsLease() || beforeBothClocks(time.Now(), p.promisedUntil)
		p.ended = p.ended || bound && r.From.ID == m.ID && r.From.Address == m.Address
		return
	}
	if r.Promised {
		p.promisedUntil = latest(p.promisedUntil, sent.Add(b.Ask))
	}
	if r.Table != nil {
		g.adoptTable(r.Table.clone())
	}
	g.recordHeard(p, r.Version, r.Rules, time.Now())
}

func (g *Group) newHeartbeat(m Member) *Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := &Heartbeat{From: g.self, Version: g.table.Version, Rules: g.opts.Rules()}
	if p := g.peers[m.ID]; p == nil || p.confirmedVersion < b.Version {
		t := g.table.clone()
		b.Table = &t
	}
	if g.needsPromises(time.Now()) {
		b.Ask = g.opts.PromiseDuration
	}
	return b
}

func (g *Group) hasSuspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if p.suspect {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
