package view

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/finding"
	"turmericgap/member"
	"turmericgap/store"
	"turmericgap/store/memory"
	"turmericgap/worker"
)

// Guards against old rules that stay in force anywhere for more than three seconds after an edit.
// The store is fast, slow, reachable by one process only, or down while one process already has the
// new rules.
func TestInForce(t *testing.T) {
	cases := []struct {
		name        string
		unreachable int // processes that the first scheduler cannot reach
		fault       func(c *cell)
	}{
		{"fast store", 0, func(*cell) {}},
		{"slow store", 0, func(c *cell) { c.forEach(func(p *process) { p.faults.Delay(1500 * time.Millisecond) }) }},
		{"store cut off from all but one", 0, func(c *cell) {
			c.forEach(func(p *process) { p.faults.Cut(true) })
			c.vms[0].scheduler.faults.Cut(false)
		}},
		{"a zone's gate reaches only a peer", 1, func(c *cell) { c.isolate("10.0.0.3:2", true, "10.0.0.0:2") }},
		{"schedulers dead", 2, func(c *cell) {
			for _, v := range c.vms[2:] {
				c.kill(v.scheduler)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runCell(t, 8, func(c *cell) {
				tc.fault(c)
				time.Sleep(15 * time.Second)
				version, err := c.edit(0, `{"rules":[]}`)
				c.NoErr(err)
				elapsed := c.waitUntil(3*time.Second, c.allHaveRules(version))
				t.Log("in force everywhere after", elapsed)
				time.Sleep(DefaultMaxSilence)
				behind := slices.DeleteFunc(c.vms[0].keeper.RulesByProcess(), func(p Process) bool { return p.Rules == version })
				c.Equal(len(behind), tc.unreachable)
			})
		})
	}
	t.Run("store down", func(t *testing.T) {
		runCell(t, 8, func(c *cell) {
			c.forEach(func(p *process) { p.faults.Down(true) })
			time.Sleep(15 * time.Second)
			c.vms[5].keeper.OfferRules(Rules{Version: 7, Raw: []byte(`{}`)})
			t.Log("in force everywhere after", c.waitUntil(3*time.Second, c.allHaveRules(7)))
		})
	})
}

// Guards against older rules coming back into force: peers have version 9 when a restored or slow
// store delivers version 1 and a peer offers version 8.
func TestNeverBack(t *testing.T) {
	runCell(t, 2, func(c *cell) {
		c.vms[0].keeper.OfferRules(Rules{Version: 9, Raw: []byte(`9`)})
		c.waitUntil(3*time.Second, c.allHaveRules(9))
		_, err := c.edit(0, `1`)
		c.NoErr(err)
		c.vms[1].keeper.OfferRules(Rules{Version: 8, Raw: []byte(`8`)})
		c.svc.Compact()
		time.Sleep(2 * DefaultRefreshInterval)
		c.forEach(func(p *process) { c.Equal(string(p.view().Rules.Raw), `9`) })
		version, err := c.edit(9, `10`)
		c.NoErr(err)
		c.Equal(version, int64(10))
		c.waitUntil(3*time.Second, c.allHaveRules(10))
	})
}

// Guards against a gate that stops serving or misses changes when its local scheduler dies: it must
// follow another scheduler, and keep its last view when all are dead.
func TestFollower(t *testing.T) {
	runCell(t, 2, func(c *cell) {
		gate := c.vms[0].follower
		c.kill(c.vms[0].scheduler)
		c.mu.Lock()
		c.list = VMList{Version: 2, Entries: c.list.Entries, Workers: []worker.Info{{ID: "w"}}}
		c.mu.Unlock()
		c.waitUntil(6*time.Second, func() bool { return gate.View().ListVersion == 2 })
		c.Equal(len(gate.View().Workers), 0)
		c.kill(c.vms[1].scheduler)
		last := gate.View()
		time.Sleep(time.Minute)
		c.Equal(len(gate.View().Tables), len(last.Tables))
		c.Equal(gate.View().ListVersion, int64(2))
	})
}

// Guards against a process without rules when it starts during a store outage, although its peers
// have them.
func TestNewProcessAsksPeers(t *testing.T) {
	runCell(t, 2, func(c *cell) {
		c.vms[0].keeper.OfferRules(Rules{Version: 3, Raw: []byte(`3`)})
		c.forEach(func(p *process) { p.faults.Down(true) })
		late := New(memory.New().Store(), Seeds("10.0.0.1:1"), CallRules(func(ctx context.Context, to string, q *RulesRequest) (*RulesReply, error) {
			return call[RulesRequest, RulesReply](ctx, c, [2]string{"", to}, RulesMethod, q)
		}))
		late.Start(context.Background())
		defer late.Close()
		c.waitUntil(3*time.Second, func() bool { return late.View().Rules.Version == 3 })
		c.vms[0].keeper.OfferRules(Rules{Version: 4, Raw: []byte(`4`)})
		c.waitUntil(3*time.Second, func() bool { return late.View().Rules.Version == 4 })
	})
}

// Guards against tables or rules missed when a broken watch resumes, either from its last revision
// or with a new read after a compaction.
func TestWatchResumes(t *testing.T) {
	for _, compact := range []bool{false, true} {
		runCell(t, 1, func(c *cell) {
			var last int64
			for version := range int64(5) {
				c.vms[0].scheduler.faults.Cut(version%2 == 1)
				_, err := c.edit(version, `{}`)
				c.NoErr(err)
				if compact {
					c.svc.Compact()
				}
				for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					now := c.vms[0].keeper.View().Rules.Version
					c.True(now >= last)
					last = now
				}
			}
			c.vms[0].scheduler.faults.Cut(false)
			c.waitUntil(10*time.Second, c.allHaveRules(5))
		})
	}
}

