package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/maintenance"
)

// Waves tells where waves of upkeep lie in the store, how one is read and answered, and who carries it out.
type Waves struct {
	Prefix string
	Decode func(key string, raw []byte) (maintenance.Wave, error)
	Status func(number int64, completed bool) (key string, value []byte)
	Cloud  maintenance.Cloud
	// Self names this VM towards the platform.
	Self string
	// Lease is how long a former owner's orders may still arrive: a new owner gives none before that.
	Lease time.Duration
	// UpkeepDuration is how long a VM is away for its upkeep.
	UpkeepDuration time.Duration
	// SinceBoot is a clock that counts the time for which this VM was suspended.
	SinceBoot func() time.Duration
}

const (
	// listEvery is the pause between two readings of the list of VMs while a wave is open.
	listEvery = 500 * time.Millisecond
	// cloudWithin bounds one call of the platform's service for VMs.
	cloudWithin = 2 * time.Second
	// orderFresh is how old the store's word that this VM owns the cell may be when an order for upkeep is
	// sent, by a clock that counts suspends. It is a third of the shortest lease that the platform grants.
	orderFresh = 300 * time.Millisecond
	// settleTime is what an upkeep takes beside the VM's absence: the calls, and the first hold afterwards.
	settleTime = time.Second
	// atWork is the percent of a service task that is at work.
	atWork = 100
)

// upkeep is what the owner knows of waves and VMs.
type upkeep struct {
	waves map[int64]*wave
	// vms is the last list, asked when it was asked for; listing says that one is under way, listed when the
	// last came.
	vms           map[string]maintenance.VM
	listing       bool
	asked, listed time.Time
}

// keepUp gets on with the open waves.
func (t *term) keepUp(now time.Time) {
	open := false
	for _, w := range t.upkeep.waves {
		open = open || w.known && !w.told
	}
	if !open || t.upkeep.listing || now.Sub(t.upkeep.listed) < listEvery || now.Sub(t.since) < t.o.Waves.Lease {
		return
	}
	t.upkeep.listing = true
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, cloudWithin)
		defer cancel()
		vms, err := t.o.Waves.Cloud.List(ctx)
		t.post(func() { t.onVMs(now, vms, err) })
	})
}

func (t *term) onVMs(asked time.Time, vms []maintenance.VM, err error) {
	now := time.Now()
	t.upkeep.listing, t.upkeep.listed = false, now
	if err != nil {
		t.log.Info("dispatch: no list of VMs", zap.Error(err))
		return
	}
	t.upkeep.asked, t.upkeep.vms = asked, make(map[string]maintenance.VM, len(vms))
	for _, vm := range vms {
		t.upkeep.vms[vm.ID] = vm
	}
	for _, w := range t.upkeep.waves {
		if w.known && !w.told {
			t.advance(w, now)
		}
	}
}

// advance clears and orders what may be away now, and completes a wave of which every VM that is still there
// has begun.
func (t *term) advance(w *wave, now time.Time) {
	waiting, away := t.standing(w)
	if len(waiting) == 0 && len(w.ordered) == 0 {
		t.complete(w)
		return
	}
	slices.SortFunc(waiting, func(a, b maintenance.VM) int { return t.load(a) - t.load(b) })
	for _, vm := range waiting {
		since, clearing := w.clearing[vm.ID]
		if !clearing && (away >= w.Most || vm.State != maintenance.Up) {
			continue
		}
		if !clearing {
			away++
			since = now
			w.clearing[vm.ID] = now
			t.log.Info("dispatch: VM is cleared for its upkeep", zap.Int64("wave", w.Number), zap.String("vm", vm.ID), zap.Int("runs", t.load(vm)))
		}
		t.clear(w, vm, now.Sub(since))
	}
}

// standing gives the VMs of a wave that have not begun, and counts those that are away or will be soon.
func (t *term) standing(w *wave) (waiting []maintenance.VM, away int) {
	away = len(w.clearing) + len(w.ordered)
	for _, id := range w.VMs {
		vm, there := t.upkeep.vms[id]
		switch {
		case !there:
			t.unclear(w, id) // it was taken away
		case w.begun[id]:
			t.unclear(w, id)
			if vm.State != maintenance.Up || t.upkeep.asked.Before(t.backBy(w, id)) {
				away++
			}
		case !w.ordered[id]:
			waiting = append(waiting, vm)
		}
	}
	return waiting, away
}

// backBy is when a VM whose upkeep has begun is back at the earliest. A list that was made before the order was
// carried out would show it as up.
func (t *term) backBy(w *wave, id string) time.Time {
	at, known := w.orderedAt[id]
	if !known {
		at = t.since
	}
	return at.Add(t.o.Waves.UpkeepDuration)
}

