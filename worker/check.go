package worker

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// ErrTruncated means that an answer is not whole: it is asked for again, never shown.
var ErrTruncated = errors.New("worker answer truncated")

// Check gives ErrTruncated unless the report's answer is whole.
func (r *Report) Check() error {
	if r.Answer != nil && !r.Answer.IsIntact() {
		return fmt.Errorf("attempt %s: %w", r.Attempt, ErrTruncated)
	}
	return nil
}

// MaxTruncatedReplies is how many replies in a row with a cut answer are turned into errors.
const MaxTruncatedReplies = 3

// TruncatedReplies counts a client's replies in a row that hold a cut answer.
type TruncatedReplies struct{ inRow atomic.Int32 }

// Check gives ErrTruncated unless all answers are whole. The cursor of such a reply must not be kept,
// so that the next heartbeat asks for the same changes.
//
// Failure: a worker cuts one answer for ever. Symptom: no report of that worker ever arrives, while
// each heartbeat renews its leases. After MaxCutReplies the reply is let through with the answer as it
// is, and its owner, who checks each answer, settles that attempt alone.
func (c *TruncatedReplies) Check(h *HeartbeatReply) error {
	for i := range h.Reports {
		err := h.Reports[i].Check()
		if err != nil && c.inRow.Add(1) <= MaxTruncatedReplies {
			return err
		}
		if err != nil {
			break
		}
	}
	c.inRow.Store(0)
	return nil
}
