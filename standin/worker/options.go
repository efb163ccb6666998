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
	// Run is how long a task runs whose start does not say and whose class is not in Classes.
	Run time.Duration
	// Classes tells the true run times of classes, whatever their starts say.
	Classes map[string]time.Duration
	// Use tells what a task truly uses.
	Use func(*worker.Start) job.Resources
	// Answer makes the body of a task's answer.
	Answer func(s *worker.Start, exit int) []byte
	// UsageLag is how late usage is reported.
	UsageLag time.Duration
	// Guards refuses starts of older epochs and starts that do not fit.
	Guards bool
	// Task gives the task of an attempt; two attempts of one task at a time are a violation.
	Task func(attempt string) string
	// Record hears what happens, under the worker's lock.
	Record func(history.Event)
}

// Option sets up a Worker.
type Option func(*Options)

// Run sets how long a task runs that does not say.
func Run(d time.Duration) Option { return func(o *Options) { o.Run = d } }

// Class sets the true run time of a class.
func Class(class string, d time.Duration) Option {
	return func(o *Options) {
		if o.Classes == nil {
			o.Classes = make(map[string]time.Duration)
		}
		o.Classes[class] = d
	}
}

// Use sets what a task truly uses.
func Use(f func(*worker.Start) job.Resources) Option { return func(o *Options) { o.Use = f } }

// Answer sets the body of a task's answer.
func Answer(f func(s *worker.Start, exit int) []byte) Option {
	return func(o *Options) { o.Answer = f }
}

// UsageLag sets how late usage is reported.
func UsageLag(d time.Duration) Option { return func(o *Options) { o.UsageLag = d } }

// Guards refuses starts of older epochs and starts that do not fit.
func Guards() Option { return func(o *Options) { o.Guards = true } }

// Tasks sets how the task of an attempt is found.
func Tasks(f func(attempt string) string) Option { return func(o *Options) { o.Task = f } }

// Record sets who hears what happens.
func Record(f func(history.Event)) Option { return func(o *Options) { o.Record = f } }
