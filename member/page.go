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

// Row is another member as the page shows it; times are in milliseconds.
type Row struct {
	Member Member `json:"member"`
	Health Health `json:"health"`
	// HeardMillis is the time since its last heartbeat.
	HeardMillis int64 `json:"heardMillis"`
	Confirmed   int64 `json:"confirmed"`
	Rules       int64 `json:"rules"`
	// PromisedMillis is what is left of its promise to this process, GivenMillis of the one to it.
	PromisedMillis int64 `json:"promisedMillis"`
	GivenMillis    int64 `json:"givenMillis"`
	// KeyAbsent says that its lease-bound key was last seen to be absent.
	KeyAbsent bool `json:"keyAbsent"`
}

// Page is the operators' page of this process's membership.
type Page struct {
	Self          Member `json:"self"`
	Version       int64  `json:"version"`
	Epoch         int64  `json:"epoch"`
	EpochRevision int64  `json:"epochRevision"`
	Owner         string `json:"owner"`
	Owns          bool   `json:"owns"`
	Valid         bool   `json:"valid"`
	Basis         Basis  `json:"basis"`
	LeaseMillis   int64  `json:"leaseMillis"`
	Others        []Row  `json:"others"`
}

// Page gives the operators' page.
func (g *Group) Page() Page {
	_, _, owns := g.Owns()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	p := Page{
		Self: g.self, Version: g.table.Version, Epoch: g.table.Epoch, EpochRevision: g.table.EpochRevision,
		Owner: g.table.Owner, Owns: owns, Valid: g.valid(now), Basis: g.basis(now),
		LeaseMillis: g.leaseLeft(now).Milliseconds(), Others: []Row{},
	}
	for _, o := range g.peers {
		p.Others = append(p.Others, Row{
			Member: o.member, Health: g.health(o, now), HeardMillis: now.Sub(o.heard).Milliseconds(),
			Confirmed: o.confirmed, Rules: o.rules, PromisedMillis: left(o.promised, now),
			GivenMillis: left(o.given, now), KeyAbsent: !o.absent.IsZero(),
		})
	}
	slices.SortFunc(p.Others, func(a, b Row) int { return strings.Compare(a.Member.ID, b.Member.ID) })
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
	case silent > unreachableBeats*g.opts.Beat:
		return Unreachable
	case silent > suspectBeats*g.opts.Beat:
		return Suspect
	default:
		return Alive
	}
}

func left(until, now time.Time) int64 { return max(0, until.Sub(now).Milliseconds()) }
