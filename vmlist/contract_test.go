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

var both = vmlist.List{
	Workers: []worker.Info{{ID: "w"}}, Targets: []target.Info{{ID: "t"}}, Entries: []vmlist.EntryVM{{ID: "e"}},
}

// kinds makes a source of the stand-in in each way that the project has.
var kinds = map[string]func(*list.List) (*vmlist.Source, func()){
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
			l.Register(both)
			first := read()
			is.Equal(first.Workers, both.Workers)
			is.Equal(first.Targets, both.Targets)
			is.Equal(first.Entries, both.Entries)
			l.SetLeaving(true, "w", "t", "e")
			l.Register(both) // A VM that says that it lives does not take its leaving back.
			now := read()
			is.True(now.Version > first.Version)
			is.True(now.Workers[0].Leaving && now.Targets[0].Leaving && now.Entries[0].Leaving)
			l.SetLeaving(false, "w")
			is.True(!read().Workers[0].Leaving)
			l.Deregister("w")
			l.Register(both) // Its program does not know of it.
			is.Equal(len(read().Workers), 0)
			is.Equal(len(read().Targets), 1)
			l.Readmit("w")
			l.Register(both)
			is.Equal(read().Workers, both.Workers)
		}},
		{"an unchanged list keeps its version", nil, func(is *is.I, l *list.List, read func() vmlist.List) {
			l.Register(both)
			first := read()
			l.Register(both)
			is.Equal(read(), first)
		}},
		{"it lags", []list.Option{list.Lag(10 * time.Second)}, func(is *is.I, l *list.List, read func() vmlist.List) {
			l.Register(both)
			is.Equal(len(read().Workers), 0)
			time.Sleep(5 * time.Second)
			l.SetLeaving(true, "w")
			time.Sleep(5 * time.Second)
			is.True(!read().Workers[0].Leaving)
			time.Sleep(5 * time.Second)
			is.True(read().Workers[0].Leaving)
		}},
		{"a silent VM expires", []list.Option{list.Expiry(10 * time.Second)}, func(is *is.I, l *list.List, read func() vmlist.List) {
			l.Register(both)
			time.Sleep(8 * time.Second)
			l.Register(vmlist.List{Workers: both.Workers})
			time.Sleep(8 * time.Second)
			is.Equal(len(read().Workers), 1)
			is.Equal(len(read().Targets), 0)
		}},
		{"many changes within the lag", []list.Option{list.Lag(time.Hour)}, func(is *is.I, l *list.List, read func() vmlist.List) {
			for i := range 1000 {
				l.Register(both)
				l.SetLeaving(i%2 == 0, "w")
			}
			time.Sleep(2 * time.Hour)
			is.True(!read().Workers[0].Leaving)
		}},
	}
	for kind, build := range kinds {
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

// The list's service is down, and its reader gets an error, never an empty list: an empty list
// would say that all VMs are gone. The next reading after the outage is whole again.
func TestDown(t *testing.T) {
	for kind, build := range kinds {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := list.New()
				l.Register(both)
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
