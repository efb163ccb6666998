package member

import (
	"slices"
	"strings"
	"time"
)

// Basis names what lets a member act.
type Basis string

// The bases.
const (
	ByLease    Basis = "lease"
	ByPromises Basis = "promises"
	ByNothing  Basis = "none"
)

// Health is what the failure detection says of a peer; it informs and proves nothing.
type Health string

// The healths of a peer.
const (
	Alive       Health = "alive"
	Suspect     Health = "suspect"
	Unreachable Health = "unreachable"
)

const unreachableBeats = 20

// PeerStatus is another member as the page shows it; times are in milliseconds.
type PeerStatus struct {
	Member Member `json:"member"`
	Health Health `json:"health"`
	// LastHeardMillis is the time since its last heartbeat.
	LastHeardMillis int64 `json:"heardMillis"`
	Confirmed       int64 `json:"confirmed"`
	Rules           int64 `json:"rules"`
	// PromiseReceivedMillis is what is left of its promise to this process, GivenMillis of the one to it.
	PromiseReceivedMillis int64 `json:"promisedMillis"`
	PromiseGivenMillis    int64 `json:"givenMillis"`
	// KeyAbsent says that its lease-bound key was last seen to be absent.
	KeyAbsent bool `json:"keyAbsent"`
}

// Status is the operators' page of this process's membership.
type Status struct {
	Self          Member       `json:"self"`
	Version       int64        `json:"version"`
	Epoch         int64        `json:"epoch"`
	EpochRevision int64        `json:"epochRevision"`
	Owner         string       `json:"owner"`
	IsOwner       bool         `json:"owns"`
	Valid         bool         `json:"valid"`
	Basis         Basis        `json:"basis"`
	LeaseMillis   int64        `json:"leaseMillis"`
	Peers         []PeerStatus `json:"others"`
}

// Status gives the operators' page.
func (g *Group) Status() Status {
	_, _, owns := g.Owns()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	p := Status{
		Self: g.self, Version: g.table.Version, Epoch: g.table.Epoch, EpochRevision: g.table.EpochRevision,
		Owner: g.table.Owner, IsOwner: owns, Valid: g.valid(now), Basis: g.basis(now),
		LeaseMillis: g.leaseLeft(now).Milliseconds(), Peers: []PeerStatus{},
	}
	for _, o := range g.peers {
		p.Peers = append(p.Peers, PeerStatus{
			Member: o.member, Health: g.health(o, now), LastHeardMillis: now.Sub(o.heard).Milliseconds(),
			Confirmed: o.confirmed, Rules: o.rules, PromiseReceivedMillis: left(o.promised, now),
			PromiseGivenMillis: left(o.given, now), KeyAbsent: !o.absent.IsZero(),
		})
	}
	slices.SortFunc(p.Peers, func(a, b PeerStatus) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return p
}

func (g *Group) basis(now time.Time) Basis {
	switch {
	case !g.valid(now):
		return ByNothing
	case g.leased():
		return ByLease
	default:
		return ByPromises
	}
}

func (g *Group) health(p *peer, now time.Time) Health {
	switch silent := now.Sub(p.heard); {
	case silent > unreachableBeats*g.opts.HeartbeatInterval:
		return Unreachable
	case silent > suspectBeats*g.opts.HeartbeatInterval:
		return Suspect
	default:
		return Alive
	}
}

func left(until, now time.Time) int64 { return max(0, until.Sub(now).Milliseconds()) }
