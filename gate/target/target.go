package target

import (
	"context"
	"errors"

	"turmericgap/job"
)

// Errors of requests that certainly did not run. After any other error a request may have run.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("target call not sent")
	// ErrRefused means that the target replied that it did not run the request.
	ErrRefused = errors.New("target refused")
)

// Info describes a target in the VM list.
type Info struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Service is the service that the target runs, such as "course-desk".
	Service string `json:"service"`
	// Slots limits the requests that the target runs concurrently; Connections limits its open
	// connections.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Leaving reports that the target keeps its sessions but must not get new requests or sessions.
	Leaving bool `json:"leaving,omitempty"`
}

// Request is one check, or one request of a session.
type Request struct {
	// ID is unique for each attempt and identifies its response.
	ID string `json:"id"`
	// Key is the caller's idempotency key. A target that receives a key again repeats its first
	// answer.
	Key     string `json:"key,omitempty"`
	Session string `json:"session,omitempty"`
	Method  string `json:"method"`
	Body    []byte `json:"body,omitempty"`
	// LeftMillis is the time until the caller's deadline.
	LeftMillis int64  `json:"leftMillis"`
	Parent     string `json:"parent,omitempty"`
}

// Response is the response to the Request with the same ID.
type Response struct {
	ID     string     `json:"id"`
	Answer job.Answer `json:"answer"`
	// Busy reports that the target did not run the request because it had no free slot.
	Busy bool `json:"busy,omitempty"`
	// Leaving reports that the target accepts no new requests or sessions from now on.
	Leaving bool `json:"leaving,omitempty"`
}

// Client calls one target.
type Client struct {
	Do func(ctx context.Context, r *Request) (*Response, error)
}

// Dial creates the client of a target, which opens at most the given number of connections.
type Dial func(info Info, connections int) *Client
