package main

import (
	"context"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"turmericgap/configuration"
	"turmericgap/job"
	"turmericgap/operate"
	"turmericgap/owner"
	"turmericgap/platform"
	"turmericgap/rpc"
	standin "turmericgap/standin/store"
	"turmericgap/store"
	"turmericgap/store/memory"
	"turmericgap/view"
)

// cell is a store and one scheduler that knows some version of the rules.
type cell struct {
	*is.I
	kv    *store.Store
	flags []string
	known int64
	dir   string
}

func newCell(t *testing.T) *cell {
	svc := memory.New()
	web := httptest.NewServer(standin.New(svc))
	t.Cleanup(web.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c := &cell{I: is.New(t), kv: svc.Store(), dir: t.TempDir()}
	c.NoErr(err)
	server := rpc.NewServer()
	rpc.Handle(server, view.NextMethod, func(context.Context, *view.NextRequest) (*view.NextReply, error) {
		return &view.NextReply{View: view.View{Rules: view.Rules{Version: c.known, Raw: []byte(`{"rules":[]}`)}}}, nil
	})
	rpc.Handle(server, operate.CallState, func(context.Context, *operate.StateRequest) (*operate.State, error) {
		return &operate.State{InForce: []view.Process{{ID: "gate-1", Rules: c.known}}}, nil
	})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { l.Close(); server.Close() })
	c.flags = []string{"--store", web.URL, "--scheduler", l.Addr().String()}
	return c
}

// run gives the exit code of a command.
func (c *cell) run(args ...string) int { return run(append(c.flags, args...)) }

func (c *cell) set(base int64, raw string) int {
	file := filepath.Join(c.dir, "rules.json")
	c.NoErr(os.WriteFile(file, []byte(raw), 0o644))
	return c.run("rules", "set", file, "--base", strconv.FormatInt(base, 10), "--editor", "asha")
}

// An operator's edit would replace one that it never saw, or be accepted and never come into force.
// Edits come with a base that is old, right or not there yet, on a store that may have been restored.
func TestRulesSet(t *testing.T) {
	const good = `{"rules":[{"id":"a","then":[{"kind":"limit","with":{"mostRunning":1}}]}]}`
	cases := []struct {
		name          string
		stored, known int64
		base          int64
		raw           string
		want          int
	}{
		{"first", 0, 0, 0, good, 0},
		{"next", 2, 2, 2, good, 0},
		{"scheduler lags", 2, 1, 2, good, 0},
		{"old base", 2, 2, 1, good, exitConflict},
		{"base not there yet", 2, 2, 3, good, exitUsage},
		{"restored store, its version", 2, 5, 2, good, exitConflict},
		{"restored store, the cell's version", 2, 5, 5, good, 0},
		{"findings", 2, 2, 2, `{"rules":[{"id":""}]}`, exitUsage},
		{"no JSON", 2, 2, 2, `{`, exitUsage},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCell(t)
			for base := range tc.stored {
				_, err := operate.SetRules(context.Background(), c.kv, view.Edit{BaseVersion: base, Raw: []byte(`{"rules":[]}`)})
				c.NoErr(err)
			}
			c.known = tc.known
			c.Equal(c.set(tc.base, tc.raw), tc.want)
			now, err := operate.Current(context.Background(), c.kv)
			c.NoErr(err)
			if tc.want != 0 {
				c.Equal(now.Version, tc.stored)
				return
			}
			c.Equal(now.Version, tc.base+1)
			c.Equal(c.run("inforce"), exitBehind)
			c.Equal(c.run("rules", "rollback", strconv.FormatInt(tc.base+1, 10), "--editor", "asha"), 0)
			c.Equal(c.run("rules", "rollback", "99", "--editor", "asha"), exitUsage)
		})
	}
}

// An operator edits the rules of a cell on the users' platform, where no scheduler of the other kind is: the
// edit must reach the platform's store under the key that the entry VMs follow, and a second one with the
// same base must be refused.
func TestRulesOnPlatform(t *testing.T) {
	standIn := platform.NewStandin()
	web := httptest.NewServer(standIn.StoreHandler())
	t.Cleanup(web.Close)
	c := &cell{I: is.New(t), dir: t.TempDir()}
	c.flags = []string{"--store-kind", "platform", "--store", web.Listener.Addr().String(), "--scheduler", "127.0.0.1:1", "--seconds", "3"}
	const raw = `{"rules":[{"id":"a","then":[{"kind":"refuse","with":{"reason":"month end"}}]}]}`
	c.Equal(c.set(0, raw), 0)
	c.Equal(c.set(0, raw), exitConflict)
	res, err := standIn.KV.Store().Range(t.Context(), store.Range{Key: owner.RulesKey})
	c.NoErr(err)
	c.Equal(len(res.Pairs), 1)
	rules := configuration.NewRules(zap.NewNop())
	rules.Apply(res.Pairs[0].Value)
	c.Equal(rules.Decide(&job.Work{}).Refuse, "month end")
}