// load counts what runs on a VM.
func (t *term) load(vm maintenance.VM) int {
	if n := t.nodes[vm.Worker]; n != nil {
		return len(n.runs)
	}
	return 0
}

// clearTime is how long a VM may be waited for until it is empty, so that the wave is done in time.
func (w *wave) clearTime(away time.Duration) time.Duration {
	rounds := (len(w.VMs) + w.Most - 1) / w.Most
	return max(w.Within/time.Duration(max(rounds, 1))-away-settleTime, settleTime)
}

// clear empties a VM and orders its upkeep. For the first half of its time what runs there may end; then what
// saves its progress, and what lasts as far as it may be away, goes on elsewhere; after its time the order
// ends the rest, but nothing that may not be away.
func (t *term) clear(w *wave, vm maintenance.VM, waited time.Duration) {
	n := t.nodes[vm.Worker]
	if n == nil {
		t.order(w, vm)
		return
	}
	n.clearing = true
	most := w.clearTime(t.o.Waves.UpkeepDuration)
	bound := false
	for _, r := range n.runs {
		if r.s.spec.Service && !t.mayBeAway(r) {
			bound = true
			continue
		}
		if !r.stopping && waited >= most/2 && (r.s.spec.Service || r.s.spec.Checkpoints) {
			t.halt(r)
		}
	}
	if len(n.runs) == 0 || waited >= most && !bound {
		t.order(w, vm)
	}
}

// mayBeAway reports whether a task that lasts may be made unavailable: so many others of its step as the
// caller allows are not away for any other cause.
func (t *term) mayBeAway(r *run) bool {
	most := r.s.spec.MostAway
	if most == 0 || r.stopping {
		return true
	}
	away := 0
	for i := range r.s.tasks {
		if o := r.s.tasks[i].run; i != r.index && (o == nil || o.stopping || o.percent < atWork) {
			away++
		}
	}
	return away < most
}

// unclear gives up the clearing of a VM.
func (t *term) unclear(w *wave, id string) {
	delete(w.clearing, id)
	if n := t.nodes[t.upkeep.vms[id].Worker]; n != nil {
		n.clearing = false
	}
}

// order orders the upkeep of a VM. The platform may not compare fences, and this VM may have been suspended
// since it last heard that it owns the cell: the store confirms that first, and the order is sent only if
// that is fresh by a clock that counts suspends.
func (t *term) order(w *wave, vm maintenance.VM) {
	if w.ordered[vm.ID] {
		return
	}
	w.ordered[vm.ID] = true
	delete(w.clearing, vm.ID)
	record := encode(&waveRecord{Begun: w.begun})
	waves := t.o.Waves
	t.wg.Go(func() {
		asked := waves.SinceBoot()
		err := t.confirm(w.key(), record)
		if err == nil && waves.SinceBoot()-asked > orderFresh {
			err = errNotFresh
		}
		if err == nil {
			ctx, cancel := context.WithTimeout(t.ctx, cloudWithin)
			err = waves.Cloud.Upkeep(ctx, maintenance.Order{VM: vm.ID, Wave: w.Number, Holder: waves.Self, Fence: t.tenure.Fence})
			cancel()
		}
		t.post(func() { t.onOrdered(w, vm, err) })
	})
}

var errNotFresh = errors.New("the store took too long to confirm the ownership")

func (t *term) onOrdered(w *wave, vm maintenance.VM, err error) {
	delete(w.ordered, vm.ID)
	t.log.Info("dispatch: upkeep ordered", zap.Int64("wave", w.Number), zap.String("vm", vm.ID), zap.String("worker", vm.Worker), zap.Error(err))
	switch {
	case err == nil:
		// What ran there is over only if this very order was carried out, and not one before it: the next
		// hold of the worker tells.
		w.begun[vm.ID], w.orderedAt[vm.ID] = true, time.Now()
		t.recordWave(w)
	case errors.Is(err, maintenance.ErrFenced), errors.Is(err, errTermClosed):
		t.lose("an order for upkeep was refused", err)
	case errors.Is(err, maintenance.ErrNotOfWave):
		w.VMs = slices.DeleteFunc(slices.Clone(w.VMs), func(id string) bool { return id == vm.ID })
		t.unclear(w, vm.ID)
	default:
		w.clearing[vm.ID] = time.Now() // it may have been done; the same order again says so
	}
}

// complete tells the operators that every VM of a wave that is still there has begun its upkeep.
func (t *term) complete(w *wave) {
	w.told = true
	key, value := t.o.Waves.Status(w.Number, true)
	t.wg.Go(func() {
		err := t.confirm(key, value)
		t.post(func() {
			w.told = err == nil
			t.log.Info("dispatch: wave of upkeep is completed", zap.Int64("wave", w.Number), zap.Int("vms", len(w.begun)), zap.Error(err))
		})
	})
}
