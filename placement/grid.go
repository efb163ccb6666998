package placement

import (
	"math/bits"

	"turmericgap/job"
)

// Quantities fall into classes of half an octave; what is below smallest falls into class zero.
const (
	classes      = 32
	smallestBits = 6
	// enough bounds the nodes compared in a cell all of whose nodes fit.
	enough = 16
)

func class(v int64) int {
	length := bits.Len64(uint64(v))
	if length <= smallestBits {
		return 0
	}
	half := int(v>>(length-2)) & 1
	return min(classes-1, 2*(length-smallestBits)-1+half)
}

// grid holds nodes by class of free millicores and of free memory. A set bit of a row marks a cell
// that is not empty.
type grid struct {
	rows  [classes]uint32
	cells [classes]*[classes]cell
}

type cell struct {
	grid  *grid
	c, m  int
	nodes []*Node
}

func (g *grid) add(n *Node) {
	c, m := class(n.avail.Millicores), class(n.avail.MemoryMB)
	if g.cells[c] == nil {
		g.cells[c] = new([classes]cell)
	}
	cl := &g.cells[c][m]
	cl.grid, cl.c, cl.m = g, c, m
	n.cell, n.slot = cl, len(cl.nodes)
	cl.nodes = append(cl.nodes, n)
	g.rows[c] |= 1 << m
}

func (n *Node) leaveCell() {
	cl := n.cell
	if cl == nil {
		return
	}
	last := len(cl.nodes) - 1
	moved := cl.nodes[last]
	cl.nodes[n.slot], moved.slot = moved, n.slot
	cl.nodes[last] = nil
	cl.nodes = cl.nodes[:last]
	if last == 0 {
		cl.grid.rows[cl.c] &^= 1 << cl.m
	}
	n.cell = nil
}

// find gives the node that a task leaves fullest, nearly: it compares cells by their classes and
// nodes of one cell by what they have.
func (g *grid) find(each job.Resources) *Node {
	c0, m0 := class(each.Millicores), class(each.MemoryMB)
	var best *Node
	bestClass := 2 * classes
	for c := c0; c < classes && c+m0 < bestClass; c++ {
		row := g.rows[c] >> m0 << m0
		for row != 0 {
			m := bits.TrailingZeros32(row)
			row &= row - 1
			if c+m >= bestClass {
				break
			}
			if n := g.cells[c][m].tightest(each, c > c0 && m > m0); n != nil {
				best, bestClass = n, c+m
				break
			}
		}
	}
	return best
}

// tightest gives the node with the least left over; sure says that all of them fit.
func (cl *cell) tightest(each job.Resources, sure bool) *Node {
	var best *Node
	var bestLeft int64
	nodes := cl.nodes
	if sure && len(nodes) > enough {
		nodes = nodes[:enough]
	}
	for _, n := range nodes {
		if !sure && !each.Fits(n.avail) {
			continue
		}
		left := leftOver(n, each)
		if best == nil || left < bestLeft {
			best, bestLeft = n, left
		}
	}
	return best
}

// leftOver weighs what a task would leave free, each part by what the worker has.
func leftOver(n *Node, each job.Resources) int64 {
	const scale = 1 << 16
	return (n.avail.Millicores-each.Millicores)*scale/max(n.Info.Has.Millicores, 1) +
		(n.avail.MemoryMB-each.MemoryMB)*scale/max(n.Info.Has.MemoryMB, 1)
}
