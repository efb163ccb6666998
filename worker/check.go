package worker

import (
	"errors"
	"fmt"
)

// ErrTruncated means that an answer is not whole: it is asked for again, never shown.
var ErrTruncated = errors.New("worker answer truncated")

// Check gives ErrTruncated unless the report's answer is whole.
func (r *Report) Check() error {
	if r.Answer != nil && !r.Answer.Whole() {
		return fmt.Errorf("attempt %s: %w", r.Attempt, ErrTruncated)
	}
	return nil
}

// Check gives ErrTruncated unless all answers are whole. The cursor of a reply that is not whole
// must not be kept, so that the next heartbeat asks for the same changes.
func (h *HeartbeatReply) Check() error {
	for i := range h.Reports {
		if err := h.Reports[i].Check(); err != nil {
			return err
		}
	}
	return nil
}
