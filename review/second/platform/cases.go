package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

var (
	openMu    sync.Mutex
	openCells []*cell
)

// open starts a cell that closeAll closes.
func open(log *record, o *options) (*cell, error) {
	c, err := newCell(log, o)
	if c != nil {
		openMu.Lock()
		openCells = append(openCells, c)
		openMu.Unlock()
	}
	return c, err
}

func closeAll() {
	openMu.Lock()
	defer openMu.Unlock()
	for _, c := range openCells {
		c.close()
	}
	openCells = nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submission returns the body of a submission; ms is how long the tasks of each step take, 0 for tasks that last.
func submission(ms []int, steps ...map[string]any) map[string]any {
	parts := make([]string, len(ms))
	for i, n := range ms {
		parts[i] = fmt.Sprint(n)
	}
	return map[string]any{"Spec": `{"Ms":[` + strings.Join(parts, ",") + `]}`, "Steps": steps}
}

// await polls a condition.
func await(d time.Duration, done func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// kindsOf returns n runners of kind a; the last of them is of kind b if one is wanted.
func kindsOf(n int, withB bool) []string {
	kinds := slices.Repeat([]string{"a"}, n)
	if withB {
		kinds[n-1] = "b"
	}
	return kinds
}

// idleTooLong is for how long a task may not be at work although there is room, and settle for how long before that
// nothing may have been disturbed.
const (
	idleTooLong = 3 * time.Second
	settle      = 4 * time.Second
	// afterLastRun is how long after its last run a task that lasts may be missing.
	afterLastRun = 6 * time.Second
	cancelWithin = 3 * time.Second
	// finish is how long after the end of the traffic submissions are asked for.
	finish = 14 * time.Second
)

// playQuarantine has the only runner of kind b fail all that it starts for some seconds, while submissions that need that
// kind arrive: first three that last, then, in another cell, three with one task and attempts left.
func playQuarantine(log *record, trouble bool) (string, error) {
	var broken []string
	for _, lasts := range []bool{true, false} {
		log.printf("submissions that last: %v", lasts)
		found, err := playGreyRunner(log, trouble, lasts)
		if err != nil {
			return "", err
		}
		if found != "" {
			broken = append(broken, found)
		}
	}
	return strings.Join(broken, "; "), nil
}

func playGreyRunner(log *record, trouble, lasts bool) (string, error) {
	defer closeAll()
	c, err := open(log, &options{vms: 6, kinds: kindsOf(12, true), cpu: 16000, mem: 65536, attempts: 5})
	if err != nil {
		return "", err
	}
	b := c.runners[len(c.runners)-1]
	if trouble {
		b.setGrey(true)
	}
	step, takes := map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1000, "Requires": "b"}, 0
	if lasts {
		step["LongRunning"] = true
	} else {
		step["EstimateMs"], takes = 2000, 2000
	}
	var ids []string
	for range 3 {
		id := newID()
		if !c.submit(id, submission([]int{takes}, step)) {
			return "", errors.New("a submission was not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(greyFor)
	if trouble {
		b.setGrey(false)
	}
	return c.findIdle(ids, time.Now(), 25*time.Second), nil
}

// greyFor is how long a runner fails all that it starts.
const greyFor = 2 * time.Second

// findIdle watches submissions of one task for a while, and returns which of them had no task at work for too long. sound
// is when the last disturbance ended.
func (c *cell) findIdle(ids []string, sound time.Time, d time.Duration) string {
	idleSince := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, id := range ids {
			runs := c.judge.runsOf(id)
			from := sound.Add(settle)
			if len(runs) > 0 {
				last := runs[len(runs)-1]
				if last.finished.IsZero() || last.how == "done" {
					delete(idleSince, id)
					continue
				}
				if at := last.finished.Add(afterLastRun); at.After(from) {
					from = at
				}
			}
			if time.Now().Before(from) {
				continue
			}
			if idleSince[id].IsZero() {
				idleSince[id] = time.Now()
			}
			longest[id] = max(longest[id], time.Since(idleSince[id]))
		}
	}
	var broken []string
	for _, id := range ids {
		if longest[id] > idleTooLong {
			broken = append(broken, fmt.Sprintf("%s, now shown as %s, had nothing running for %.1f s, with room for it", id, c.state(id), longest[id].Seconds()))
		}
	}
	return strings.Join(broken, "; ")
}

// playOneCrash has a runner crash and start again under its ID, while the process that gives the orders is killed some
// times.
func playOneCrash(log *record, trouble bool) (string, error) {
	defer closeAll()
	c, err := open(log, &options{vms: 8, kinds: kindsOf(12, true), cpu: 16000, mem: 65536, attempts: 5, keepsIDs: true})
	if err != nil {
		return "", err
	}
	var ids []string
	for range 6 {
		id := newID()
		if !c.submit(id, submission([]int{8000}, map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 8000, "Requires": "b"})) {
			return "", errors.New("a submission was not accepted")
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	if trouble {
		b := c.runners[len(c.runners)-1]
		b.crash()
		time.AfterFunc(time.Second, func() {
			if err := b.start(); err != nil {
				log.printf("runner doesn't start: %v", err)
			}
		})
		time.Sleep(killGap)
		for range ownerKills {
			c.killOwner()
			time.Sleep(killGap)
		}
	}
	time.Sleep(20 * time.Second)
	var failed []string
	for _, id := range ids {
		runs := c.judge.runsOf(id)
		for _, r := range runs {
			log.printf("%s run %d on %s: %q", r.task, r.number, r.runner, r.how)
		}
		if state := c.state(id); state == "failed" || state == "cancelled" || state == "gone" {
			failed = append(failed, fmt.Sprintf("%s, which nobody cancelled, is shown as %s after %d runs, none of which ended failed", id, state, len(runs)))
		}
	}
	return strings.Join(failed, "; "), nil
}

// killGap is the pause between two of the ownerKills.
const (
	killGap    = 1200 * time.Millisecond
	ownerKills = 5
)

// playOversize hands in one submission of 80,000 short tasks, beside usual ones.
func playOversize(log *record, trouble bool) (string, error) {
	defer closeAll()
	c, err := open(log, &options{vms: 6, kinds: kindsOf(12, false), cpu: 16000, mem: 65536, attempts: 3})
	if err != nil {
		return "", err
	}
	if trouble {
		steps := make([]map[string]any, 20)
		ms := make([]int, len(steps))
		for i := range steps {
			steps[i], ms[i] = map[string]any{"Count": 4000, "Cpu": 100, "MemMb": 100, "EstimateMs": 1000}, 1000
		}
		accepted := c.submit(newID(), submission(ms, steps...))
		log.printf("the large submission was accepted: %v", accepted)
	}
	var ids []string
	for range 20 {
		id := newID()
		if c.submit(id, submission([]int{1000}, map[string]any{"Count": 2, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 1000})) {
			ids = append(ids, id)
		}
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(finish)
	waiting := 0
	for _, id := range ids {
		if c.state(id) != "completed" && len(c.judge.runsOf(id)) == 0 {
			waiting++
		}
	}
	c.store.mu.Lock()
	declined, why := c.store.declined, c.store.declinedWhy
	c.store.mu.Unlock()
	log.printf("%d submissions accepted, %d of them not begun; the store has refused %d transactions: %s", len(ids), waiting, declined, why)
	if waiting > 0 {
		return fmt.Sprintf("%d of %d accepted submissions have nothing running %v after the end of the traffic, with the service empty", waiting, len(ids), finish), nil
	}
	return "", nil
}

// playIsolation has a runner crash twice, each time soon after the tasks of six submissions have begun on it.
func playIsolation(log *record, trouble bool) (string, error) {
	defer closeAll()
	c, err := open(log, &options{vms: 6, kinds: kindsOf(12, true), cpu: 16000, mem: 65536, attempts: 5})
	if err != nil {
		return "", err
	}
	b := c.runners[len(c.runners)-1]
	var ids []string
	for range 6 {
		id := newID()
		if !c.submit(id, submission([]int{10000}, map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 10000, "Requires": "b"})) {
			return "", errors.New("a submission was not accepted")
		}
		ids = append(ids, id)
	}
	trafficEnd := time.Now()
	for range 2 {
		if !trouble {
			break
		}
		if !await(10*time.Second, func() bool { return c.runningOf(ids) > 0 }) {
			return "", errors.New("nothing has started")
		}
		time.Sleep(600 * time.Millisecond)
		b.crash()
		time.Sleep(time.Second)
		if err := b.start(); err != nil {
			return "", err
		}
	}
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	return c.findIdle(ids, time.Now().Add(-settle), 8*time.Second), nil
}

func (c *cell) runningOf(ids []string) int {
	n := 0
	for _, id := range ids {
		n += c.judge.running(id)
	}
	return n
}

// playLostRunner loses a runner for good on which a task that lasts is at work.
func playLostRunner(log *record, trouble bool) (string, error) {
	defer closeAll()
	c, err := open(log, &options{vms: 6, kinds: kindsOf(12, false), cpu: 16000, mem: 65536, attempts: 5})
	if err != nil {
		return "", err
	}
	id := newID()
	if !c.submit(id, submission([]int{0}, map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 1000, "LongRunning": true})) {
		return "", errors.New("the submission was not accepted")
	}
	time.Sleep(settle)
	lost := time.Now()
	if trouble {
		for _, r := range c.runners {
			if r.runs(id) {
				r.crash()
			}
		}
	}
	found := c.findIdle([]string{id}, lost, 25*time.Second)
	for _, r := range c.judge.runsOf(id) {
		log.printf("%s run %d starts %.1f s after the loss", r.task, r.number, r.began.Sub(lost).Seconds())
	}
	return found, nil
}
