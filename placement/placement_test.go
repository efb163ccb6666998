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

// A fixed seed makes the property tests reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

func resources(cores, gb int64) job.Resources {
	return job.Resources{Millicores: cores * 1000, MemoryMB: gb * 1000}
}

func newIndex(racks, perRack int, capacity job.Resources) *Index {
	x := New(0)
	for i := range racks * perRack {
		x.Set(worker.Info{ID: fmt.Sprintf("vm%04d", i), Zone: "z", Rack: fmt.Sprintf("r%03d", i/perRack), Has: capacity}, true, false)
	}
	return x
}

func TestTasksWithoutAcceleratorsLeaveThemFree(t *testing.T) {
	is := is.New(t)
	x := newIndex(1, 1, resources(4, 16))
	withAccelerators := resources(16, 64)
	withAccelerators.Accelerators = 8
	x.Set(worker.Info{ID: "a", Zone: "z", Rack: "r000", Has: withAccelerators}, true, false)
	for i, want := range []string{"vm0000", "vm0000", "a"} {
		n := x.Find(&Query{Request: resources(2, 2), Strategy: Pack})
		is.Equal(n.Info.ID, want) // wrong worker for this start
		_ = i
		x.Allocate(n, resources(2, 2))
	}
}

func TestSpreadUsesAllRacks(t *testing.T) {
	is := is.New(t)
	x := newIndex(4, 3, resources(8, 32))
	on := map[string]int{}
	racks := map[string]int{}
	for range 8 {
		n := x.Find(&Query{Request: resources(1, 1), Strategy: Spread, TasksOnNode: func(n *Node) int { return on[n.Info.ID] }})
		on[n.Info.ID]++
		racks[n.Info.Rack]++
		x.Allocate(n, resources(1, 1))
	}
	is.Equal(racks, map[string]int{"r000": 2, "r001": 2, "r002": 2, "r003": 2})
	is.Equal(len(on), 8)
}

func TestGangUsesSmallestSufficientRack(t *testing.T) {
	is := is.New(t)
	x := newIndex(3, 4, resources(8, 32))
	x.Allocate(x.Node("vm0004"), resources(8, 8))
	nodes := x.FindGang(resources(8, 8), 3, "", (*Node).Available)
	is.Equal(len(nodes), 3)
	for _, n := range nodes {
		is.Equal(n.Info.Rack, "r001")
	}
	is.True(x.FindGang(resources(8, 8), 12, "", (*Node).Available) == nil)
}

// Find must return a worker whenever the task fits somewhere, after any sequence of allocations and reservations.
func TestFindIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newIndex(2, 4, resources(16, 64))
		draw := func(label string) job.Resources {
			return job.Resources{
				Millicores: rapid.Int64Range(1, 17000).Draw(t, label), MemoryMB: rapid.Int64Range(1, 66000).Draw(t, label),
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "taken") {
			n := x.Node(fmt.Sprintf("vm%04d", rapid.IntRange(0, 7).Draw(t, "node")))
			if request := draw("take"); request.FitsIn(n.Free) {
				x.Allocate(n, request)
			}
			if rapid.IntRange(0, 9).Draw(t, "reserve") == 0 {
				x.Reserve(n, draw("spare"))
			}
		}
		request := draw("each")
		exists := false
		x.ForEach(func(n *Node) { exists = exists || request.FitsIn(n.Available()) })
		n := x.Find(&Query{Request: request, Strategy: Pack})
		if (n != nil) != exists || (n != nil && !request.FitsIn(n.Available())) {
			t.Fatalf("fits somewhere: %v, found %v", exists, n)
		}
	})
}

// The cost of a search must grow more slowly than the number of workers.
func BenchmarkFind(b *testing.B) {
	for _, workers := range []int{80, 800, 8000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			x := newIndex(workers/8, 8, resources(16, 64))
			i := 0
			x.ForEach(func(n *Node) {
				x.Allocate(n, job.Resources{Millicores: int64(i*7919%15000 + 900), MemoryMB: int64(i * 104729 % 60000)})
				i++
			})
			q := Query{Request: resources(2, 8), Strategy: Pack}
			b.ReportAllocs()
			for b.Loop() {
				n := x.Find(&q)
				x.Allocate(n, q.Request)
				x.Release(n, q.Request)
			}
		})
	}
}
