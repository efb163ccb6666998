package relay

import (
	"errors"
	"time"

	"turmericgap/worker"
)

// methodExchange sends new orders to a relay and fetches the results of earlier ones.
const methodExchange = "Relay.Exchange"

// order is one call to a worker; exactly one of Launch, Halt and Hold is set.
type order struct {
	Number uint64 `msgpack:"n"`
	// Worker and Address identify the worker instance.
	Worker  string `msgpack:"w"`
	Address string `msgpack:"a"`
	// Timeout bounds the duration of the call.
	Timeout time.Duration  `msgpack:"t"`
	Launch  *worker.Launch `msgpack:"l,omitempty"`
	Halt    *worker.Halt   `msgpack:"s,omitempty"`
	Hold    *worker.Hold   `msgpack:"h,omitempty"`
}

// result is the result of an order.
type result struct {
	Number  uint64            `msgpack:"n"`
	Clock   time.Duration     `msgpack:"c,omitempty"`
	Held    *worker.HoldReply `msgpack:"h,omitempty"`
	Outcome outcome           `msgpack:"e,omitempty"`
	// Reason is the worker's reason with outcomeRefused. Text is the error text with outcomeUnknown and outcomeNotSent.
	Reason worker.RefusalReason `msgpack:"r,omitempty"`
	Text   string               `msgpack:"x,omitempty"`
}

// outcome classifies a failed call; it is empty for a successful one.
type outcome string

const (
	outcomeReplaced  outcome = "replaced"
	outcomeUnhealthy outcome = "unwell"
	outcomeRefused   outcome = "refused"
	outcomeNotSent   outcome = "notSent"
	outcomeUnknown   outcome = "open"
)

// outcomeOf classifies the error of a call.
func outcomeOf(err error) (e outcome, reason worker.RefusalReason, text string) {
	var refused *worker.Refusal
	switch {
	case err == nil:
		return "", "", ""
	case errors.As(err, &refused):
		return outcomeRefused, refused.Reason, ""
	case errors.Is(err, worker.ErrReplaced):
		return outcomeReplaced, "", ""
	case errors.Is(err, worker.ErrUnhealthy):
		return outcomeUnhealthy, "", ""
	case errors.Is(err, worker.ErrNotSent):
		return outcomeNotSent, "", err.Error()
	}
	return outcomeUnknown, "", err.Error()
}

// toError restores the error that the call to the worker returned.
func (r *result) toError() error {
	switch r.Outcome {
	case "":
		return nil
	case outcomeRefused:
		return &worker.Refusal{Reason: r.Reason}
	case outcomeReplaced:
		return worker.ErrReplaced
	case outcomeUnhealthy:
		return worker.ErrUnhealthy
	case outcomeNotSent:
		return errors.Join(worker.ErrNotSent, errors.New(r.Text))
	default:
		return errors.New(r.Text)
	}
}

// exchangeRequest carries new orders. Link is unique for each link of each owner.
type exchangeRequest struct {
	Link   uint64  `msgpack:"l"`
	Orders []order `msgpack:"o"`
}

// exchangeReply carries results. ProcessID changes when the relay restarts, which loses all orders.
type exchangeReply struct {
	ProcessID uint64   `msgpack:"p"`
	Results   []result `msgpack:"r"`
}
