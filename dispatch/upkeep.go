package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"turmericgap/maintenance"
)

// Waves configures where maintenance waves are stored, how they are decoded and reported, and which service carries
// them out.
type Waves struct {
	Prefix string
	Decode func(key string, raw []byte) (maintenance.Wave, error)
	Status func(number int64, completed bool) (key string, value []byte)
	Cloud  maintenance.Cloud
	// Self is the ID of this VM at the platform.
	Self string
	// Lease is how long orders of a former owner may still arrive. A new owner gives no orders before then.
	Lease time.Duration
	// MaintenanceDuration is how long a VM is unavailable during its maintenance.
	MaintenanceDuration time.Duration
	// SinceBoot is a clock that includes the time for which this VM was suspended.
	SinceBoot func() time.Duration
}

const (
	// vmListInterval is the pause between two requests for the list of VMs while a wave is open.
	vmListInterval = 500 * time.Millisecond
	// cloudTimeout bounds one call of the platform's VM service.
	cloudTimeout = 2 * time.Second
	// maxOwnershipAge is the maximum age of the store's confirmation that this VM owns the cell when a maintenance
	// order is sent, by a clock that includes suspends. It is a third of the shortest lease that the platform grants.
	maxOwnershipAge = 300 * time.Millisecond
	// maintenanceOverhead is the duration of a maintenance in addition to the VM's absence: the calls, and the first hold
	// afterwards.
	maintenanceOverhead = time.Second
	// readyPercent is the progress of a service task that is ready.
	readyPercent = 100
)

// maintenanceState is the owner's state of maintenance waves and VMs.
type maintenanceState struct {
	waves map[int64]*wave
	// vms is the last list of VMs, which was requested at listRequestedAt. listInFlight is true while a request is
	// pending; listAnsweredAt is when the last one ended.
	vms                             map[string]maintenance.VM
	listInFlight                    bool
	listRequestedAt, listAnsweredAt time.Time
}

// advanceWaves requests the list of VMs if a wave is open and the list is due.
func (t *term) advanceWaves(now time.Time) {
	open := false
	for _, w := range t.maintenance.waves {
		open = open || w.loaded && !w.completionSaved
	}
	if !open || t.maintenance.listInFlight || now.Sub(t.maintenance.listAnsweredAt) < vmListInterval ||
		now.Sub(t.startedAt) < t.o.Waves.Lease {
		return
	}
	t.maintenance.listInFlight = true
	t.wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.ctx, cloudTimeout)
		defer cancel()
		vms, err := t.o.Waves.Cloud.List(ctx)
		t.post(func() { t.onVMs(now, vms, err) })
	})
}

// onVMs processes a list of VMs and advances the open waves.
func (t *term) onVMs(requestedAt time.Time, vms []maintenance.VM, err error) {
	now := time.Now()
	t.maintenance.listInFlight, t.maintenance.listAnsweredAt = false, now
	if err != nil {
		t.log.Info("dispatch: listing VMs failed", zap.Error(err))
		return
	}
	t.maintenance.listRequestedAt, t.maintenance.vms = requestedAt, make(map[string]maintenance.VM, len(vms))
	for _, vm := range vms {
		t.maintenance.vms[vm.ID] = vm
	}
	for _, w := range t.maintenance.waves {
		if w.loaded && !w.completionSaved {
			t.advanceWave(w, now)
		}
	}
}

// advanceWave drains VMs and orders their maintenance as far as the wave's limit allows. It completes the wave once
// maintenance has begun on every VM that still exists.
func (t *term) advanceWave(w *wave, now time.Time) {
	pending, unavailable := t.pendingVMs(w)
	if len(pending) == 0 && len(w.orderPending) == 0 {
		t.completeWave(w)
		return
	}
	slices.SortFunc(pending, func(a, b maintenance.VM) int { return t.runCount(a) - t.runCount(b) })
	for _, vm := range pending {
		since, draining := w.draining[vm.ID]
		if !draining && (unavailable >= w.MaxUnavailable || vm.State != maintenance.Up) {
			continue
		}
		if !draining {
			unavailable++
			since = now
			w.draining[vm.ID] = now
			t.log.Info("dispatch: VM is cleared for its upkeep", zap.Int64("wave", w.Number), zap.String("vm", vm.ID), zap.Int("runs", t.runCount(vm)))
		}
		t.drainVM(w, vm, now.Sub(since))
	}
}

// pendingVMs returns the VMs of a wave whose maintenance has not begun, and counts those that are unavailable or will
// be soon.
func (t *term) pendingVMs(w *wave) (pending []maintenance.VM, unavailable int) {
	unavailable = len(w.draining) + len(w.orderPending)
	for _, id := range w.VMs {
		vm, exists := t.maintenance.vms[id]
		switch {
		case !exists:
			t.stopDraining(w, id) // it was removed from the platform
		case w.begun[id]:
			t.stopDraining(w, id)
			if vm.State != maintenance.Up || t.maintenance.listRequestedAt.Before(t.earliestReturn(w, id)) {
				unavailable++
			}
		case !w.orderPending[id]:
			pending = append(pending, vm)
		}
	}
	return pending, unavailable
}

