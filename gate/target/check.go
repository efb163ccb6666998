package target

import (
	"errors"
	"fmt"
)

// Errors of a response that must not be used; the request may have run.
var (
	// ErrTruncated means that the answer is incomplete.
	ErrTruncated = errors.New("target answer truncated")
	// ErrMismatch means that the answer belongs to another request.
	ErrMismatch = errors.New("target answer belongs to another request")
)

// Check returns an error unless the response is the complete answer to the request with that ID.
func (r *Response) Check(id string) error {
	switch {
	case r.ID != id:
		return fmt.Errorf("request %s, answer %s: %w", id, r.ID, ErrMismatch)
	case !r.Busy && !r.Answer.IsIntact():
		return fmt.Errorf("request %s: %w", id, ErrTruncated)
	}
	return nil
}
