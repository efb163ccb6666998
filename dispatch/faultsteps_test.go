package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"turmericgap/standin/floor"
)

// begin begins a fault and schedules its end.
func (c *faultyCell) begin(s *planStep) {
	r := rand.New(rand.NewPCG(s.draw, 0))
	if slices.Contains(vmTargets, s.target) {
		for _, v := range c.targetVMs(s, r) {
			c.note("%s: %s for %v", s.fault, v.id, s.lasts)
			c.beginOnVM(s, v, r)
		}
		return
	}
	for _, slot := range c.targetWorkers(s, r) {
		c.note("%s: %s for %v", s.fault, slot.instance.Info().ID, s.lasts)
		c.beginOnWorker(s, slot, r)
	}
}

func (c *faultyCell) targetVMs(s *planStep, r *rand.Rand) []*vm {
	live := c.liveVMs()
	if s.target == "all" && s.fault != "kill" {
		return live
	}
	others := slices.DeleteFunc(slices.Clone(live), func(v *vm) bool { return v.dispatcher.IsOwner() })
	if s.target == "owner" && len(others) < len(live) {
		return slices.DeleteFunc(live, func(v *vm) bool { return !v.dispatcher.IsOwner() })
	}
	if len(others) == 0 {
		return nil
	}
	return []*vm{pick(r, others)}
}

// recentEnd is how long ago the last run of a worker that is a target for it may have ended.
const recentEnd = 4 * time.Second

// targetWorkers returns workers that are up, those with running tasks first if the fault is for them.
func (c *faultyCell) targetWorkers(s *planStep, r *rand.Rand) []*workerSlot {
	busy := make(map[string]bool)
	for _, run := range c.cluster.History() {
		if s.target == "ended" && time.Since(run.Ended) < recentEnd {
			busy[run.Worker] = true
		}
		if run.Ended.IsZero() && (s.target == "busy" || s.target == "gang" && strings.HasPrefix(run.Task.Work, "gang")) {
			busy[run.Worker] = true
		}
	}
	var preferred, others []*workerSlot
	for _, i := range r.Perm(len(c.slots)) {
		slot := c.slots[i]
		switch {
		case slot.instance == nil:
		case busy[slot.instance.Info().ID]:
			preferred = append(preferred, slot)
		default:
			others = append(others, slot)
		}
	}
	list := append(preferred, others...)
	return list[:min(s.count, len(list))]
}

// beginOnVM begins a fault of a VM.
func (c *faultyCell) beginOnVM(s *planStep, v *vm, r *rand.Rand) {
	set := map[string]func(on bool){
		"store silent":              v.store.Cut,
		"store refuses":             v.store.Down,
		"store resets":              v.store.Reset,
		"store loses answers":       v.store.LoseAnswer,
		"cut from workers":          v.workersCut.Store,
		"cut from peers":            v.peersCut.Store,
		"replies cut":               v.repliesCut.Store,
		"cut from workers' entries": v.workersListCut.Store,
		"overloaded":                v.overloaded.Store,
		"key reads silent":          v.keyReadsSilent.Store,
		"answers to commits lost":   v.commitAnswersLost.Store,
		"answers to commits held":   v.commitAnswersHeld.Store,
	}
	if f := set[s.fault]; f != nil {
		f(true)
		c.after(s.lasts, func() {
			if !v.dead.Load() {
				f(false)
			}
		})
		return
	}
	switch s.fault {
	case "store slow":
		v.store.Delay(between(r, 50*time.Millisecond, 3*time.Second))
		c.after(s.lasts, func() { v.store.Delay(0) })
	case "store loses next answers":
		v.store.LoseNext(1 + r.IntN(8))
	case "store carries out writes late":
		v.store.DeferNext(1+r.IntN(4), between(r, 100*time.Millisecond, 8*time.Second))
	case "replies slow":
		v.replyDelay.Store(int64(between(r, 50*time.Millisecond, 900*time.Millisecond)))
		c.after(s.lasts, func() { v.replyDelay.Store(0) })
	case "relayed calls slow":
		v.callDelay.Store(int64(between(r, 50*time.Millisecond, 2*time.Second)))
		c.after(s.lasts, func() { v.callDelay.Store(0) })
	case "cut from one worker":
		if slots := c.targetWorkers(&planStep{target: "busy", count: 1}, r); len(slots) > 0 {
			id := slots[0].instance.Info().ID
			v.cutFrom.Store(&id)
			c.after(s.lasts, func() { v.cutFrom.Store(nil) })
		}
	case "kill":
		c.kill(v)
		if len(c.liveVMs()) == 0 {
			c.startNextVM()
			return
		}
		c.after(s.lasts, c.startNextVM)
	default:
		c.t.Fatalf("fault %q of a VM is unknown", s.fault)
	}
}

