package gate

import (
	"context"
	"testing"

	"turmericgap/gate/target"
)

// BenchmarkDo measures a check that finds a free slot among 50 targets.
func BenchmarkDo(b *testing.B) {
	f := newFakeTargets(0, nil)
	for i := range 50 {
		id := "t" + string(rune('a'+i))
		f.infos = append(f.infos, target.Info{ID: id, Address: id, Zone: "z1", Service: "desk", Slots: 8, Connections: 64})
	}
	f.do = func(ctx context.Context, _ string, r *target.Request) (*target.Response, error) {
		return completeAnswer(ctx, r)
	}
	g := f.newGate()
	defer g.Close()
	c := &Check{Service: "desk", Method: "seat", Key: "k", Repeatable: true}
	b.ReportAllocs()
	for b.Loop() {
		g.Do(context.Background(), c)
	}
}
