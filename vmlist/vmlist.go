package vmlist

import (
	"context"

	"turmericgap/gate/target"
	"turmericgap/worker"
)

// EntryVM is a VM that runs processes of the scheduler itself.
type EntryVM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Leaving is set when the VM is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// List is a snapshot of the list. Its slices are shared and must not be modified.
type List struct {
	// Version increases with each change of the list.
	Version int64         `json:"version"`
	Workers []worker.Info `json:"workers"`
	Targets []target.Info `json:"targets"`
	Entries []EntryVM     `json:"entries"`
}

// Source reads the list as the platform shows it, with some delay.
type Source struct {
	Read func(ctx context.Context) (List, error)
}
