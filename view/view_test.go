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

// Callers would be served by old rules, somewhere, for longer than an operator may wait.
// Rules change while the store is fast, slow, cut off from all processes but one, or unreachable
// for all while one of them has learnt the change; every process has them within three seconds.
func TestInForce(t *testing.T) {
	cases := []struct {
		name    string
		unheard int // processes that the first scheduler cannot hear
		fault   func(c *cell)
	}{
		{"fast store", 0, func(*cell) {}},
		{"slow store", 0, func(c *cell) { c.each(func(p *process) { p.faults.Delay(1500 * time.Millisecond) }) }},
		{"store cut off from all but one", 0, func(c *cell) {
			c.each(func(p *process) { p.faults.Cut(true) })
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
			run(t, 8, func(c *cell) {
				tc.fault(c)
				time.Sleep(15 * time.Second)
				version, err := c.edit(0, `{"rules":[]}`)
				c.NoErr(err)
				took := c.until(3*time.Second, c.inForce(version))
				t.Log("in force everywhere after", took)
				time.Sleep(DefaultMaxSilence)
				behind := slices.DeleteFunc(c.vms[0].keeper.RulesByProcess(), func(p Process) bool { return p.Rules == version })
				c.Equal(len(behind), tc.unheard)
			})
		})
	}
	t.Run("store down", func(t *testing.T) {
		run(t, 8, func(c *cell) {
			c.each(func(p *process) { p.faults.Down(true) })
			time.Sleep(15 * time.Second)
			c.vms[5].keeper.OfferRules(Rules{Version: 7, Raw: []byte(`{}`)})
			t.Log("in force everywhere after", c.until(3*time.Second, c.inForce(7)))
		})
	})
}

// An old rule would come back into force.
// A peer brings version 9; then the store, restored or slow, brings version 1, and a peer 8.
func TestNeverBack(t *testing.T) {
	run(t, 2, func(c *cell) {
		c.vms[0].keeper.OfferRules(Rules{Version: 9, Raw: []byte(`9`)})
		c.until(3*time.Second, c.inForce(9))
		_, err := c.edit(0, `1`)
		c.NoErr(err)
		c.vms[1].keeper.OfferRules(Rules{Version: 8, Raw: []byte(`8`)})
		c.svc.Compact()
		time.Sleep(2 * DefaultRefreshInterval)
		c.each(func(p *process) { c.Equal(string(p.view().Rules.Raw), `9`) })
		version, err := c.edit(9, `10`)
		c.NoErr(err)
		c.Equal(version, int64(10))
		c.until(3*time.Second, c.inForce(10))
	})
}

// A gate would stop serving, or serve old rules, when the scheduler beside it dies.
// It follows another scheduler, goes on with its last view when all are dead, and returns.
func TestFollower(t *testing.T) {
	run(t, 2, func(c *cell) {
		gate := c.vms[0].follower
		c.kill(c.vms[0].scheduler)
		c.mu.Lock()
		c.list = VMList{Version: 2, Entries: c.list.Entries, Workers: []worker.Info{{ID: "w"}}}
		c.mu.Unlock()
		c.until(6*time.Second, func() bool { return gate.View().ListVersion == 2 })
		c.Equal(len(gate.View().Workers), 0)
		c.kill(c.vms[1].scheduler)
		last := gate.View()
		time.Sleep(time.Minute)
		c.Equal(len(gate.View().Tables), len(last.Tables))
		c.Equal(gate.View().ListVersion, int64(2))
	})
}

// A process that starts while the store is down would have no rules, though its peers have them.
func TestNewProcessAsksPeers(t *testing.T) {
	run(t, 2, func(c *cell) {
		c.vms[0].keeper.OfferRules(Rules{Version: 3, Raw: []byte(`3`)})
		c.each(func(p *process) { p.faults.Down(true) })
		late := New(memory.New().Store(), Seeds("10.0.0.1:1"), CallRules(func(ctx context.Context, to string, q *RulesRequest) (*RulesReply, error) {
			return call[RulesRequest, RulesReply](ctx, c, [2]string{"", to}, RulesMethod, q)
		}))
		late.Start(context.Background())
		defer late.Close()
		c.until(3*time.Second, func() bool { return late.View().Rules.Version == 3 })
		c.vms[0].keeper.OfferRules(Rules{Version: 4, Raw: []byte(`4`)})
		c.until(3*time.Second, func() bool { return late.View().Rules.Version == 4 })
	})
}

