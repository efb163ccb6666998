package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Checks must not wait behind the question of a roster, also when the rosters' VMs are all idle.
func TestPickKeepsLongQuestionsApart(t *testing.T) {
	is := is.New(t)
	d, now := NewDesk(), time.Now()
	vms := []string{"vm1", "vm2", "vm3", "vm4"}
	for range 4 {
		vm, _, ok := d.Pick(vms, time.Second, now)
		is.True(ok)
		is.True(vm == "vm1" || vm == "vm2")
	}
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
	d, now := NewDesk(), time.Now()
	vms := []string{"vm1", "vm2"}
	d.Failed("vm2", now)
	for range 20 {
		vm, _, _ := d.Pick(vms, 10*time.Millisecond, now)
		is.Equal(vm, "vm1")
	}
	now = now.Add(restAfter + time.Millisecond)
	vm, _, _ := d.Pick(vms, 10*time.Millisecond, now)
	is.Equal(vm, "vm2")
	d.Failed("vm2", now)
	vm, _, _ = d.Pick(vms, 10*time.Millisecond, now.Add(restAfter+time.Millisecond))
	is.Equal(vm, "vm1")
}

func TestPickWithoutVMs(t *testing.T) {
	_, _, ok := NewDesk().Pick(nil, time.Second, time.Now())
	is.New(t).True(!ok)
}
