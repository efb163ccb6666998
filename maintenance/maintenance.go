package maintenance

import (
	"context"
	"errors"
	"time"
)

// State is what a VM does.
type State string

// The states of a VM.
const (
	Up     State = "up"
	Moving State = "moving"
	Upkeep State = "upkeep"
	Down   State = "down"
)

// VM is a VM under a worker.
type VM struct {
	ID, Pool string
	State    State
	// Worker is the ID of its present worker, empty while there is none.
	Worker string
}

// Wave asks that each of some VMs has its upkeep in time.
type Wave struct {
	Number int64
	VMs    []string
	// TimeLimit is how long the wave may take, Most how many of its VMs may be away at once.
	TimeLimit      time.Duration
	MaxUnavailable int
}

// UpkeepOrder is an order for the upkeep of one VM. Everything that runs there ends at once.
type UpkeepOrder struct {
	VM   string
	Wave int64
	// Holder and Fence name the owner of the cell and its tenure.
	Holder string
	Fence  int64
}

// What the platform may answer to an order. After any other error it may have been carried out.
var (
	// ErrBusy means that the VM is not up or is leaving; nothing was done.
	ErrBusy = errors.New("the VM is busy")
	// ErrFenced means that a later owner has given an order for the VM.
	ErrFenced = errors.New("a later owner has given an order for the VM")
	// ErrNotInWave means that the VM does not belong to the wave, or is not there.
	ErrNotInWave = errors.New("the VM is not of that wave")
	// ErrDeclined means that the platform takes no more calls just now; nothing was done.
	ErrDeclined = errors.New("the platform declines calls")
)

// Cloud calls the platform's service for VMs.
type Cloud struct {
	// List gives all VMs.
	List func(ctx context.Context) ([]VM, error)
	// Upkeep orders the upkeep of a VM; it succeeds as well where that was done before.
	Upkeep func(ctx context.Context, o UpkeepOrder) error
}
