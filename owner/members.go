package owner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// largeCell is the number of VMs above which the VMs of a cell do not follow each other. Below, following costs less than
	// the directory. smallCell is where they begin again; the distance keeps a cell of about that size from changing to and
	// fro.
	largeCell = 128
	smallCell = 96
	// candidatesPerZone is how many VMs of each availability zone follow all others, to take the cell over and to tell the
	// other VMs of their peers. minCandidates is the number below which a zone gets new ones: each change of the directory
	// costs a call of each VM.
	candidatesPerZone = 3
	minCandidates     = 2
	// memberPause is the pause of a candidate or an owner after each response of the watch of the VMs. growingPause is the
	// pause for each VM above largeCell while there is no directory yet: in a cell that starts, all VMs follow all others.
	memberPause  = 250 * time.Millisecond
	growingPause = 5 * time.Millisecond
	// peersPerVM is how many other VMs a VM knows in a large cell, besides the candidates.
	peersPerVM = 24
)

// directory is what each VM of a large cell knows of the others from the store. A cell without one is small.
type directory struct {
	// VMs is about the number of VMs.
	VMs        int    `msgpack:"v"`
	Candidates []Node `msgpack:"c"`
}

// members is what a VM knows of the VMs of its cell: all of them in a small cell, or if it is the owner or a candidate;
// otherwise the candidates and its peers.
type members struct {
	self      Node
	directory *directory
	// nodes holds all live VMs while followed is true.
	nodes    map[string]Node
	followed bool
	peers    []Node
	// sorted caches the list of the known VMs, sorted by ID, and ring those of them that are this VM's peers; nil after a
	// change.
	sorted, ring []Node
}

func (m *members) invalidate() { m.sorted, m.ring = nil, nil }

func (m *members) setDirectory(d *directory) {
	m.directory = d
	m.invalidate()
}

func (m *members) setPeers(peers []Node) {
	m.peers = peers
	m.invalidate()
}

// setNodes sets all live VMs; nil means that they are not followed any more.
func (m *members) setNodes(nodes map[string]Node) {
	m.nodes, m.followed = nodes, nodes != nil
	m.invalidate()
}

func (m *members) add(n *Node) {
	m.nodes[n.ID] = *n
	m.invalidate()
}

func (m *members) remove(id string) {
	delete(m.nodes, id)
	m.invalidate()
}

// known reports whether this VM knows enough of the others to claim the cell in its turn.
func (m *members) known() bool { return m.followed || m.directory != nil }

// inDirectory reports whether the directory lists this VM.
func (m *members) inDirectory() bool {
	return m.directory != nil && contains(m.directory.Candidates, m.self.ID)
}

// list returns the known VMs sorted by ID. It returns the same slice until they change.
func (m *members) list() []Node {
	if m.sorted == nil {
		known := m.nodes
		if !m.followed {
			known = map[string]Node{m.self.ID: m.self}
			for _, n := range m.peers {
				known[n.ID] = n
			}
			if m.directory != nil {
				for _, n := range m.directory.Candidates {
					known[n.ID] = n
				}
			}
		}
		m.sorted = slices.SortedFunc(maps.Values(known), func(a, b Node) int { return strings.Compare(a.ID, b.ID) })
	}
	return m.sorted
}

// pause returns how long to wait after changes of the VMs' entries. In a small cell they are known at once. In a large one,
// a wave of changes would otherwise cost each follower a call for each of them.
func (m *members) pause() time.Duration {
	if m.directory != nil {
		return memberPause
	}
	return time.Duration(max(0, len(m.nodes)-largeCell)) * growingPause
}

// exchangePeers returns the VMs with which this one exchanges what it knows.
func (m *members) exchangePeers() []Node {
	switch {
	case m.directory == nil || !m.followed && len(m.peers) == 0:
		return m.list()
	case !m.followed:
		return m.peers
	case m.ring == nil:
		m.ring = peersOf(m.self.Address, m.list(), peersPerVM)
	}
	return m.ring
}

// contenders returns the VMs that may claim the cell in an order, and whether these are all VMs of the cell: in a large
// cell, they are the candidates that are alive as far as this VM knows.
func (m *members) contenders() (nodes []Node, all bool) {
	switch {
	case m.directory == nil:
		return m.list(), true
	case !m.followed:
		return m.directory.Candidates, false
	}
	return slices.DeleteFunc(slices.Clone(m.directory.Candidates), func(n Node) bool {
		_, alive := m.nodes[n.ID]
		return !alive
	}), false
}

func contains(nodes []Node, id string) bool {
	return slices.ContainsFunc(nodes, func(n Node) bool { return n.ID == id })
}

// nextDirectory returns the directory for a cell, or nil if it is small.
func nextDirectory(nodes []Node, before *directory) *directory {
	if len(nodes) <= smallCell || before == nil && len(nodes) <= largeCell {
		return nil
	}
	zones, earlier := byZone(nodes), map[string][]Node{}
	if before != nil {
		earlier = byZone(before.Candidates)
	}
	d := &directory{VMs: len(nodes)}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		d.Candidates = append(d.Candidates, chooseCandidates(zones[zone], earlier[zone])...)
	}
	return d
}

func byZone(nodes []Node) map[string][]Node {
	zones := make(map[string][]Node)
	for i := range nodes {
		zones[nodes[i].Zone] = append(zones[nodes[i].Zone], nodes[i])
	}
	return zones
}

// chooseCandidates returns the candidates among the VMs of an availability zone. The earlier ones stay, also those that are
// not alive, while enough of them live and no stronger VM has joined: each change costs a call of each VM.
func chooseCandidates(nodes, earlier []Node) []Node {
	slices.SortFunc(nodes, func(a, b Node) int { return cmp.Or(cmp.Compare(b.Strength, a.Strength), strings.Compare(a.ID, b.ID)) })
	wanted := min(candidatesPerZone, len(nodes))
	weakest := nodes[wanted-1].Strength
	earlier = slices.DeleteFunc(earlier, func(n Node) bool { return n.Strength < weakest })
	live := slices.DeleteFunc(slices.Clone(earlier), func(n Node) bool { return !contains(nodes, n.ID) })
	if len(live) >= min(minCandidates, wanted) {
		return earlier
	}
	for i := range nodes {
		if len(live) < wanted && !contains(live, nodes[i].ID) {
			live = append(live, nodes[i])
		}
	}
	return live
}

// sameCandidates reports whether two directories differ in nothing that a VM decides by.
func sameCandidates(a, b *directory) bool {
	if a == nil || b == nil {
		return a == b
	}
	return slices.EqualFunc(a.Candidates, b.Candidates, func(x, y Node) bool { return x == y })
}

// peersOf returns up to n of the VMs, at equal distances behind an address in the ring of all addresses. So each VM is
// among the peers of n others.
func peersOf(address string, nodes []Node, n int) []Node {
	ring := slices.SortedFunc(slices.Values(nodes), func(a, b Node) int { return strings.Compare(a.Address, b.Address) })
	at, listed := slices.BinarySearchFunc(ring, address, func(a Node, address string) int { return strings.Compare(a.Address, address) })
	if listed {
		ring = slices.Delete(ring, at, at+1)
	}
	n = min(n, len(ring))
	out := make([]Node, 0, n)
	for k := range n {
		out = append(out, ring[(at+k*len(ring)/n)%len(ring)])
	}
	return out
}
