package vmlist

import (
	"context"

	"turmericgap/gate/target"
	"turmericgap/worker"
)

// EntryVM is an entry VM, on which processes of the system run.
type EntryVM struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Leaving says that the VM will stop.
	Leaving bool `json:"leaving,omitempty"`
}

// List is one reading; its slices are shared and must not be changed.
type List struct {
	// Version grows with each change of the list.
	Version int64         `json:"version"`
	Workers []worker.Info `json:"workers"`
	Targets []target.Info `json:"targets"`
	Entries []EntryVM     `json:"entries"`
}

// Source gives the list as the platform shows it, some time late.
type Source struct {
	Read func(ctx context.Context) (List, error)
}
