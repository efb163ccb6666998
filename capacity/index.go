package capacity

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

// Index holds workers by zone and free CPU. The zero value is empty. It is not safe for concurrent use.
type Index[T any] struct {
	zones map[string]*zoneBuckets[T]
	// counts is the number of workers of all zones in each bucket.
	counts [bucketCount]int
}

// zoneBuckets holds the workers of one zone by free CPU.
type zoneBuckets[T any] [bucketCount][]*Position[T]

// Position is the position of a worker in an index. The zero value is in none.
type Position[T any] struct {
	index *Index[T]
	value T
	zone  string
	// bucket and slot are valid if indexed is true.
	bucket, slot int
	indexed      bool
}

// Attach sets the index and the worker of a position. The worker is found after the next Update.
func (p *Position[T]) Attach(index *Index[T], value T) { p.index, p.value = index, value }

// Update moves the worker to the bucket for its free CPU. It has no effect on a position without an index.
func (p *Position[T]) Update(zone string, freeMillicores int64) {
	if p.index == nil {
		return
	}
	bucket := bucketOf(freeMillicores)
	if p.indexed && p.bucket == bucket && p.zone == zone {
		return
	}
	p.remove()
	z := p.index.zone(zone)
	p.zone, p.bucket, p.slot, p.indexed = zone, bucket, len(z[bucket]), true
	z[bucket] = append(z[bucket], p)
	p.index.counts[bucket]++
}

// Detach removes the worker from its index.
func (p *Position[T]) Detach() {
	p.remove()
	p.index = nil
}

func (p *Position[T]) remove() {
	if !p.indexed {
		return
	}
	p.indexed = false
	bucket := &p.index.zone(p.zone)[p.bucket]
	last := len(*bucket) - 1
	(*bucket)[p.slot] = (*bucket)[last]
	(*bucket)[p.slot].slot = p.slot
	(*bucket)[last] = nil
	*bucket = (*bucket)[:last]
	p.index.counts[p.bucket]--
}

// bucketOf returns the bucket for an amount of free CPU.
func bucketOf(millicores int64) int {
	return int(min(max(millicores/bucketMillicores, 0), bucketCount-1))
}

func (x *Index[T]) zone(name string) *zoneBuckets[T] {
	if x.zones == nil {
		x.zones = make(map[string]*zoneBuckets[T])
	}
	if x.zones[name] == nil {
		x.zones[name] = &zoneBuckets[T]{}
	}
	return x.zones[name]
}

// MaxFree returns an upper bound for the free CPU of any worker.
func (x *Index[T]) MaxFree() int64 {
	for bucket := bucketCount - 1; bucket >= 0; bucket-- {
		switch {
		case x.counts[bucket] == 0:
		case bucket == bucketCount-1:
			return math.MaxInt64
		default:
			return int64(bucket+1)*bucketMillicores - 1
		}
	}
	return 0
}

// Visit calls fn for the workers in the bucket of minMillicores or a higher one, those with the most free CPU first:
// first in the given zone, then in the others. It starts at a different worker of a bucket for each offset, so that
// concurrent searches do not all find the same workers. It stops if fn returns false.
func (x *Index[T]) Visit(zone string, minMillicores int64, offset int, fn func(T) bool) {
	order := []string{zone}
	for name := range x.zones {
		if name != zone {
			order = append(order, name)
		}
	}
	slices.Sort(order[1:])
	minBucket := bucketOf(minMillicores)
	for _, name := range order {
		z := x.zones[name]
		if z == nil {
			continue
		}
		for at := bucketCount - 1; at >= minBucket; at-- {
			for i := range z[at] {
				if !fn(z[at][(i+offset)%len(z[at])].value) {
					return
				}
			}
		}
	}
}
