package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against checks that are queued after the request of a roster. Such requests must go only to the first half of
// the VMs, even if only VMs of the other half are idle.
func TestPickSeparatesLongRequests(t *testing.T) {
	is := is.New(t)
	s, now := NewVMSelector(), time.Now()
	vms := []string{"vm1", "vm2", "vm3", "vm4"}
	for range 2 {
		vm, _, ok := s.Pick(vms, time.Second, now)
		is.True(ok)
		is.True(vm == "vm1" || vm == "vm2")
	}
	_, _, ok := s.Pick(vms, time.Second, now)
	is.True(!ok)
	for range 4 {
		vm, until, _ := s.Pick(vms, 20*time.Millisecond, now)
		is.True(vm == "vm3" || vm == "vm4")
		is.True(until.Sub(now) <= 40*time.Millisecond)
	}
}

// A VM that is cut off looks idle. It must get no requests after one without a response, for longer after each
// further one, and must be tried again in the end.
func TestSilentVMRests(t *testing.T) {
	is := is.New(t)
	s, now := NewVMSelector(), time.Now()
	vms := []string{"vm1", "vm2"}
	s.RecordFailure("vm2", now)
	for range 20 {
		vm, _, _ := s.Pick(vms, 10*time.Millisecond, now)
		is.Equal(vm, "vm1")
	}
	now = now.Add(backoffMin + time.Millisecond)
	vm, _, _ := s.Pick(vms, 10*time.Millisecond, now)
	is.Equal(vm, "vm2")
	s.RecordFailure("vm2", now)
	vm, _, _ = s.Pick(vms, 10*time.Millisecond, now.Add(backoffMin+time.Millisecond))
	is.Equal(vm, "vm1")
}

func TestPickWithoutVMs(t *testing.T) {
	_, _, ok := NewVMSelector().Pick(nil, time.Second, time.Now())
	is.New(t).True(!ok)
}

// After a takeover a hundred batches make requests at once. Those that no VM is free for must stay with the owner, so
// that a later check waits only for other checks.
func TestFloodOfBatches(t *testing.T) {
	is := is.New(t)
	s, now := NewVMSelector(), time.Now()
	vms := []string{"vm1", "vm2", "vm3", "vm4", "vm5", "vm6", "vm7", "vm8"}
	sent := 0
	for range 100 {
		if s.CanPick(vms, 140*time.Millisecond, now) {
			_, _, ok := s.Pick(vms, 140*time.Millisecond, now)
			is.True(ok)
			sent++
		}
	}
	is.Equal(sent, 6)
	for range 10 {
		_, until, ok := s.Pick(vms, 20*time.Millisecond, now)
		is.True(ok)
		is.True(until.Sub(now) <= 100*time.Millisecond)
	}
	later := now.Add(130 * time.Millisecond)
	vm, _, ok := s.Pick(vms, 140*time.Millisecond, later)
	is.True(ok)
	is.True(vm <= "vm6")
}
