package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["fill"] = playFill }

const (
	runnerCpu  = 16000
	sessionCpu = 2000
	// restartWithin is how long after its last run a task that lasts may have nothing running: 6 s, and 3 s more.
	restartWithin = 9 * time.Second
	// watchFor is how long the session is watched after the runner was lost.
	watchFor = 45 * time.Second
)

// playFill runs a session that serves users, and beside it, on the other runners, a submission whose tasks fill what
// others leave unused. Then the session's runner is lost for good.
func playFill(c *Cell, trouble bool) error {
	c.PutConfig(1, queue("sessions", 0), queue("filling", 2))
	const runners = 10
	for range runners {
		if _, err := c.AddRunner("a", runnerCpu, false); err != nil {
			return err
		}
	}
	if err := c.StartVMs(4); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	client, session, filling := c.newClient(), newID(), newID()
	serves := step{Count: 1, Cpu: sessionCpu, MemMb: 4000, EstimateMs: 60000, LongRunning: true, Image: "desk", TargetMs: 200}
	if !client.Submit(0, "sessions", session, "session", serves) {
		return fmt.Errorf("the session was not accepted")
	}
	time.Sleep(2 * time.Second)
	fills := step{Count: runners - 1, Cpu: 4000, MemMb: 2000, EstimateMs: 60000, LongRunning: true, AntiAffinity: 1, Image: "index", FillCount: true}
	if !client.Submit(1, "filling", filling, "session", fills) {
		return fmt.Errorf("the filling submission was not accepted")
	}
	time.Sleep(4 * time.Second)
	runs := c.runningNow(session)
	if len(runs) != 1 {
		return fmt.Errorf("the session did not start")
	}
	c.Log("%d tasks that fill are at work", len(c.runningNow(filling)))
	if trouble {
		for _, r := range c.runners {
			if r.ID() == runs[0].Runner {
				c.Log("runner %s is lost for good", r.ID())
				r.Crash()
			}
		}
	}
	lost := time.Now()
	for time.Since(lost) < watchFor {
		time.Sleep(time.Second)
		client.Call(c.vms[2], http.MethodGet, "sessions", session, nil)
		if time.Since(lost) > restartWithin+contact && len(c.runningNow(session)) > 0 {
			c.Log("the session is at work")
			return nil
		}
	}
	for _, run := range c.fleet.Runs(session) {
		c.Log("history: %s", run.String())
	}
	return fmt.Errorf("%w: LOST, nothing of the session has run for %v, with %d of %d runners up and none of their cores taken but by tasks that fill",
		errBroken, time.Since(lost).Round(time.Second), runners-1, runners)
}

// runningNow returns the runs of a submission that have not ended.
func (c *Cell) runningNow(id string) (out []Run) {
	for _, r := range c.fleet.Runs(id) {
		if r.Ended.IsZero() {
			out = append(out, r)
		}
	}
	return out
}