func TestSetRules(t *testing.T) {
	refuse := func([]byte) finding.List { return finding.List{{Path: "rules[0]", Reason: "has no condition"}} }
	cases := []struct {
		name string
		edit Edit
		want func(is *is.I, version int64, err error)
	}{
		{"accepted", Edit{BaseVersion: 1, Raw: []byte(`"b"`)}, func(is *is.I, version int64, err error) {
			is.NoErr(err)
			is.Equal(version, int64(2))
		}},
		{"older base", Edit{BaseVersion: 0, Raw: []byte(`"b"`)}, func(is *is.I, _ int64, err error) {
			var c *Conflict
			is.True(errors.As(err, &c))
			is.Equal(string(c.Yours.Raw), `"b"`)
			is.Equal(string(c.Theirs.Raw), `"a"`)
			is.Equal(c.Editor, "asha")
		}},
		{"findings", Edit{BaseVersion: 1, Raw: []byte(`"b"`), Check: refuse}, func(is *is.I, _ int64, err error) {
			is.Equal(err.Error(), "rules[0]: has no condition")
		}},
		{"no JSON", Edit{BaseVersion: 1, Raw: []byte(`{`)}, func(is *is.I, _ int64, err error) {
			is.Equal(err.Error(), "rules: must be a JSON document")
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runCell(t, 1, func(c *cell) {
				_, err := c.edit(0, `"a"`)
				c.NoErr(err)
				version, err := SetRules(context.Background(), c.svc.Store(), tc.edit)
				tc.want(c.I, version, err)
			})
		})
	}
}

// Guards against an operator's edit that conflicts with itself or is written twice: the answer to
// the write is lost, and another edit follows at once.
func TestSetRulesLostAnswer(t *testing.T) {
	runCell(t, 1, func(c *cell) {
		s := *c.svc.Store()
		txn := s.Txn
		s.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
			_, err := txn(ctx, t)
			c.NoErr(err)
			s.Txn = txn
			_, err = c.edit(1, `"theirs"`)
			c.NoErr(err)
			return store.TxnResult{}, errDisconnected
		}
		version, err := SetRules(context.Background(), &s, Edit{Raw: []byte(`"mine"`)})
		c.NoErr(err)
		c.Equal(version, int64(1))
		c.waitUntil(3*time.Second, c.allHaveRules(2))
	})
}

// Guards against a lost edit when two operators write at the same time: one must succeed and the
// other must get a conflict.
func TestSetRulesRace(t *testing.T) {
	runCell(t, 1, func(c *cell) {
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := c.edit(0, `{}`)
				errs <- err
			}()
		}
		a, b := <-errs, <-errs
		c.True((a == nil) != (b == nil))
	})
}

// Guards against a burst of calls when all processes reconnect to the store at the same time. All lose
// the store for one to ten minutes and reconnect within seconds. Owners must keep ownership by promises
// during the outage, and the calls per second must stay bounded on return. Without faults there are few
// calls: one watch per VM and one lease per process.
func TestCallsOfCell(t *testing.T) {
	for vms, outage := range map[int]time.Duration{1: time.Minute, 4: 10 * time.Minute, 8: time.Minute} {
		runCell(t, vms, func(c *cell) {
			idle, _ := c.countCalls(time.Minute)
			c.forEach(func(p *process) { p.faults.Down(true) })
			outageRate, _ := c.countCalls(outage)
			c.True(isOwner(c.vms[0].scheduler))
			c.forEach(func(p *process) { p.faults.Down(false) })
			recovery, peak := c.countCalls(20 * time.Second)
			t.Logf("%d VMs: store calls a second: idle %.2f, outage %.2f, 20 s of return %.2f, most in one second %d",
				vms, idle, outageRate, recovery, peak)
			c.True(isOwner(c.vms[0].scheduler))
			c.Equal(c.vms[0].scheduler.group.Table().Epoch, int64(1))
			c.True(peak <= int64(10*2*vms))
			c.True(idle <= float64(2*vms))
		})
	}
}

func (c *cell) countCalls(d time.Duration) (mean float64, peak int64) {
	count := func() (sum int64) {
		c.forEach(func(p *process) { sum += p.faults.Calls() })
		return sum
	}
	first := count()
	for end := time.Now().Add(d); time.Now().Before(end); {
		before := count()
		time.Sleep(time.Second)
		peak = max(peak, count()-before)
	}
	return float64(count()-first) / d.Seconds(), peak
}

// Guards against a zone without an owner, or gates with wrong shares, for longer than a lease:
// after a VM is killed, the other VMs must learn from the watch that its keys were deleted.
func TestTakeoverByWatch(t *testing.T) {
	runCell(t, 8, func(c *cell) {
		c.True(isOwner(c.vms[0].scheduler))
		c.kill(c.vms[0].scheduler)
		c.kill(c.vms[0].gate)
		key := store.Range{Key: member.PresenceKey(zones[0], member.RoleScheduler, "0")}
		expired := c.waitUntil(member.DefaultTTL, func() bool { r, _ := c.svc.Store().Range(context.Background(), key); return len(r.Pairs) == 0 })
		takeover := c.waitUntil(300*time.Millisecond, func() bool { return isOwner(c.vms[3].scheduler) || isOwner(c.vms[6].scheduler) })
		shares := c.waitUntil(time.Second, func() bool { return len(c.vms[3].gate.group.Table().Members) == 2 })
		t.Logf("lease expired %v after the kill, new owner %v later, gates' table %v later", expired, takeover, shares)
	})
}

func isOwner(p *process) bool {
	_, _, ok := p.group.Owns()
	return ok
}
