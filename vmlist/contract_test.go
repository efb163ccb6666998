package vmlist_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/gate/target"
	"turmericgap/standin/endpoint"
	"turmericgap/standin/list"
	"turmericgap/vmlist"
	"turmericgap/vmlist/web"
	"turmericgap/webcall"
	"turmericgap/worker"
)

var full = vmlist.List{
	Workers: []worker.Info{{ID: "w"}}, Targets: []target.Info{{ID: "t"}}, Entries: []vmlist.EntryVM{{ID: "e"}},
}

// sourceKinds builds a source of the stand-in over each transport.
var sourceKinds = map[string]func(*list.List) (*vmlist.Source, func()){
	"in process": func(l *list.List) (*vmlist.Source, func()) { return l.Source(), func() {} },
	"over HTTP": func(l *list.List) (*vmlist.Source, func()) {
		pipe := endpoint.NewPipe(l.Handler())
		pool := webcall.New(webcall.Dial(pipe.Dial))
		return web.New(pool, "10.0.0.1:7400"), func() { pool.Close(); pipe.Close() }
	},
}

func TestContract(t *testing.T) {
	cases := []struct {
		name string
		opts []list.Option
		do   func(is *is.I, l *list.List, read func() vmlist.List)
	}{
		{"empty", nil, func(is *is.I, _ *list.List, read func() vmlist.List) { is.Equal(len(read().Workers), 0) }},
		{"registered, leaving, gone", nil, func(is *is.I, l *list.List, read func() vmlist.List) {
			l.Register(full)
			first := read()
			is.Equal(first.Workers, full.Workers)
			is.Equal(first.Targets, full.Targets)
			is.Equal(first.Entries, full.Entries)
			l.SetLeaving(true, "w", "t", "e")
			l.Register(full) // Registering again does not clear the leaving flag.
			second := read()
			is.True(second.Version > first.Version)
			is.True(second.Workers[0].Leaving && second.Targets[0].Leaving && second.Entries[0].Leaving)
			l.SetLeaving(false, "w")
			is.True(!read().Workers[0].Leaving)
			l.Deregister("w")
			l.Register(full) // The VM's program does not know that it was deregistered.
			is.Equal(len(read().Workers), 0)
			is.Equal(len(read().Targets), 1)
			l.Readmit("w")
			l.Register(full)
			is.Equal(read().Workers, full.Workers)
		}},
		{"an unchanged list keeps its version", nil, func(is *is.I, l *list.List, read func() vmlist.List) {
			l.Register(full)
			first := read()
			l.Register(full)
			is.Equal(read(), first)
		}},
		{"changes are shown after the lag", []list.Option{list.Lag(10 * time.Second)}, func(is *is.I, l *list.List, read func() vmlist.List) {
			l.Register(full)
			is.Equal(len(read().Workers), 0)
			time.Sleep(5 * time.Second)
			l.SetLeaving(true, "w")
			time.Sleep(5 * time.Second)
			is.True(!read().Workers[0].Leaving)
			time.Sleep(5 * time.Second)
			is.True(read().Workers[0].Leaving)
		}},
		{"a silent VM expires", []list.Option{list.Expiry(10 * time.Second)}, func(is *is.I, l *list.List, read func() vmlist.List) {
			l.Register(full)
			time.Sleep(8 * time.Second)
			l.Register(vmlist.List{Workers: full.Workers})
			time.Sleep(8 * time.Second)
			is.Equal(len(read().Workers), 1)
			is.Equal(len(read().Targets), 0)
		}},
		{"many changes within the lag", []list.Option{list.Lag(time.Hour)}, func(is *is.I, l *list.List, read func() vmlist.List) {
			for i := range 1000 {
				l.Register(full)
				l.SetLeaving(i%2 == 0, "w")
			}
			time.Sleep(2 * time.Hour)
			is.True(!read().Workers[0].Leaving)
		}},
	}
	for kind, build := range sourceKinds {
		for _, c := range cases {
			t.Run(kind+"/"+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					l := list.New(c.opts...)
					source, stop := build(l)
					defer stop()
					c.do(is, l, func() vmlist.List {
						out, err := source.Read(t.Context())
						is.NoErr(err)
						return out
					})
				})
			})
		}
	}
}

// While the list service is down, a read must fail and not return an empty list, which would mean that
// all VMs are gone. The first read after the outage returns the complete list.
func TestDown(t *testing.T) {
	for kind, build := range sourceKinds {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := list.New()
				l.Register(full)
				source, stop := build(l)
				defer stop()
				first, err := source.Read(t.Context())
				is.NoErr(err)
				l.SetDown(true)
				_, err = source.Read(t.Context())
				is.True(err != nil && !errors.Is(err, webcall.ErrNotSent))
				l.SetDown(false)
				again, err := source.Read(t.Context())
				is.NoErr(err)
				is.Equal(again, first)
			})
		})
	}
}
