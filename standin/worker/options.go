package worker

import (
	"time"

	"turmericgap/history"
	"turmericgap/job"
	"turmericgap/worker"
)

// Options are what a Worker is made of.
type Options struct {
	Info worker.Info
	// RunTime is how long a task runs whose start does not say and whose class is not in Classes.
	RunTime time.Duration
	// ClassRunTimes tells the true run times of classes, whatever their starts say.
	ClassRunTimes map[string]time.Duration
	// Usage tells what a task truly uses.
	Usage func(*worker.Start) job.Resources
	// Answer makes the body of a task's answer.
	Answer func(s *worker.Start, exit int) []byte
	// UsageLag is how late usage is reported.
	UsageLag time.Duration
	// RejectInvalid refuses starts of older epochs and starts that do not fit.
	RejectInvalid bool
	// TaskOf gives the task of an attempt; two attempts of one task at a time are a violation.
	TaskOf func(attempt string) string
	// Record hears what happens, under the worker's lock.
	Record func(history.Event)
}

// Option sets up a Worker.
type Option func(*Options)

// RunTime sets how long a task runs that does not say.
func RunTime(d time.Duration) Option { return func(o *Options) { o.RunTime = d } }

// ClassRunTime sets the true run time of a class.
func ClassRunTime(class string, d time.Duration) Option {
	return func(o *Options) {
		if o.ClassRunTimes == nil {
			o.ClassRunTimes = make(map[string]time.Duration)
		}
		o.ClassRunTimes[class] = d
	}
}

// Usage sets what a task truly uses.
func Usage(f func(*worker.Start) job.Resources) Option { return func(o *Options) { o.Usage = f } }

// Answer sets the body of a task's answer.
func Answer(f func(s *worker.Start, exit int) []byte) Option {
	return func(o *Options) { o.Answer = f }
}

// UsageLag sets how late usage is reported.
func UsageLag(d time.Duration) Option { return func(o *Options) { o.UsageLag = d } }

// RejectInvalid refuses starts of older epochs and starts that do not fit.
func RejectInvalid() Option { return func(o *Options) { o.RejectInvalid = true } }

// TaskOf sets how the task of an attempt is found.
func TaskOf(f func(attempt string) string) Option { return func(o *Options) { o.TaskOf = f } }

// Record sets who hears what happens.
func Record(f func(history.Event)) Option { return func(o *Options) { o.Record = f } }
