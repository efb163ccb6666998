package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/rule"
)

// refuse refuses a work that is rejected by the operators' rules. A caller may repeat a submission that was accepted
// before the rule came into force and whose answer was lost. A refusal would tell it that the work never runs, so
// only IDs that neither the owner nor the store knows are refused.
func (f *Front) refuse(ctx context.Context, w *job.Work, e *rule.Effect) error {
	refusal := rpc.Refused(time.Duration(e.RetryAfterSeconds)*time.Second, "rule %s: %s", e.Rule, e.Refuse)
	f.opts.Logger.Info("front: refused by a rule",
		zap.String("id", w.ID), zap.String("rule", e.Rule), zap.String("queue", w.Queue.Name))
	return f.refuseUnknown(ctx, w, refusal)
}

// refuseUnknown returns the refusal if neither the owner nor the store knows the work, nil if the work is already
// accepted, and an unknown outcome if neither can be established.
func (f *Front) refuseUnknown(ctx context.Context, w *job.Work, refusal error) error {
	_, err := f.Status(ctx, w.ID, w.Account)
	fault := rpc.AsFault(err)
	switch {
	case err == nil:
		return nil
	case fault == nil || fault.Code != rpc.CodeNotFound:
		return unknownOutcome(err)
	case f.unknown.contains(w.ID, time.Now()):
		return unknownOutcome(err)
	}
	return refusal
}

// Refuse returns the refusal of a submission that was not read if its ID is not known, nil if an earlier submission of it was
// accepted, and an unknown outcome if neither can be established.
func (f *Front) Refuse(ctx context.Context, id, account string, refusal error) error {
	select {
	case f.refusing <- struct{}{}:
		defer func() { <-f.refusing }()
	default:
		// The calls must not add to the load that the refusal is about.
		return unknownOutcome(refusal)
	}
	f.opts.Metrics.Counter("front.refusedUnread").Inc(1)
	return f.refuseUnknown(ctx, &job.Work{ID: id, Account: account}, refusal)
}
