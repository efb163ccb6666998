package permit

import (
	"context"
	"errors"
	"time"
)

// MaxWorkers is the maximum number of workers in one request.
const MaxWorkers = 100

// ErrBusy is returned if the service rejects a request because too many are waiting.
var ErrBusy = errors.New("policy service is busy")

// Request asks which of the workers may run a step of an occurrence of a work.
type Request struct {
	Work       string   `msgpack:"i"`
	Occurrence int      `msgpack:"o"`
	Step       int      `msgpack:"s"`
	Workers    []string `msgpack:"w"`
}

// Grant permits one worker to run the step for a limited time.
type Grant struct {
	Worker string `msgpack:"w"`
	Ticket string `msgpack:"t"`
}

// Response lists the workers that may run the step. Requested workers that it does not list may not.
type Response struct {
	Grants []Grant `msgpack:"g"`
	// TicketTTL is how long the tickets are valid from their creation.
	TicketTTL time.Duration `msgpack:"v"`
}

// RequestFunc sends a request to the service.
type RequestFunc func(ctx context.Context, req *Request) (*Response, error)
