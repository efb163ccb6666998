package target

import (
	"time"

	"turmericgap/gate/target"
	"turmericgap/history"
)

// Options configure a Target.
type Options struct {
	Info target.Info
	// ServiceTime is how long a request takes whose method is not in MethodTimes.
	ServiceTime  time.Duration
	MethodTimes  map[string]time.Duration
	LeavingGrace time.Duration
	// Record receives all events; it is called with the target's lock held.
	Record func(history.Event)
}

// Option configures a Target.
type Option func(*Options)

// ServiceTime sets how long a request takes by default.
func ServiceTime(d time.Duration) Option { return func(o *Options) { o.ServiceTime = d } }

// MethodTime sets how long requests of a method take.
func MethodTime(method string, d time.Duration) Option {
	return func(o *Options) {
		if o.MethodTimes == nil {
			o.MethodTimes = make(map[string]time.Duration)
		}
		o.MethodTimes[method] = d
	}
}

// LeavingGrace sets how long new work is no violation after the target has announced that it is leaving.
func LeavingGrace(d time.Duration) Option { return func(o *Options) { o.LeavingGrace = d } }

// Record sets the function that receives all events.
func Record(f func(history.Event)) Option { return func(o *Options) { o.Record = f } }
