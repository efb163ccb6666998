package floor

import (
	"fmt"
	"time"

	"turmericgap/worker"
)

// checkpointKey identifies a checkpoint. Members of a gang share their checkpoints, under index 0.
type checkpointKey struct {
	task  worker.Task
	value string
}

func (r *activeRun) checkpointKey(value string) checkpointKey {
	task := r.key.task
	if r.behaviour.GangSize > 0 {
		task.Index = 0
	}
	return checkpointKey{task, value}
}

// progress returns how much of its run time a run has behind it.
func (r *activeRun) progress() time.Duration {
	if !r.started {
		return r.resumed
	}
	return min(r.resumed+time.Since(r.record.Started), r.behaviour.Duration)
}

// resume makes a new run go on from a checkpoint, and records a violation if its task has not saved it.
func (c *Cluster) resume(r *activeRun, checkpoint string) {
	if checkpoint == "" {
		return
	}
	saved, known := c.checkpoints[r.checkpointKey(checkpoint)]
	if !known {
		c.violations = append(c.violations, "a checkpoint that is not the task's: "+checkpoint+" for "+r.record.describe())
	}
	r.checkpoint, r.resumed = checkpoint, min(saved, r.behaviour.Duration)
}

// saveProgress saves the latest checkpoint of a run.
func (c *Cluster) saveProgress(r *activeRun) {
	interval := r.behaviour.CheckpointInterval
	if interval <= 0 || r.progress() < r.resumed+interval {
		return
	}
	saved := r.progress().Truncate(interval)
	r.checkpoint = fmt.Sprintf("%s/%d/%d/%d after %v", r.key.task.Work, r.key.task.Occurrence, r.key.task.Step, r.checkpointKey("").task.Index, saved)
	c.checkpoints[r.checkpointKey(r.checkpoint)] = saved
}
