package gate

import (
	"context"

	"turmericgap/job"
)

// JobClient calls the owner of a job's home zone. An *rpc.Fault is a definite answer; after any
// other error it is unknown whether the call took effect.
type JobClient struct {
	Submit func(ctx context.Context, s *job.Submission) (*job.Status, error)
	Status func(ctx context.Context, id string) (*job.Status, error)
	Cancel func(ctx context.Context, id string) (*job.Status, error)
	// Wait returns when the job is final or ctx is done.
	Wait func(ctx context.Context, id string) (*job.Status, error)
}
