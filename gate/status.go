package gate

import (
	"context"

	"turmericgap/job"
)

// JobClient reaches the owner of a job's home zone. A *rpc.Fault is a definite answer; any other error
// leaves open whether the call took effect.
type JobClient struct {
	Submit func(ctx context.Context, s *job.Submission) (*job.Status, error)
	Status func(ctx context.Context, id string) (*job.Status, error)
	Cancel func(ctx context.Context, id string) (*job.Status, error)
	// Wait returns when the job is final or ctx ends.
	Wait func(ctx context.Context, id string) (*job.Status, error)
}
