package placement

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"turmericgap/job"
	"turmericgap/worker"
)

// The properties run from a fixed seed, so that a verdict does not change from run to run.
func init() { _ = flag.Set("rapid.seed", "1") }

func res(cores, gb int64) job.Resources {
	return job.Resources{Millicores: cores * 1000, MemoryMB: gb * 1000}
}

func filled(racks, perRack int, has job.Resources) *Index {
	x := New(0)
	for i := range racks * perRack {
		x.Set(worker.Info{ID: fmt.Sprintf("vm%04d", i), Zone: "z", Rack: fmt.Sprintf("r%03d", i/perRack), Has: has}, true, false)
	}
	return x
}

func TestWorkWithoutAcceleratorsLeavesThemFree(t *testing.T) {
	is := is.New(t)
	x := filled(1, 1, res(4, 16))
	scarce := res(16, 64)
	scarce.Accelerators = 8
	x.Set(worker.Info{ID: "a", Zone: "z", Rack: "r000", Has: scarce}, true, false)
	for i, want := range []string{"vm0000", "vm0000", "a"} {
		n := x.Find(&Query{Request: res(2, 2), Strategy: Pack})
		is.Equal(n.Info.ID, want) // start number:
		_ = i
		x.Allocate(n, res(2, 2))
	}
}

func TestSpreadUsesAllRacks(t *testing.T) {
	is := is.New(t)
	x := filled(4, 3, res(8, 32))
	on := map[string]int{}
	racks := map[string]int{}
	for range 8 {
		n := x.Find(&Query{Request: res(1, 1), Strategy: Spread, TasksOnNode: func(n *Node) int { return on[n.Info.ID] }})
		on[n.Info.ID]++
		racks[n.Info.Rack]++
		x.Allocate(n, res(1, 1))
	}
	is.Equal(racks, map[string]int{"r000": 2, "r001": 2, "r002": 2, "r003": 2})
	is.Equal(len(on), 8)
}

func TestGangTakesTheSmallestRackThatHoldsIt(t *testing.T) {
	is := is.New(t)
	x := filled(3, 4, res(8, 32))
	x.Allocate(x.Node("vm0004"), res(8, 8))
	nodes := x.FindGang(res(8, 8), 3, "", (*Node).Available)
	is.Equal(len(nodes), 3)
	for _, n := range nodes {
		is.Equal(n.Info.Rack, "r001")
	}
	is.True(x.FindGang(res(8, 8), 12, "", (*Node).Available) == nil)
}

// Find must see each worker on which a task fits, whatever was taken, given or reserved before.
func TestFindMissesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := filled(2, 4, res(16, 64))
		draw := func(label string) job.Resources {
			return job.Resources{
				Millicores: rapid.Int64Range(1, 17000).Draw(t, label), MemoryMB: rapid.Int64Range(1, 66000).Draw(t, label),
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "taken") {
			n := x.Node(fmt.Sprintf("vm%04d", rapid.IntRange(0, 7).Draw(t, "node")))
			if each := draw("take"); each.Fits(n.Free) {
				x.Allocate(n, each)
			}
			if rapid.IntRange(0, 9).Draw(t, "reserve") == 0 {
				x.Reserve(n, draw("spare"))
			}
		}
		each := draw("each")
		exists := false
		x.ForEach(func(n *Node) { exists = exists || each.Fits(n.Available()) })
		n := x.Find(&Query{Request: each, Strategy: Pack})
		if (n != nil) != exists || (n != nil && !each.Fits(n.Available())) {
			t.Fatalf("fits somewhere: %v, found %v", exists, n)
		}
	})
}

// The cost of a choice must grow more slowly than the number of workers.
func BenchmarkFind(b *testing.B) {
	for _, workers := range []int{80, 800, 8000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			x := filled(workers/8, 8, res(16, 64))
			i := 0
			x.ForEach(func(n *Node) {
				x.Allocate(n, job.Resources{Millicores: int64(i*7919%15000 + 900), MemoryMB: int64(i * 104729 % 60000)})
				i++
			})
			q := Query{Request: res(2, 8), Strategy: Pack}
			b.ReportAllocs()
			for b.Loop() {
				n := x.Find(&q)
				x.Allocate(n, q.Request)
				x.Release(n, q.Request)
			}
		})
	}
}
