package dispatch_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/store"
)

// newFullCell returns a cell under pressure whose owner has four cores and has accepted a backlog of 160 s before it made
// forecasts, and what is logged about refusals. A work is to be done in 22 s and worthless after 66 s.
func newFullCell(t *testing.T, choices ...string) (c *cell, owner *vm, refusals func() *observer.ObservedLogs) {
	c = newCell(t, runsFor(time.Second))
	core, logs := observer.New(zap.InfoLevel)
	c.log, c.pressure = zap.New(core), true
	c.features, _ = feature.Parse(choices)
	c.config.Queues[0].Objective = 20 * time.Second
	c.startVM("vm1")
	c.addWorkers(1, 4)
	owner = c.waitForOwner()
	c.startVM("vm2")
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() { c.submit(owner, c.wideWork(fmt.Sprint("backlog", i))) })
	}
	callers.Wait()
	time.Sleep(3 * time.Second)
	return c, owner, func() *observer.ObservedLogs { return logs.FilterMessage("dispatch: refused by forecast") }
}

// wideWork returns a work of 16 tasks of one core and one second.
func (c *cell) wideWork(id string) *job.Work {
	return c.newWork(id, job.Step{Tasks: 16, Estimate: time.Second})
}

// isRecorded reports whether the store keeps a work from being created.
func (c *cell) isRecorded(id string) bool {
	res, err := c.kv.Store().Range(c.t.Context(), store.Range{Key: "turmericgap/refused/" + id})
	return err == nil && len(res.Pairs) == 1
}

// Guards against an answer that says "never runs" before the store keeps the work from being created, and against a
// refusal without its line in the log.
func TestForecastRefusalIsDurable(t *testing.T) {
	for name, disturb := range map[string]func(v *vm){
		"fast store":   func(*vm) {},
		"slow store":   func(v *vm) { v.store.Delay(300 * time.Millisecond) },
		"answers lost": func(v *vm) { v.store.LoseNext(3) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c, owner, logs := newFullCell(t)
				var refused []string
				disturb(owner)
				for i := range 10 {
					id := fmt.Sprint("new", i)
					fault := c.submitFault(c.vms[[]string{"vm1", "vm2"}[i%2]], c.wideWork(id))
					if fault != nil && fault.Code == rpc.CodeRefused {
						refused = append(refused, id)
						is.True(c.isRecorded(id))
						is.True(fault.RetryAfter >= time.Second)
					}
				}
				owner.store.Delay(0)
				time.Sleep(time.Minute)
				for _, id := range refused {
					is.Equal(c.countRuns(id), 0) // a refusal whose record got no answer is not told, and its work may run
				}
				is.True(len(refused) >= 5)
				is.True(logs().Len() >= len(refused))
				c.checkHistory()
			})
		})
	}
}

// Guards against a refused ID that is accepted by a repeat sent before the refusal, or refused again when it returns as it
// was told to.
func TestRefusedWorkReturns(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c, owner, _ := newFullCell(t)
		first := c.submitFault(owner, c.wideWork("again"))
		is.Equal(first.Code, rpc.CodeRefused)
		time.Sleep(100 * time.Millisecond)
		repeated := c.submitFault(owner, c.wideWork("again"))
		is.Equal(repeated.Code, rpc.CodeRefused)
		is.True(repeated.RetryAfter >= first.RetryAfter-time.Second && repeated.RetryAfter <= first.RetryAfter)
		time.Sleep(first.RetryAfter)
		is.Equal(c.submitFault(owner, c.wideWork("again")), nil)
		c.waitForState(owner, "again", job.WorkCompleted, 3*60*time.Second)
		is.Equal(c.countRuns("again"), 16)
		c.checkHistory()
	})
}

// Guards against refusals where no forecast may be made or none is wanted: by a new owner that has not observed the rate,
// while the store fails, and where the feature is off.
func TestNothingIsRefusedByForecast(t *testing.T) {
	for name, c := range map[string]struct {
		choices []string
		change  func(c *cell, owner *vm) *vm
	}{
		"new owner": {nil, func(c *cell, owner *vm) *vm {
			c.kill(owner)
			owner = c.waitForOwner()
			time.Sleep(time.Second) // it knows the backlog and the workers
			return owner
		}},
		"store failing": {nil, func(_ *cell, owner *vm) *vm {
			owner.store.Cut(true)
			for failing := false; !failing; _, failing = owner.monitor.Failing() {
				time.Sleep(time.Millisecond) // until it is known to fail; works are not declined for that yet
			}
			return owner
		}},
		"off": {[]string{"admission=off"}, func(_ *cell, owner *vm) *vm { return owner }},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				cell, owner, logs := newFullCell(t, c.choices...)
				v := c.change(cell, owner)
				before := logs().Len()
				var callers sync.WaitGroup
				for i := range 5 {
					callers.Go(func() {
						fault := cell.submitFault(v, cell.wideWork(fmt.Sprint("new", i)))
						is.True(fault == nil || !strings.Contains(fault.Reason, "worth nothing"))
					})
				}
				callers.Wait()
				is.Equal(logs().Len(), before)
				if name == "new owner" {
					time.Sleep(3 * time.Second)
					is.True(cell.submitFault(v, cell.wideWork("later")) != nil)
				}
			})
		})
	}
}