// earliestReturn returns when a VM whose maintenance has begun is back at the earliest. A list requested before that
// may still show the VM as up, as of a time before the order was carried out.
func (t *term) earliestReturn(w *wave, id string) time.Time {
	at, known := w.answeredAt[id]
	if !known {
		at = t.startedAt
	}
	return at.Add(t.o.Waves.MaintenanceDuration)
}

// runCount returns the number of runs on a VM.
func (t *term) runCount(vm maintenance.VM) int {
	if n := t.nodes[vm.Worker]; n != nil {
		return len(n.runs)
	}
	return 0
}

// drainTimeout returns how long a VM may take to become empty if the wave is to finish in time.
func (w *wave) drainTimeout(upkeepDuration time.Duration) time.Duration {
	rounds := (len(w.VMs) + w.MaxUnavailable - 1) / w.MaxUnavailable
	return max(w.TimeLimit/time.Duration(max(rounds, 1))-upkeepDuration-maintenanceOverhead, maintenanceOverhead)
}

// drainVM drains a VM and orders its maintenance. In the first half of the timeout, runs may end by themselves. In the
// second half, runs with checkpoints are moved, and services as far as they may be unavailable. After the timeout, the
// maintenance ends all remaining runs, but it waits for services that may not be unavailable.
func (t *term) drainVM(w *wave, vm maintenance.VM, waited time.Duration) {
	n := t.nodes[vm.Worker]
	if n == nil {
		t.orderMaintenance(w, vm)
		return
	}
	n.draining = true
	timeout := w.drainTimeout(t.o.Waves.MaintenanceDuration)
	blocked := false
	for _, r := range n.runs {
		if r.stage.spec.Service && !t.canBeUnavailable(r) {
			blocked = true
			continue
		}
		if !r.stopping && waited >= timeout/2 && (r.stage.spec.Service || r.stage.spec.Checkpoints) {
			t.halt(r)
		}
	}
	if len(n.runs) == 0 || waited >= timeout && !blocked {
		t.orderMaintenance(w, vm)
	}
}

// canBeUnavailable reports whether a service task may be made unavailable: the number of other unavailable tasks of its
// step must be below the limit that the caller set.
func (t *term) canBeUnavailable(r *run) bool {
	limit := r.stage.spec.MaxUnavailable
	return limit == 0 || r.stopping || unavailableBeside(r) < limit
}

// unavailableBeside counts the other tasks of a run's step that are not available.
func unavailableBeside(r *run) int {
	unavailable := 0
	for i := range r.stage.tasks {
		if o := r.stage.tasks[i].run; i != r.index && (o == nil || o.ended || o.stopping || o.percent < readyPercent || o.node.misses > 0) {
			unavailable++
		}
	}
	return unavailable
}

// stopDraining stops the draining of a VM.
func (t *term) stopDraining(w *wave, id string) {
	delete(w.draining, id)
	if n := t.nodes[t.maintenance.vms[id].Worker]; n != nil {
		n.draining = false
	}
}

// orderMaintenance orders the maintenance of a VM. The platform may not compare fencing tokens, and this VM may have been
// suspended since its ownership was last confirmed. The store therefore confirms it first, and the order is sent only
// if that confirmation is fresh by a clock that includes suspends.
func (t *term) orderMaintenance(w *wave, vm maintenance.VM) {
	if w.orderPending[vm.ID] {
		return
	}
	w.orderPending[vm.ID] = true
	delete(w.draining, vm.ID)
	record := encode(&waveRecord{Begun: w.begun})
	waves := t.o.Waves
	t.wg.Go(func() {
		confirmStart := waves.SinceBoot()
		err := t.writeAsOwner(w.key(), record)
		if err == nil && waves.SinceBoot()-confirmStart > maxOwnershipAge {
			err = errOwnershipStale
		}
		if err == nil {
			ctx, cancel := context.WithTimeout(t.ctx, cloudTimeout)
			err = waves.Cloud.OrderMaintenance(ctx, maintenance.Order{VM: vm.ID, Wave: w.Number, Owner: waves.Self, Fence: t.tenure.Fence})
			cancel()
		}
		t.post(func() { t.onMaintenanceOrdered(w, vm, err) })
	})
}

var errOwnershipStale = errors.New("the store took too long to confirm the ownership")

// onMaintenanceOrdered processes the answer to a maintenance order.
func (t *term) onMaintenanceOrdered(w *wave, vm maintenance.VM, err error) {
	delete(w.orderPending, vm.ID)
	t.log.Info("dispatch: upkeep ordered", zap.Int64("wave", w.Number), zap.String("vm", vm.ID), zap.String("worker", vm.Worker), zap.Error(err))
	switch {
	case err == nil:
		// The runs on the VM have ended only if this order was carried out and not an earlier one; the worker's next
		// hold shows that.
		w.begun[vm.ID], w.answeredAt[vm.ID] = true, time.Now()
		t.recordWave(w)
	case errors.Is(err, maintenance.ErrFenced), errors.Is(err, errTermClosed):
		t.loseOwnership("an order for upkeep was refused", err)
	case errors.Is(err, maintenance.ErrNotInWave):
		w.VMs = slices.DeleteFunc(slices.Clone(w.VMs), func(id string) bool { return id == vm.ID })
		t.stopDraining(w, vm.ID)
	default:
		w.draining[vm.ID] = time.Now() // it may have been carried out; repeating the order shows that
	}
}

// completeWave reports to the operators that maintenance has begun on every VM of a wave that still exists.
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
