package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["full"] = playFull }

const (
	fullRunners = 12
	bigSession  = 8000
	batchEvery  = 100 * time.Millisecond
	batchTasks  = 10
	fillFor     = 15 * time.Second
	watchFull   = 40 * time.Second
)

// playFull runs a session beside small tasks of a queue of lower priority that keep the runners full. Then the session's
// runner is lost for good.
func playFull(c *Cell, trouble bool) error {
	c.PutConfig(1, queue("sessions", 0), queue("batch", 2))
	for range fullRunners {
		if _, err := c.AddRunner("a", runnerCpu, false); err != nil {
			return err
		}
	}
	if err := c.StartVMs(4); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	client, session := c.newClient(), newID()
	if !client.Submit(0, "sessions", session, "session", step{Count: 1, Cpu: bigSession, MemMb: 8000, EstimateMs: 60000, LongRunning: true}) {
		return fmt.Errorf("the session was not accepted")
	}
	time.Sleep(2 * time.Second)
	runs := c.runningNow(session)
	if len(runs) != 1 {
		return fmt.Errorf("the session did not start")
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { c.submitBatches(stop) })
	time.Sleep(fillFor)
	if trouble {
		for _, r := range c.runners {
			if r.ID() == runs[0].Runner {
				c.Log("runner %s is lost for good", r.ID())
				r.Crash()
			}
		}
	}
	lost := time.Now()
	time.Sleep(watchFull)
	client.Call(c.vms[2], http.MethodGet, "sessions", session, nil)
	now, started := c.runningNow(session), c.startedSince(lost.Add(restartWithin+contact))
	close(stop)
	load.Wait()
	for _, run := range c.fleet.Runs(session) {
		c.Log("history: %s", run.String())
	}
	if len(now) == 0 {
		return fmt.Errorf("%w: LOST, nothing of the session has run for %v; %d tasks of lower priority were started in the last %v of that",
			errBroken, watchFull, started, watchFull-restartWithin-contact)
	}
	return nil
}

// submitBatches hands in submissions of small tasks, somewhat more than the runners can do at a time.
func (c *Cell) submitBatches(stop <-chan struct{}) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(batchEvery):
		}
		clients.Go(func() {
			client := c.newClient()
			defer client.http.CloseIdleConnections()
			lasts := time.Duration(1500+rand.IntN(1000)) * time.Millisecond
			client.Submit(rand.IntN(len(c.vms)), "batch", newID(), lasts.String(), step{Count: batchTasks, Cpu: 1000, MemMb: 500, EstimateMs: 2000})
		})
	}
}

// startedSince counts the runs that have begun since a time.
func (c *Cell) startedSince(t time.Time) int {
	n := 0
	for _, r := range c.fleet.Runs("") {
		if r.Started.After(t) {
			n++
		}
	}
	return n
}
