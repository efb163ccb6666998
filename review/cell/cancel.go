package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cancel"] = playCancel }

const (
	// submitEvery is the pause between two sessions that are handed in.
	submitEvery = 25 * time.Millisecond
	// playFor is how long the traffic lasts. The machines are restarted in turn every rollEvery from firstRoll on.
	playFor   = 72 * time.Second
	firstRoll = 20 * time.Second
	rollEvery = 12 * time.Second
	rolls     = 4
	rollGap   = 1300 * time.Millisecond
	restart   = 300 * time.Millisecond
)

// cancelled is a session that was accepted and whose cancelling was answered.
type cancelled struct {
	id     string
	status int
	at     time.Time
}

// playCancel submits sessions whose clients cancel them soon after the ack, while the machines are stopped and started in
// turn, first the one that last wrote to the store under a condition.
func playCancel(c *Cell, trouble bool) error {
	c.PutConfig(1, queue("sessions", 0))
	for range 12 {
		if _, err := c.AddRunner("a", 16000, false); err != nil {
			return err
		}
	}
	if err := c.StartVMs(6); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	if trouble {
		for i := range rolls {
			time.AfterFunc(firstRoll+time.Duration(i)*rollEvery, c.roll)
		}
	}
	var mu sync.Mutex
	var answered []cancelled
	var clients sync.WaitGroup
	for time.Since(began) < playFor {
		clients.Go(func() {
			if a, ok := c.submitAndCancel(); ok {
				mu.Lock()
				answered = append(answered, a)
				mu.Unlock()
			}
		})
		time.Sleep(submitEvery)
	}
	clients.Wait()
	time.Sleep(cancelMs + stopTimeout + time.Second)
	return c.checkCancelled(answered)
}

// roll restarts all machines in turn.
func (c *Cell) roll() {
	first := c.store.LastWriter()
	order := []*VM{c.VM(first)}
	for _, vm := range c.vms {
		if vm.name != first {
			order = append(order, vm)
		}
	}
	for _, vm := range order {
		go func() {
			vm.Term()
			time.Sleep(restart)
			_ = vm.Start()
		}()
		time.Sleep(rollGap)
	}
}

// submitAndCancel hands a session in and cancels it soon after the ack. It asks again, at other machines, until the
// cancelling is answered with 2xx or 410.
func (c *Cell) submitAndCancel() (a cancelled, ok bool) {
	client, id, at := c.newClient(), newID(), rand.IntN(len(c.vms))
	defer client.http.CloseIdleConnections()
	if !client.Submit(at, "sessions", id, "session", step{Count: 1, Cpu: 100, MemMb: 100, EstimateMs: 60000, LongRunning: true}) {
		return a, false
	}
	time.Sleep(time.Duration(5+rand.IntN(50)) * time.Millisecond)
	for try := range 30 {
		status, _ := client.Call(c.vms[(at+try)%len(c.vms)], http.MethodDelete, "sessions", id, nil)
		if status/100 == 2 || status == http.StatusGone {
			return cancelled{id, status, time.Now()}, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return a, false
}

// checkCancelled reports tasks that run on for longer than the bounds allow after their cancelling was answered.
func (c *Cell) checkCancelled(answered []cancelled) error {
	gone, ranOn := 0, 0
	for _, a := range answered {
		if a.status == http.StatusGone {
			gone++
		}
		if time.Since(a.at) < cancelMs+stopTimeout {
			continue
		}
		for _, run := range c.runningNow(a.id) {
			ranOn++
			c.Log("runs on: %s, %v after its cancelling was answered with %d", run.String(), time.Since(a.at).Round(time.Millisecond), a.status)
			c.newClient().Call(c.vms[0], http.MethodGet, "sessions", a.id, nil)
		}
	}
	c.Log("%d cancels were answered, %d of them with 410; %d tasks run on", len(answered), gone, ranOn)
	if ranOn > 0 {
		return fmt.Errorf("%w: UNASKED, %d tasks run on after the cancelling of their sessions was answered", errBroken, ranOn)
	}
	return nil
}
