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
	// vmListInterval is the pause between two readings of the list of VMs while a wave is open.
	vmListInterval = 500 * time.Millisecond
	// cloudTimeout bounds one call of the platform's service for VMs.
	cloudTimeout = 2 * time.Second
	// maxOwnershipAge is how old the store's word that this VM owns the cell may be when an order for upkeep is
	// sent, by a clock that counts suspends. It is a third of the shortest lease that the platform grants.
	maxOwnershipAge = 300 * time.Millisecond
	// upkeepOverhead is what an upkeep takes beside the VM's absence: the calls, and the first hold afterwards.
	upkeepOverhead = time.Second
	// readyPercent is the percent of a service task that is at work.
	readyPercent = 100
)

// upkeep is what the owner knows of waves and VMs.
type upkeep struct {
	waves map[int64]*wave
	// vms is the last list, asked when it was asked for; listing says that one is under way, listed when the
	// last came.
	vms                   map[string]maintenance.VM
	listInFlight          bool
	listAskedAt, listedAt time.Time
}

// advanceWaves gets on with the open waves.
func (t *term) advanceWaves(now time.Time) {
	open := false
	for _, w := range t.upkeep.waves {
		open = open || w.loaded && !w.completionSaved
	}
	if !open || t.upkeep.listInFlight || now.Sub(t.upkeep.listedAt) < vmListInterval || now.Sub(t.startedAt) < t.o.Waves.Lease {
		return
	}
	t.upkeep.listInFlight = true
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, cloudTimeout)
		defer cancel()
		vms, err := t.o.Waves.Cloud.List(ctx)
		t.post(func() { t.onVMs(now, vms, err) })
	})
}

func (t *term) onVMs(asked time.Time, vms []maintenance.VM, err error) {
	now := time.Now()
	t.upkeep.listInFlight, t.upkeep.listedAt = false, now
	if err != nil {
		t.log.Info("dispatch: no list of VMs", zap.Error(err))
		return
	}
	t.upkeep.listAskedAt, t.upkeep.vms = asked, make(map[string]maintenance.VM, len(vms))
	for _, vm := range vms {
		t.upkeep.vms[vm.ID] = vm
	}
	for _, w := range t.upkeep.waves {
		if w.loaded && !w.completionSaved {
			t.advanceWave(w, now)
		}
	}
}

// advanceWave clears and orders what may be away now, and completes a wave of which every VM that is still there
// has begun.
func (t *term) advanceWave(w *wave, now time.Time) {
	waiting, away := t.pendingVMs(w)
	if len(waiting) == 0 && len(w.orderPending) == 0 {
		t.completeWave(w)
		return
	}
	slices.SortFunc(waiting, func(a, b maintenance.VM) int { return t.runsOn(a) - t.runsOn(b) })
	for _, vm := range waiting {
		since, clearing := w.draining[vm.ID]
		if !clearing && (away >= w.MaxUnavailable || vm.State != maintenance.Up) {
			continue
		}
		if !clearing {
			away++
			since = now
			w.draining[vm.ID] = now
			t.log.Info("dispatch: VM is cleared for its upkeep", zap.Int64("wave", w.Number), zap.String("vm", vm.ID), zap.Int("runs", t.runsOn(vm)))
		}
		t.drainVM(w, vm, now.Sub(since))
	}
}

// pendingVMs gives the VMs of a wave that have not begun, and counts those that are away or will be soon.
func (t *term) pendingVMs(w *wave) (waiting []maintenance.VM, away int) {
	away = len(w.draining) + len(w.orderPending)
	for _, id := range w.VMs {
		vm, there := t.upkeep.vms[id]
		switch {
		case !there:
			t.stopDraining(w, id) // it was taken away
		case w.begun[id]:
			t.stopDraining(w, id)
			if vm.State != maintenance.Up || t.upkeep.listAskedAt.Before(t.earliestReturn(w, id)) {
				away++
			}
		case !w.orderPending[id]:
			waiting = append(waiting, vm)
		}
	}
	return waiting, away
}

// earliestReturn is when a VM whose upkeep has begun is back at the earliest. A list that was made before the order was
// carried out would show it as up.
func (t *term) earliestReturn(w *wave, id string) time.Time {
	at, known := w.answeredAt[id]
	if !known {
		at = t.startedAt
	}
	return at.Add(t.o.Waves.UpkeepDuration)
}

// runsOn counts what runs on a VM.
func (t *term) runsOn(vm maintenance.VM) int {
	if n := t.nodes[vm.Worker]; n != nil {
		return len(n.runs)
	}
	return 0
}

