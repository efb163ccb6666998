package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"turmericgap/maintenance"
	"turmericgap/workrecord"
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
	// readyPercent is the progress of a service task that is ready.
	readyPercent = 100
)

// maintenanceState is the owner's state of maintenance waves and VMs.
type maintenanceState struct {
	waves map[int64]*maintenance.Progress
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
		open = open || w.IsOpen()
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
		if w.IsOpen() {
			t.advanceWave(w, now)
		}
	}
}

// advanceWave drains VMs and orders their maintenance as far as the wave's limit allows. It completes the wave once
// maintenance has begun on every VM that still exists.
func (t *term) advanceWave(w *maintenance.Progress, now time.Time) {
	drained, released, finished := w.Advance(&maintenance.Observation{
		VMs: t.maintenance.vms, RequestedAt: t.maintenance.listRequestedAt, Runs: t.runCount,
		OwnerSince: t.startedAt, Duration: t.o.Waves.MaintenanceDuration,
	}, now)
	for _, id := range released {
		t.stopDraining(id)
	}
	for _, d := range drained {
		if d.New {
			t.log.Info("dispatch: VM is cleared for its upkeep", zap.Int64("wave", w.Number), zap.String("vm", d.VM.ID), zap.Int("runs", t.runCount(d.VM)))
		}
		t.drainVM(w, d.VM, d.For)
	}
	if finished {
		t.completeWave(w)
	}
}

// runCount returns the number of runs on a VM.
func (t *term) runCount(vm maintenance.VM) int {
	if n := t.nodes[vm.Worker]; n != nil {
		return len(n.runs)
	}
	return 0
}

// drainVM drains a VM and orders its maintenance. In the first half of the timeout, runs may end by themselves. In the
// second half, runs with checkpoints are moved, and services as far as they may be unavailable. After the timeout, the
// maintenance ends all remaining runs, but it waits for services that may not be unavailable.
func (t *term) drainVM(w *maintenance.Progress, vm maintenance.VM, waited time.Duration) {
	n := t.nodes[vm.Worker]
	if n == nil {
		t.orderMaintenance(w, vm)
		return
	}
	n.draining = true
	timeout := w.DrainTimeout(t.o.Waves.MaintenanceDuration)
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

// stopDraining lets new runs be placed on a VM again.
func (t *term) stopDraining(id string) {
	if n := t.nodes[t.maintenance.vms[id].Worker]; n != nil {
		n.draining = false
	}
}

// orderMaintenance orders the maintenance of a VM. The platform may not compare fencing tokens, and this VM may have been
// suspended since its ownership was last confirmed. The store therefore confirms it first, and the order is sent only
// if that confirmation is fresh by a clock that includes suspends.
func (t *term) orderMaintenance(w *maintenance.Progress, vm maintenance.VM) {
	if !w.BeginOrder(vm.ID) {
		return
	}
	record := workrecord.Encode(&waveRecord{Begun: w.Begun})
	waves := t.o.Waves
	t.wg.Go(func() {
		confirmStart := waves.SinceBoot()
		err := t.writeAsOwner(waveKey(w), record)
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
func (t *term) onMaintenanceOrdered(w *maintenance.Progress, vm maintenance.VM, err error) {
	t.log.Info("dispatch: upkeep ordered", zap.Int64("wave", w.Number), zap.String("vm", vm.ID), zap.String("worker", vm.Worker), zap.Error(err))
	notInWave := errors.Is(err, maintenance.ErrNotInWave)
	w.EndOrder(vm.ID, !notInWave, err == nil, time.Now())
	switch {
	case err == nil:
		// The runs on the VM have ended only if this order was carried out and not an earlier one; the worker's next
		// hold shows that.
		t.recordWave(w)
	case errors.Is(err, maintenance.ErrFenced), errors.Is(err, errTermClosed):
		t.loseOwnership("an order for upkeep was refused", err)
	case notInWave:
		t.stopDraining(vm.ID)
	default:
	}
}

// completeWave reports to the operators that maintenance has begun on every VM of a wave that still exists.
func (t *term) completeWave(w *maintenance.Progress) {
	w.Completed = true
	key, value := t.o.Waves.Status(w.Number, true)
	t.wg.Go(func() {
		err := t.writeAsOwner(key, value)
		t.post(func() {
			w.Completed = err == nil
			t.log.Info("dispatch: wave of upkeep is completed", zap.Int64("wave", w.Number), zap.Int("vms", len(w.Begun)), zap.Error(err))
		})
	})
}
