package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["givenup"] = playGivenUp }

// One runner in ten goes down and up with a period of 1.4 s, for 6.5 s.
const (
	flapPeriod = 1400 * time.Millisecond
	flapFor    = 6500 * time.Millisecond
)

// playGivenUp submits a sound session that needs a kind of runner of which there is one, while that runner goes down and up
// for a while. From then on the runner is sound. No run of the session ends failed.
func playGivenUp(c *Cell, trouble bool) error {
	c.PutConfig(1, queue("sessions", 0))
	for i := range 10 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		if _, err := c.AddRunner(kind, 16000, false); err != nil {
			return err
		}
	}
	if err := c.StartVMs(4); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	flapped := make(chan error, 1)
	go func() {
		if !trouble {
			flapped <- nil
			return
		}
		flapped <- c.flap(c.runners[0])
	}()
	time.Sleep(flapPeriod / 4)
	client, id := c.newClient(), newID()
	if !client.Submit(0, "sessions", id, "session", step{Count: 1, Cpu: 4000, MemMb: 8000, EstimateMs: 60000, Requires: "b", LongRunning: true}) {
		return fmt.Errorf("the submission was not accepted")
	}
	if err := <-flapped; err != nil {
		return err
	}
	c.Log("from now on all runners are sound")
	state := ""
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && state != "failed"; time.Sleep(time.Second) {
		_, state = client.Call(c.vms[1], http.MethodGet, "sessions", id, nil)
	}
	crashes := 0
	for _, run := range c.fleet.Runs(id) {
		c.Log("history: %s", run.String())
		if run.How == "failed" {
			return fmt.Errorf("a run has ended failed")
		}
		if run.How == "crashed" {
			crashes++
		}
	}
	if state == "failed" {
		return fmt.Errorf("%w: LOST, the session is shown as failed after %d crashes of its runner, and no run of it has ended failed", errBroken, crashes)
	}
	if n := len(c.runningNow(id)); n != 1 {
		return fmt.Errorf("%w: LOST, %d runs of the session at work", errBroken, n)
	}
	return nil
}

// flap takes a runner down and up in turn.
func (c *Cell) flap(r *Runner) error {
	for end := time.Now().Add(flapFor); time.Now().Before(end); {
		c.Log("runner %s goes down", r.ID())
		r.Crash()
		time.Sleep(flapPeriod / 2)
		if err := r.Return(); err != nil {
			return err
		}
		c.Log("it is up again as %s", r.ID())
		time.Sleep(flapPeriod / 2)
	}
	return nil
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
