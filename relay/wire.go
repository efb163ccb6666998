package relay

import (
	"errors"
	"time"

	"turmericgap/worker"
)

// methodExchange hands a relay new orders and fetches what has come of earlier ones.
const methodExchange = "Relay.Exchange"

// order is one call to a worker; one of Launch, Halt and Hold is set.
type order struct {
	Number uint64 `msgpack:"n"`
	// Worker and Address name the lifetime of the worker.
	Worker  string `msgpack:"w"`
	Address string `msgpack:"a"`
	// Within is how long the call may take.
	Within time.Duration  `msgpack:"t"`
	Launch *worker.Launch `msgpack:"l,omitempty"`
	Halt   *worker.Halt   `msgpack:"s,omitempty"`
	Hold   *worker.Hold   `msgpack:"h,omitempty"`
}

// result is what came of an order.
type result struct {
	Number uint64        `msgpack:"n"`
	Clock  time.Duration `msgpack:"c,omitempty"`
	Held   *worker.Held  `msgpack:"h,omitempty"`
	Ended  ending        `msgpack:"e,omitempty"`
	// Reason is the worker's with endedRefused, Text that of the log with endedOpen.
	Reason worker.Reason `msgpack:"r,omitempty"`
	Text   string        `msgpack:"x,omitempty"`
}

// ending is how a call ended, if not well.
type ending string

const (
	endedReplaced ending = "replaced"
	endedUnwell   ending = "unwell"
	endedRefused  ending = "refused"
	endedNotSent  ending = "notSent"
	endedOpen     ending = "open"
)

// endingOf tells how a call ended.
func endingOf(err error) (e ending, reason worker.Reason, text string) {
	var refused *worker.Refusal
	switch {
	case err == nil:
		return "", "", ""
	case errors.As(err, &refused):
		return endedRefused, refused.Reason, ""
	case errors.Is(err, worker.ErrReplaced):
		return endedReplaced, "", ""
	case errors.Is(err, worker.ErrUnwell):
		return endedUnwell, "", ""
	case errors.Is(err, worker.ErrNotSent):
		return endedNotSent, "", err.Error()
	}
	return endedOpen, "", err.Error()
}

// err is what the call to the worker has returned.
func (r *result) err() error {
	switch r.Ended {
	case "":
		return nil
	case endedRefused:
		return &worker.Refusal{Reason: r.Reason}
	case endedReplaced:
		return worker.ErrReplaced
	case endedUnwell:
		return worker.ErrUnwell
	case endedNotSent:
		return errors.Join(worker.ErrNotSent, errors.New(r.Text))
	default:
		return errors.New(r.Text)
	}
}

// exchangeRequest carries new orders; Link tells apart the owners, and the links of one.
type exchangeRequest struct {
	Link   uint64  `msgpack:"l"`
	Orders []order `msgpack:"o"`
}

// exchangeReply carries results. Process differs after a restart, which forgets all orders.
type exchangeReply struct {
	Process uint64   `msgpack:"p"`
	Results []result `msgpack:"r"`
}
