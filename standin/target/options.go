package target

import (
	"time"

	"turmericgap/gate/target"
	"turmericgap/history"
)

// Options are what a Target is made of.
type Options struct {
	Info target.Info
	// ServiceTime is how long a request takes whose method is not in Methods.
	ServiceTime  time.Duration
	MethodTimes  map[string]time.Duration
	LeavingGrace time.Duration
	// Record hears what happens, under the target's lock.
	Record func(history.Event)
}

// Option sets up a Target.
type Option func(*Options)

// ServiceTime sets how long a request takes.
func ServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// MethodTime sets how long requests of one method take.
func MethodTime(method string, d time.Duration) Option {
	return func(o *Options) {
		if o.MethodTimes == nil {
			o.MethodTimes = make(map[string]time.Duration)
		}
		o.MethodTimes[method] = d
	}
}

// LeavingGrace sets how long after its leaving was announced new work is still no violation.
func LeavingGrace(d time.Duration) Option { return func(o *Options) { o.LeavingGrace = d } }

// Record sets who hears what happens.
func Record(f func(history.Event)) Option { return func(o *Options) { o.Record = f } }