// beginOnWorker begins a fault of a worker.
func (c *faultyCell) beginOnWorker(s *planStep, slot *workerSlot, r *rand.Rand) {
	transit := c.transitOf(s, r)
	set := map[string]func(f *floor.Faults, on bool){
		"late starts":                 func(f *floor.Faults, on bool) { f.TransitOf = transitIf(on, transit) },
		"late stops":                  func(f *floor.Faults, on bool) { f.TransitOf = transitIf(on, transit) },
		"late holds":                  func(f *floor.Faults, on bool) { f.TransitOf = transitIf(on, transit) },
		"slow replies":                func(f *floor.Faults, on bool) { f.TransitOf = transitIf(on, transit) },
		"unreachable":                 func(f *floor.Faults, on bool) { f.Unreachable = on },
		"drops replies":               func(f *floor.Faults, on bool) { f.DropReplies = on },
		"drops some replies to holds": func(f *floor.Faults, on bool) { f.DropHoldReplyEvery = map[bool]int{true: 2 + int(s.draw%3)}[on] },
		"resets connections":          func(f *floor.Faults, on bool) { f.ResetConnections = on },
		"unwell":                      func(f *floor.Faults, on bool) { f.Unwell = on },
	}
	instance := slot.instance
	change := func(f func(*floor.Faults, bool), on bool) {
		if slot.instance == instance {
			f(&slot.faults, on)
			instance.SetFaults(slot.faults)
		}
	}
	if f := set[s.fault]; f != nil {
		change(f, true)
		c.after(s.lasts, func() { change(f, false) })
		return
	}
	if slot.leaving && slices.Contains([]string{"leave", "leave unlisted", "entry lapses"}, s.fault) {
		return // its entry was written lately and does not lapse
	}
	switch s.fault {
	case "late starts that fail at once":
		// The worker gets orders until its connections fail.
		change(set["late starts"], true)
		c.after(between(r, 60*time.Millisecond, 250*time.Millisecond), func() { change(set["resets connections"], true) })
		c.after(s.lasts+300*time.Millisecond, func() {
			change(set["late starts"], false)
			change(set["resets connections"], false)
		})
	case "crash", "crash and replace":
		c.crash(slot, s.fault == "crash and replace", s.lasts)
	case "leave", "leave unlisted":
		c.leave(slot, s.fault == "leave unlisted", s.lasts, r)
	case "entry lapses":
		c.unlist(instance.Info().ID)
		c.after(s.lasts, func() {
			if slot.instance == instance {
				c.list(slot)
			}
		})
	default:
		c.t.Fatalf("fault %q of a worker is unknown", s.fault)
	}
}

func transitIf(on bool, f func(floor.CallKind, int) floor.Transit) func(floor.CallKind, int) floor.Transit {
	if !on {
		return nil
	}
	return f
}

// transitOf returns how the network treats calls under a fault. Each call has its own draws.
func (c *faultyCell) transitOf(s *planStep, r *rand.Rand) func(floor.CallKind, int) floor.Transit {
	kinds := map[string]floor.CallKind{
		"late starts": floor.CallLaunch, "late starts that fail at once": floor.CallLaunch,
		"late stops": floor.CallHalt, "late holds": floor.CallHold,
	}
	late, part := kinds[s.fault], pick(r, []float64{0.3, 0.6, 1})
	longest := pick(r, []time.Duration{600 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond})
	if late != floor.CallLaunch {
		longest *= 3
	}
	draw := s.draw
	return func(kind floor.CallKind, n int) floor.Transit {
		r := rand.New(rand.NewPCG(draw, uint64(n)<<8|uint64(len(kind))))
		switch {
		case s.fault == "slow replies":
			return floor.Transit{Reply: between(r, 0, 700*time.Millisecond)}
		case kind == late && r.Float64() < part:
			return floor.Transit{Late: between(r, time.Millisecond, longest)}
		}
		return floor.Transit{}
	}
}

// listInterval is the time between two writes of a worker's entry. An entry that was not written for entryTTL is
// removed.
const listInterval = time.Second

// crash ends a worker. Its entry lapses, and the next instance starts later: at its address if it is replaced.
func (c *faultyCell) crash(slot *workerSlot, replaced bool, downtime time.Duration) {
	old := slot.instance
	slot.instance = nil
	old.Crash(false)
	c.after(entryTTL-old.Clock()%listInterval, func() { c.unlist(old.Info().ID) })
	c.after(downtime, func() {
		if replaced {
			old.Crash(true)
		} else {
			slot.address = fmt.Sprintf("x%02d", c.lives)
		}
		c.startWorker(slot)
	})
}

// leave makes a worker announce that it leaves. It then either removes its entry as it exits, or loses the store: the
// entry lapses while it runs on, and comes back if it reaches the store again before it exits. Half of the workers announce
// how much time is left.
func (c *faultyCell) leave(slot *workerSlot, unlisted bool, after time.Duration, r *rand.Rand) {
	leaving := slot.instance
	slot.leaving = true
	present := func() bool { return slot.instance == leaving }
	last := after
	if unlisted {
		last = after / 2
	}
	if c.lives%2 == 0 {
		slot.leavesAt = time.Now().Add(last)
	}
	for at := time.Duration(0); at < last; at += listInterval {
		c.after(at, func() {
			if present() {
				c.list(slot)
			}
		})
	}
	exit := last
	if unlisted {
		lapsed := last.Truncate(listInterval) + entryTTL
		c.after(lapsed, func() { c.unlist(leaving.Info().ID) })
		exit = lapsed + between(r, 0, 8*time.Second)
		if back := lapsed + between(r, 0, 4*time.Second); back < exit && r.IntN(2) == 0 {
			c.after(back, func() {
				if present() {
					c.list(slot)
				}
			})
		}
	}
	c.after(exit, func() {
		if !present() {
			return
		}
		c.note("exits: %s", leaving.Info().ID)
		slot.instance = nil
		leaving.Crash(false)
		c.after(between(r, 0, 300*time.Millisecond), func() { c.unlist(leaving.Info().ID) })
		c.after(time.Second, func() { c.startWorker(slot) })
	})
}
