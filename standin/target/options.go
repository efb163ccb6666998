package target

import (
	"time"

	"turmericgap/gate/target"
	"turmericgap/history"
)

// Options are what a Target is made of.
type Options struct {
	Info target.Info
	// Work is how long a request takes whose method is not in Methods.
	Work         time.Duration
	Methods      map[string]time.Duration
	LeavingGrace time.Duration
	// Record hears what happens, under the target's lock.
	Record func(history.Event)
}

// Option sets up a Target.
type Option func(*Options)

// Work sets how long a request takes.
func Work(d time.Duration) Option { return func(o *Options) { o.Work = d } }

// Method sets how long requests of one method take.
func Method(method string, d time.Duration) Option {
	return func(o *Options) {
		if o.Methods == nil {
			o.Methods = make(map[string]time.Duration)
		}
		o.Methods[method] = d
	}
}

// LeavingGrace sets how long after its leaving was announced new work is still no violation.
func LeavingGrace(d time.Duration) Option { return func(o *Options) { o.LeavingGrace = d } }

// Record sets who hears what happens.
func Record(f func(history.Event)) Option { return func(o *Options) { o.Record = f } }
