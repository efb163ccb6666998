package maintenance

import (
	"context"
	"errors"
	"time"
)

// State is the state of a VM.
type State string

// The states of a VM.
const (
	Up            State = "up"
	Moving        State = "moving"
	InMaintenance State = "upkeep"
	Down          State = "down"
)

// VM is a VM that runs a worker.
type VM struct {
	ID, Pool string
	State    State
	// Worker is the ID of the VM's current worker; it is empty if there is none.
	Worker string
}

// Wave is a request for the maintenance of a set of VMs within a time limit.
type Wave struct {
	Number int64
	VMs    []string
	// TimeLimit is how long the wave may take, and MaxUnavailable how many of its VMs may be down at once.
	TimeLimit      time.Duration
	MaxUnavailable int
}

// Order orders the maintenance of one VM, which immediately ends everything that runs on it.
type Order struct {
	VM   string
	Wave int64
	// Owner is the owner of the cell, and Fence the fencing token of its tenure.
	Owner string
	Fence int64
}

// Errors of the platform's response to an order. After any other error the order may have been executed.
var (
	// ErrBusy means that the VM is not up or is leaving; nothing was done.
	ErrBusy = errors.New("the VM is busy")
	// ErrFenced means that a later owner has already given an order for the VM.
	ErrFenced = errors.New("a later owner has given an order for the VM")
	// ErrNotInWave means that the VM does not belong to the wave or does not exist.
	ErrNotInWave = errors.New("the VM is not in that wave")
	// ErrDeclined means that the platform currently accepts no calls; nothing was done.
	ErrDeclined = errors.New("the platform declines calls")
)

// Cloud calls the platform's service for VMs.
type Cloud struct {
	// List returns all VMs.
	List func(ctx context.Context) ([]VM, error)
	// OrderMaintenance orders the maintenance of a VM. It also succeeds if the same order was executed before.
	OrderMaintenance func(ctx context.Context, o Order) error
}
