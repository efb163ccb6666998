package dispatch

import (
	"math"
	"slices"
)

// bucketMillicores is the width of a bucket. bucketCount is the number of buckets; the last one holds all workers with
// more free CPU.
const (
	bucketMillicores = 500
	bucketCount      = 130
)

// capacityIndex indexes workers by availability zone and free CPU, so that those on which a task fits are found without
// examining the others. It is updated with each change of a worker's free capacity.
type capacityIndex struct {
	zones map[string]*zoneBuckets
	// counts is the number of workers of all zones in each bucket.
	counts [bucketCount]int
}

// zoneBuckets holds the workers of one zone by free CPU.
type zoneBuckets [bucketCount][]*node

// indexPosition is the position of a worker in the index.
type indexPosition struct {
	index *capacityIndex
	zone  string
	// bucket and slot are valid if indexed is true.
	bucket, slot int
	indexed      bool
}

// bucketOf returns the bucket for an amount of free CPU.
func bucketOf(millicores int64) int {
	return int(min(max(millicores/bucketMillicores, 0), bucketCount-1))
}

// updateIndex moves a worker to the bucket for its free CPU.
func (n *node) updateIndex() {
	p := &n.position
	if p.index == nil {
		return
	}
	bucket := bucketOf(n.free.Millicores - n.setAside.Millicores)
	if p.indexed && p.bucket == bucket && p.zone == n.listing.Zone {
		return
	}
	n.leaveIndex()
	z := p.index.zone(n.listing.Zone)
	p.zone, p.bucket, p.slot, p.indexed = n.listing.Zone, bucket, len(z[bucket]), true
	z[bucket] = append(z[bucket], n)
	p.index.counts[bucket]++
}

// leaveIndex removes a worker from the index.
func (n *node) leaveIndex() {
	p := &n.position
	if !p.indexed {
		return
	}
	p.indexed = false
	bucket := &p.index.zone(p.zone)[p.bucket]
	last := len(*bucket) - 1
	(*bucket)[p.slot] = (*bucket)[last]
	(*bucket)[p.slot].position.slot = p.slot
	(*bucket)[last] = nil
	*bucket = (*bucket)[:last]
	p.index.counts[p.bucket]--
}

func (r *capacityIndex) zone(name string) *zoneBuckets {
	if r.zones == nil {
		r.zones = make(map[string]*zoneBuckets)
	}
	if r.zones[name] == nil {
		r.zones[name] = &zoneBuckets{}
	}
	return r.zones[name]
}

// maxFree returns an upper bound for the free CPU of any worker.
func (r *capacityIndex) maxFree() int64 {
	for bucket := bucketCount - 1; bucket >= 0; bucket-- {
		switch {
		case r.counts[bucket] == 0:
		case bucket == bucketCount-1:
			return math.MaxInt64
		default:
			return int64(bucket+1)*bucketMillicores - 1
		}
	}
	return 0
}

// visit calls fn for the workers with at least the free CPU of minBucket, those with the most first: first in the given
// zone, then in the others. It starts at a different worker of a bucket for each offset, so that concurrent searches do
// not all find the same workers. It stops if fn returns false.
func (r *capacityIndex) visit(zone string, minBucket, offset int, fn func(*node) bool) {
	order := []string{zone}
	for name := range r.zones {
		if name != zone {
			order = append(order, name)
		}
	}
	slices.Sort(order[1:])
	for _, name := range order {
		z := r.zones[name]
		if z == nil {
			continue
		}
		for at := bucketCount - 1; at >= minBucket; at-- {
			for i := range z[at] {
				if !fn(z[at][(i+offset)%len(z[at])]) {
					return
				}
			}
		}
	}
}

// fitsNowhere reports whether a task of the stage surely fits on no worker. In a full cell this saves waiting stages
// from examining all their workers.
func (t *term) fitsNowhere(s *stage) bool { return t.capacity.maxFree() < s.taskResources().Millicores }
