package owner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// nodesOf returns VMs of one availability zone, named by their number, with the given strengths.
func nodesOf(zone string, strengths ...int) []Node {
	var out []Node
	for i, s := range strengths {
		id := fmt.Sprintf("%s%03d", zone, i)
		out = append(out, Node{ID: id, Zone: zone, Address: id, Strength: s})
	}
	return out
}

func weak(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = 1
	}
	return out
}

// Guards against a directory that changes with each VM that joins or leaves, which would cost a call of each VM of the cell,
// and against one that leaves the cell to weak or dead VMs.
func TestDirectoryChangesSeldom(t *testing.T) {
	all := append(nodesOf("a", append([]int{2, 2, 2, 2}, weak(100)...)...), nodesOf("b", weak(100)...)...)
	ids := func(d *directory) string {
		if d == nil {
			return "none"
		}
		out := ""
		for _, n := range d.Candidates {
			out += n.ID + " "
		}
		return out
	}
	without := func(gone ...string) []Node {
		var out []Node
		for _, n := range all {
			keep := true
			for _, id := range gone {
				keep = keep && n.ID != id
			}
			if keep {
				out = append(out, n)
			}
		}
		return out
	}
	first := nextDirectory(without("a003", "b000"), nil)
	for name, c := range map[string]struct {
		before *directory
		nodes  []Node
		want   string
	}{
		"small cell":                    {nil, all[:largeCell], "none"},
		"grown cell":                    {nil, all[:largeCell+1], "a000 a001 a002 b000 b001 b002 "},
		"cell that shrinks a little":    {first, all[:smallCell+1], "a000 a001 a002 "},
		"cell that has become small":    {first, all[:smallCell], "none"},
		"VMs join":                      {first, all, "a000 a001 a002 b001 b002 b003 "},
		"one candidate leaves":          {first, without("a001"), "a000 a001 a002 b001 b002 b003 "},
		"two candidates leave":          {first, without("a001", "a002"), "a000 a003 a004 b001 b002 b003 "},
		"all candidates of a zone die":  {first, without("b001", "b002", "b003"), "a000 a001 a002 b000 b004 b005 "},
		"stronger VMs than before join": {&directory{Candidates: nodesOf("a", 1, 1, 1)}, all, "a000 a001 a002 b000 b001 b002 "},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(ids(nextDirectory(c.nodes, c.before)), c.want)
		})
	}
}

// Guards against VMs of which no other one knows, or all: an announcement would never reach them, or all announcements
// would.
func TestEachVMIsPeerOfAsMany(t *testing.T) {
	for _, size := range []int{2, 25, 130, 584, 1200} {
		is := is.New(t)
		nodes := nodesOf("a", weak(size)...)
		peerOf := make(map[string]int)
		for i := range nodes {
			for _, p := range peersOf(nodes[i].Address, nodes, peersPerVM) {
				is.True(p.ID != nodes[i].ID)
				peerOf[p.ID]++
			}
		}
		for i := range nodes {
			is.Equal(peerOf[nodes[i].ID], min(peersPerVM, size-1))
		}
	}
}