// drainTimeout is how long a VM may be waited for until it is empty, so that the wave is done in time.
func (w *wave) drainTimeout(away time.Duration) time.Duration {
	rounds := (len(w.VMs) + w.MaxUnavailable - 1) / w.MaxUnavailable
	return max(w.TimeLimit/time.Duration(max(rounds, 1))-away-upkeepOverhead, upkeepOverhead)
}

// drainVM empties a VM and orders its upkeep. For the first half of its time what runs there may end; then what
// saves its progress, and what lasts as far as it may be away, goes on elsewhere; after its time the order
// ends the rest, but nothing that may not be away.
func (t *term) drainVM(w *wave, vm maintenance.VM, waited time.Duration) {
	n := t.nodes[vm.Worker]
	if n == nil {
		t.orderUpkeep(w, vm)
		return
	}
	n.draining = true
	most := w.drainTimeout(t.o.Waves.UpkeepDuration)
	bound := false
	for _, r := range n.runs {
		if r.stage.spec.Service && !t.canBeAway(r) {
			bound = true
			continue
		}
		if !r.stopping && waited >= most/2 && (r.stage.spec.Service || r.stage.spec.Checkpoints) {
			t.halt(r)
		}
	}
	if len(n.runs) == 0 || waited >= most && !bound {
		t.orderUpkeep(w, vm)
	}
}

// canBeAway reports whether a task that lasts may be made unavailable: so many others of its step as the
// caller allows are not away for any other cause.
func (t *term) canBeAway(r *run) bool {
	most := r.stage.spec.MaxUnavailable
	if most == 0 || r.stopping {
		return true
	}
	away := 0
	for i := range r.stage.tasks {
		if o := r.stage.tasks[i].run; i != r.index && (o == nil || o.stopping || o.percent < readyPercent) {
			away++
		}
	}
	return away < most
}

// stopDraining gives up the clearing of a VM.
func (t *term) stopDraining(w *wave, id string) {
	delete(w.draining, id)
	if n := t.nodes[t.upkeep.vms[id].Worker]; n != nil {
		n.draining = false
	}
}

// orderUpkeep orders the upkeep of a VM. The platform may not compare fences, and this VM may have been suspended
// since it last heard that it owns the cell: the store confirms that first, and the orderUpkeep is sent only if
// that is fresh by a clock that counts suspends.
func (t *term) orderUpkeep(w *wave, vm maintenance.VM) {
	if w.orderPending[vm.ID] {
		return
	}
	w.orderPending[vm.ID] = true
	delete(w.draining, vm.ID)
	record := encode(&waveRecord{Begun: w.begun})
	waves := t.o.Waves
	t.wg.Go(func() {
		asked := waves.SinceBoot()
		err := t.writeAsOwner(w.key(), record)
		if err == nil && waves.SinceBoot()-asked > maxOwnershipAge {
			err = errOwnershipStale
		}
		if err == nil {
			ctx, cancel := context.WithTimeout(t.ctx, cloudTimeout)
			err = waves.Cloud.Upkeep(ctx, maintenance.UpkeepOrder{VM: vm.ID, Wave: w.Number, Holder: waves.Self, Fence: t.tenure.Fence})
			cancel()
		}
		t.post(func() { t.onUpkeepOrdered(w, vm, err) })
	})
}

var errOwnershipStale = errors.New("the store took too long to confirm the ownership")

func (t *term) onUpkeepOrdered(w *wave, vm maintenance.VM, err error) {
	delete(w.orderPending, vm.ID)
	t.log.Info("dispatch: upkeep ordered", zap.Int64("wave", w.Number), zap.String("vm", vm.ID), zap.String("worker", vm.Worker), zap.Error(err))
	switch {
	case err == nil:
		// What ran there is over only if this very order was carried out, and not one before it: the next
		// hold of the worker tells.
		w.begun[vm.ID], w.answeredAt[vm.ID] = true, time.Now()
		t.recordWave(w)
	case errors.Is(err, maintenance.ErrFenced), errors.Is(err, errTermClosed):
		t.loseOwnership("an order for upkeep was refused", err)
	case errors.Is(err, maintenance.ErrNotInWave):
		w.VMs = slices.DeleteFunc(slices.Clone(w.VMs), func(id string) bool { return id == vm.ID })
		t.stopDraining(w, vm.ID)
	default:
		w.draining[vm.ID] = time.Now() // it may have been done; the same order again says so
	}
}

// completeWave tells the operators that every VM of a wave that is still there has begun its upkeep.
func (t *term) completeWave(w *wave) {
	w.completionSaved = true
	key, value := t.o.Waves.Status(w.Number, true)
	t.wg.Go(func() {
		err := t.writeAsOwner(key, value)
		t.post(func() {
			w.completionSaved = err == nil
			t.log.Info("dispatch: wave of upkeep is completed", zap.Int64("wave", w.Number), zap.Int("vms", len(w.begun)), zap.Error(err))
		})
	})
}
