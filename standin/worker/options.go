package worker

import (
	"time"

	"turmericgap/history"
	"turmericgap/job"
	"turmericgap/worker"
)

// Options configure a Worker.
type Options struct {
	Info worker.Info
	// RunTime is the run time of tasks whose start does not set one and whose class is not in ClassRunTimes.
	RunTime time.Duration
	// ClassRunTimes holds actual run times by class; they override those of the starts.
	ClassRunTimes map[string]time.Duration
	// Usage returns the actual usage of a task.
	Usage func(*worker.Start) job.Resources
	// Answer returns the body of a task's answer.
	Answer func(s *worker.Start, exit int) []byte
	// UsageLag is the delay of the usage report after a start.
	UsageLag time.Duration
	// RejectInvalid rejects calls with an older epoch and starts that exceed the capacity.
	RejectInvalid bool
	// TaskOf returns the task of an attempt; two concurrent attempts of a task are a violation.
	TaskOf func(attempt string) string
	// Record receives all events; it is called with the worker's lock held.
	Record func(history.Event)
}

// Option configures a Worker.
type Option func(*Options)

// RunTime sets the run time of tasks whose start does not set one.
func RunTime(d time.Duration) Option { return func(o *Options) { o.RunTime = d } }

// ClassRunTime sets the actual run time of a class.
func ClassRunTime(class string, d time.Duration) Option {
	return func(o *Options) {
		if o.ClassRunTimes == nil {
			o.ClassRunTimes = make(map[string]time.Duration)
		}
		o.ClassRunTimes[class] = d
	}
}

// Usage sets the function that returns the actual usage of a task.
func Usage(f func(*worker.Start) job.Resources) Option { return func(o *Options) { o.Usage = f } }

// Answer sets the function that returns the body of a task's answer.
func Answer(f func(s *worker.Start, exit int) []byte) Option {
	return func(o *Options) { o.Answer = f }
}

// UsageLag sets the delay of the usage report after a start.
func UsageLag(d time.Duration) Option { return func(o *Options) { o.UsageLag = d } }

// RejectInvalid makes the worker reject calls with an older epoch and starts that exceed its capacity.
func RejectInvalid() Option { return func(o *Options) { o.RejectInvalid = true } }

// TaskOf sets the function that returns the task of an attempt.
func TaskOf(f func(attempt string) string) Option { return func(o *Options) { o.TaskOf = f } }

// Record sets the function that receives all events.
func Record(f func(history.Event)) Option { return func(o *Options) { o.Record = f } }
