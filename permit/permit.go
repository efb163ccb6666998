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

// Request asks which of the workers may run a step of an occurrence of a work.
type Request struct {
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

// Response lists the workers that may run the step; those that were named and are not in it may not.
type Response struct {
	Grants []Grant `msgpack:"g"`
	// TicketTTL is how long the tickets may be used from when they were made.
	TicketTTL time.Duration `msgpack:"v"`
}

// AskFunc puts a question to the service.
type AskFunc func(ctx context.Context, q *Request) (*Response, error)
