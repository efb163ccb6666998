package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Checks must not wait behind the question of a roster, also when the rosters' VMs are all idle.
func TestPickKeepsLongQuestionsApart(t *testing.T) {
	is := is.New(t)
	d, now := NewVMSelector(), time.Now()
	vms := []string{"vm1", "vm2", "vm3", "vm4"}
	for range 2 {
		vm, _, ok := d.Pick(vms, time.Second, now)
		is.True(ok)
		is.True(vm == "vm1" || vm == "vm2")
	}
	_, _, ok := d.Pick(vms, time.Second, now)
	is.True(!ok)
	for range 4 {
		vm, until, _ := d.Pick(vms, 20*time.Millisecond, now)
		is.True(vm == "vm3" || vm == "vm4")
		is.True(until.Sub(now) <= 40*time.Millisecond)
	}
}

// A VM that is cut off looks idle. After its first silence it is left alone, longer after each further
// one, and is asked again in the end.
func TestSilentVMRests(t *testing.T) {
	is := is.New(t)
	d, now := NewVMSelector(), time.Now()
	vms := []string{"vm1", "vm2"}
	d.RecordFailure("vm2", now)
	for range 20 {
		vm, _, _ := d.Pick(vms, 10*time.Millisecond, now)
		is.Equal(vm, "vm1")
	}
	now = now.Add(restAfter + time.Millisecond)
	vm, _, _ := d.Pick(vms, 10*time.Millisecond, now)
	is.Equal(vm, "vm2")
	d.RecordFailure("vm2", now)
	vm, _, _ = d.Pick(vms, 10*time.Millisecond, now.Add(restAfter+time.Millisecond))
	is.Equal(vm, "vm1")
}

func TestPickWithoutVMs(t *testing.T) {
	_, _, ok := NewVMSelector().Pick(nil, time.Second, time.Now())
	is.New(t).True(!ok)
}

// After a take-over a hundred batches ask at once. Those that no VM is free for are not handed over, so
// that a check that comes then waits for no more than its own kind.
func TestFloodOfBatches(t *testing.T) {
	is := is.New(t)
	d, now := NewVMSelector(), time.Now()
	vms := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}
	handed := 0
	for range 100 {
		if d.CanPick(vms, 140*time.Millisecond, now) {
			_, _, ok := d.Pick(vms, 140*time.Millisecond, now)
			is.True(ok)
			handed++
		}
	}
	is.Equal(handed, 6)
	for range 10 {
		_, until, ok := d.Pick(vms, 20*time.Millisecond, now)
		is.True(ok)
		is.True(until.Sub(now) <= 100*time.Millisecond)
	}
	later := now.Add(130 * time.Millisecond)
	vm, _, ok := d.Pick(vms, 140*time.Millisecond, later)
	is.True(ok)
	is.True(vm <= "vm6")
}
