package placement

import (
	"math/bits"

	"turmericgap/job"
)

// Quantities are divided into classes, two per power of two; values below 1<<minBits are in class zero.
const (
	numClasses = 32
	minBits    = 6
	// maxCompared limits the nodes compared in a bucket if all of its nodes fit.
	maxCompared = 16
)

func sizeClass(v int64) int {
	length := bits.Len64(uint64(v))
	if length <= minBits {
		return 0
	}
	half := int(v>>(length-2)) & 1
	return min(numClasses-1, 2*(length-minBits)-1+half)
}

// grid holds nodes in buckets by the classes of their available millicores and memory. Bit m of nonEmpty[c] is set if
// bucket m of buckets[c] is not empty.
type grid struct {
	nonEmpty [numClasses]uint32
	buckets  [numClasses]*[numClasses]bucket
}

type bucket struct {
	grid                  *grid
	cpuClass, memoryClass int
	nodes                 []*Node
}

func (g *grid) add(n *Node) {
	c, m := sizeClass(n.avail.Millicores), sizeClass(n.avail.MemoryMB)
	if g.buckets[c] == nil {
		g.buckets[c] = new([numClasses]bucket)
	}
	b := &g.buckets[c][m]
	b.grid, b.cpuClass, b.memoryClass = g, c, m
	n.bucket, n.bucketIndex = b, len(b.nodes)
	b.nodes = append(b.nodes, n)
	g.nonEmpty[c] |= 1 << m
}

func (n *Node) leaveBucket() {
	b := n.bucket
	if b == nil {
		return
	}
	last := len(b.nodes) - 1
	moved := b.nodes[last]
	b.nodes[n.bucketIndex], moved.bucketIndex = moved, n.bucketIndex
	b.nodes[last] = nil
	b.nodes = b.nodes[:last]
	if last == 0 {
		b.grid.nonEmpty[b.cpuClass] &^= 1 << b.memoryClass
	}
	n.bucket = nil
}

// find returns an approximate best fit: it compares buckets by their classes, and nodes within a bucket by what the
// task would leave free.
func (g *grid) find(request job.Resources) *Node {
	c0, m0 := sizeClass(request.Millicores), sizeClass(request.MemoryMB)
	var best *Node
	bestClass := 2 * numClasses
	for c := c0; c < numClasses && c+m0 < bestClass; c++ {
		row := g.nonEmpty[c] >> m0 << m0
		for row != 0 {
			m := bits.TrailingZeros32(row)
			row &= row - 1
			if c+m >= bestClass {
				break
			}
			if n := g.buckets[c][m].bestFit(request, c > c0 && m > m0); n != nil {
				best, bestClass = n, c+m
				break
			}
		}
	}
	return best
}

// bestFit returns the node with the least capacity left over, or nil; allFit skips the check whether the task fits.
func (b *bucket) bestFit(request job.Resources, allFit bool) *Node {
	var best *Node
	var bestLeft int64
	nodes := b.nodes
	if allFit && len(nodes) > maxCompared {
		nodes = nodes[:maxCompared]
	}
	for _, n := range nodes {
		if !allFit && !request.FitsIn(n.avail) {
			continue
		}
		left := leftover(n, request)
		if best == nil || left < bestLeft {
			best, bestLeft = n, left
		}
	}
	return best
}

// leftover returns a score of what a task would leave free, relative to the capacity of the worker.
func leftover(n *Node, request job.Resources) int64 {
	const scale = 1 << 16
	return (n.avail.Millicores-request.Millicores)*scale/max(n.Info.Has.Millicores, 1) +
		(n.avail.MemoryMB-request.MemoryMB)*scale/max(n.Info.Has.MemoryMB, 1)
}
