package target

import (
	"context"
	"errors"

	"turmericgap/job"
)

// Errors whose meaning is definite; any other leaves open whether the request ran.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("target call not sent")
	// ErrRefused means that the target answered that it did not run the request.
	ErrRefused = errors.New("target refused")
)

// Info describes a target in the VM list.
type Info struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Service is the service that the target runs, such as "course-desk".
	Service string `json:"service"`
	// Slots is how many requests it works on at once, Connections how many it holds open.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Leaving says that it keeps its sessions and gets nothing new.
	Leaving bool `json:"leaving,omitempty"`
}

// Request is one check, or one request of a session.
type Request struct {
	// ID is unique for each attempt; an answer is matched by it.
	ID string `json:"id"`
	// Key is the caller's idempotency key; a target that sees it again gives its first answer.
	Key     string `json:"key,omitempty"`
	Session string `json:"session,omitempty"`
	Method  string `json:"method"`
	Body    []byte `json:"body,omitempty"`
	// LeftMillis is the time until the caller's deadline.
	LeftMillis int64  `json:"leftMillis"`
	Parent     string `json:"parent,omitempty"`
}

// Response answers the Request with the same ID.
type Response struct {
	ID     string     `json:"id"`
	Answer job.Answer `json:"answer"`
	// Busy says that the target did not run the request for want of a slot.
	Busy bool `json:"busy,omitempty"`
	// Leaving says that the target takes nothing new from now on.
	Leaving bool `json:"leaving,omitempty"`
}

// Client calls one target.
type Client struct {
	Do func(ctx context.Context, r *Request) (*Response, error)
}

// Dial makes the client of a target that opens at most connections connections.
type Dial func(info Info, connections int) *Client
