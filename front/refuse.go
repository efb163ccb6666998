package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/rpc"
	"turmericgap/rule"
)

// refuse turns away a work that the operators' rules do not want. A caller whose first try was accepted and
// lost its answer repeats it, and the rule may be newer than that: told "refused", it would believe that the
// work never runs. So the refusal is said only of an ID that neither the owner nor the store knows.
func (f *Front) refuse(ctx context.Context, w *job.Work, e *rule.Effect) error {
	refusal := rpc.Refused(time.Duration(e.RetryAfterSeconds)*time.Second, "rule %s: %s", e.Rule, e.Refuse)
	f.o.Logger.Info("front: refused by a rule", zap.String("id", w.ID), zap.String("rule", e.Rule), zap.String("queue", w.Queue.Name))
	return f.refuseUnknown(ctx, w, refusal)
}

// refuseUnknown gives a refusal of a work that neither the owner nor the store knows, success for one that is
// accepted already, and an open outcome where that cannot be told.
func (f *Front) refuseUnknown(ctx context.Context, w *job.Work, refusal error) error {
	_, err := f.Status(ctx, w.ID)
	fault := rpc.AsFault(err)
	switch {
	case err == nil:
		return nil
	case fault == nil || fault.Code != rpc.CodeNotFound:
		return openOutcome(err)
	case f.open.has(w.ID, time.Now()):
		return openOutcome(err)
	}
	return refusal
}