// A watch that resumed with a gap would miss a table or a rule.
// The watch breaks, changes come, and it resumes: from its revision, or anew after a compaction.
func TestWatchResumes(t *testing.T) {
	for _, compact := range []bool{false, true} {
		run(t, 1, func(c *cell) {
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
			c.until(10*time.Second, c.inForce(5))
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
			run(t, 1, func(c *cell) {
				_, err := c.edit(0, `"a"`)
				c.NoErr(err)
				version, err := SetRules(context.Background(), c.svc.Store(), tc.edit)
				tc.want(c.I, version, err)
			})
		})
	}
}

// An operator would see a conflict with the own edit, or edit twice.
// The answer to the write is lost, and another edit comes right after it; the first is found.
func TestSetRulesLostAnswer(t *testing.T) {
	run(t, 1, func(c *cell) {
		s := *c.svc.Store()
		txn := s.Txn
		s.Txn = func(ctx context.Context, t store.Txn) (store.TxnResult, error) {
			_, err := txn(ctx, t)
			c.NoErr(err)
			s.Txn = txn
			_, err = c.edit(1, `"theirs"`)
			c.NoErr(err)
			return store.TxnResult{}, errCut
		}
		version, err := SetRules(context.Background(), &s, Edit{Raw: []byte(`"mine"`)})
		c.NoErr(err)
		c.Equal(version, int64(1))
		c.until(3*time.Second, c.inForce(2))
	})
}

// Two operators race: one edit is accepted, the other sees both documents.
func TestSetRulesRace(t *testing.T) {
	run(t, 1, func(c *cell) {
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

// A store that returns would be stormed if all processes came back at once.
// All lose the store for ten minutes, the owners go on by promises, and come back within seconds.
// Idle, the calls are few: a watch for each VM, and a lease for each process.
func TestCallsOfCell(t *testing.T) {
	for vms, outage := range map[int]time.Duration{1: time.Minute, 4: 10 * time.Minute, 8: time.Minute} {
		run(t, vms, func(c *cell) {
			idle, _ := c.calls(time.Minute)
			c.each(func(p *process) { p.faults.Down(true) })
			down, _ := c.calls(outage)
			c.True(owns(c.vms[0].scheduler))
			c.each(func(p *process) { p.faults.Down(false) })
			back, most := c.calls(20 * time.Second)
			t.Logf("%d VMs: store calls a second: idle %.2f, outage %.2f, 20 s of return %.2f, most in one second %d",
				vms, idle, down, back, most)
			c.True(owns(c.vms[0].scheduler))
			c.Equal(c.vms[0].scheduler.group.Table().Epoch, int64(1))
			c.True(most <= int64(10*2*vms))
			c.True(idle <= float64(2*vms))
		})
	}
}

func (c *cell) calls(d time.Duration) (mean float64, most int64) {
	count := func() (sum int64) {
		c.each(func(p *process) { sum += p.faults.Calls() })
		return sum
	}
	first := count()
	for end := time.Now().Add(d); time.Now().Before(end); {
		before := count()
		time.Sleep(time.Second)
		most = max(most, count()-before)
	}
	return float64(count()-first) / d.Seconds(), most
}

// The zone would have no owner, or the gates wrong shares, for longer than a lease.
// A VM is killed; the others' watches tell that its keys have vanished.
func TestTakeoverByWatch(t *testing.T) {
	run(t, 8, func(c *cell) {
		c.True(owns(c.vms[0].scheduler))
		c.kill(c.vms[0].scheduler)
		c.kill(c.vms[0].gate)
		key := store.Range{Key: member.PresenceKey(zones[0], member.RoleScheduler, "0")}
		lapse := c.until(member.DefaultTTL, func() bool { r, _ := c.svc.Store().Range(context.Background(), key); return len(r.Pairs) == 0 })
		took := c.until(300*time.Millisecond, func() bool { return owns(c.vms[3].scheduler) || owns(c.vms[6].scheduler) })
		shares := c.until(time.Second, func() bool { return len(c.vms[3].gate.group.Table().Members) == 2 })
		t.Logf("lease lapsed %v after the kill, new owner %v later, gates' table %v later", lapse, took, shares)
	})
}

func owns(p *process) bool {
	_, _, ok := p.group.Owns()
	return ok
}
