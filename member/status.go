package member

import (
	"slices"
	"strings"
	"time"
)

// Basis is what entitles a member to act.
type Basis string

// Values of Basis.
const (
	ByLease    Basis = "lease"
	ByPromises Basis = "promises"
	ByNothing  Basis = "none"
)

// Health is the failure detector's view of a peer. It is informative only and proves nothing.
type Health string

// Values of Health.
const (
	Alive       Health = "alive"
	Suspect     Health = "suspect"
	Unreachable Health = "unreachable"
)

const unreachableHeartbeats = 20

// PeerStatus is the status of another member; times are in milliseconds.
type PeerStatus struct {
	Member Member `json:"member"`
	Health Health `json:"health"`
	// LastHeardMillis is the time since the peer's last heartbeat.
	LastHeardMillis int64 `json:"heardMillis" msgpack:"HeardMillis"`
	Confirmed       int64 `json:"confirmed"`
	Rules           int64 `json:"rules"`
	// PromiseReceivedMillis is the time left of the peer's promise to this process, and PromiseGivenMillis of this
	// process's promise to the peer.
	PromiseReceivedMillis int64 `json:"promisedMillis" msgpack:"PromisedMillis"`
	PromiseGivenMillis    int64 `json:"givenMillis" msgpack:"GivenMillis"`
	// KeyAbsent reports whether the peer's presence key was missing when last read.
	KeyAbsent bool `json:"keyAbsent"`
}

// Status is the status of this process's membership, as shown to operators.
type Status struct {
	Self          Member       `json:"self"`
	Version       int64        `json:"version"`
	Epoch         int64        `json:"epoch"`
	EpochRevision int64        `json:"epochRevision"`
	Owner         string       `json:"owner"`
	IsOwner       bool         `json:"owns" msgpack:"Owns"`
	Valid         bool         `json:"valid"`
	Basis         Basis        `json:"basis"`
	LeaseMillis   int64        `json:"leaseMillis"`
	Peers         []PeerStatus `json:"others" msgpack:"Others"`
}

// Status returns the current status of the membership.
func (g *Group) Status() Status {
	_, _, owns := g.Owns()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := Status{
		Self: g.self, Version: g.table.Version, Epoch: g.table.Epoch, EpochRevision: g.table.EpochRevision,
		Owner: g.table.Owner, IsOwner: owns, Valid: g.valid(now), Basis: g.basis(now),
		LeaseMillis: g.leaseLeft(now).Milliseconds(), Peers: []PeerStatus{},
	}
	for _, peer := range g.peers {
		s.Peers = append(s.Peers, PeerStatus{
			Member: peer.member, Health: g.health(peer, now), LastHeardMillis: now.Sub(peer.lastHeard).Milliseconds(),
			Confirmed: peer.confirmedVersion, Rules: peer.rulesVersion, PromiseReceivedMillis: millisUntil(peer.promisedUntil, now),
			PromiseGivenMillis: millisUntil(peer.promiseGivenUntil, now), KeyAbsent: !peer.keyMissingSince.IsZero(),
		})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return s
}

func (g *Group) basis(now time.Time) Basis {
	switch {
	case !g.valid(now):
		return ByNothing
	case g.holdsLease():
		return ByLease
	default:
		return ByPromises
	}
}

func (g *Group) health(p *peer, now time.Time) Health {
	switch silent := now.Sub(p.lastHeard); {
	case silent > unreachableHeartbeats*g.opts.HeartbeatInterval:
		return Unreachable
	case silent > suspectHeartbeats*g.opts.HeartbeatInterval:
		return Suspect
	default:
		return Alive
	}
}

func millisUntil(until, now time.Time) int64 { return max(0, until.Sub(now).Milliseconds()) }
