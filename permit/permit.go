package permit

import (
	"context"
	"errors"
	"time"
)

// MaxWorkers is how many workers one question may name.
const MaxWorkers = 100

// ErrBusy means that the service declined the question because too many wait.
var ErrBusy = errors.New("policy service is busy")

// Question asks which of the workers may run a step of an occurrence of a work.
type Question struct {
	Work       string   `msgpack:"i"`
	Occurrence int      `msgpack:"o"`
	Step       int      `msgpack:"s"`
	Workers    []string `msgpack:"w"`
}

// Grant lets one worker run the step for a while.
type Grant struct {
	Worker string `msgpack:"w"`
	Ticket string `msgpack:"t"`
}

// Answer lists the workers that may run the step; those that were named and are not in it may not.
type Answer struct {
	Grants []Grant `msgpack:"g"`
	// Valid is how long the tickets may be used from when they were made.
	Valid time.Duration `msgpack:"v"`
}

// Ask puts a question to the service.
type Ask func(ctx context.Context, q *Question) (*Answer, error)
