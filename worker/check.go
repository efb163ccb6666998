package worker

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// ErrTruncated means that an answer is incomplete. The caller requests it again and never passes it on.
var ErrTruncated = errors.New("worker answer truncated")

// Check returns ErrTruncated if the report has an incomplete answer.
func (r *Report) Check() error {
	if r.Answer != nil && !r.Answer.IsIntact() {
		return fmt.Errorf("attempt %s: %w", r.Attempt, ErrTruncated)
	}
	return nil
}

// MaxTruncatedReplies is how many consecutive replies with a truncated answer are rejected.
const MaxTruncatedReplies = 3

// TruncatedReplies counts a client's consecutive replies that contain a truncated answer.
type TruncatedReplies struct{ consecutive atomic.Int32 }

// Check returns ErrTruncated if an answer in the reply is incomplete. The caller must then keep its previous
// cursor, so that the next heartbeat asks for the same changes again.
//
// If a worker truncates the same answer every time, rejecting all its replies would withhold the
// reports of its other attempts while each heartbeat still renews their leases. After
// MaxTruncatedReplies the reply is therefore accepted as it is. The owner checks each answer again, so
// only the attempt with the truncated answer is affected.
func (c *TruncatedReplies) Check(h *HeartbeatReply) error {
	for i := range h.Reports {
		err := h.Reports[i].Check()
		if err != nil && c.consecutive.Add(1) <= MaxTruncatedReplies {
			return err
		}
		if err != nil {
			break
		}
	}
	c.consecutive.Store(0)
	return nil
}
