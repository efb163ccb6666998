// Command standinworker hosts stand-ins for the platform's workers, each under its own URL path.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"turmericgap/history"
	"turmericgap/job"
	"turmericgap/standin/endpoint"
	"turmericgap/standin/list"
	standin "turmericgap/standin/worker"
	"turmericgap/vmlist"
	"turmericgap/worker"
)

type options struct {
	Listen       string        `long:"listen" description:"IP number and port" default:"127.0.0.1:7200"`
	Count        int           `long:"count" description:"number of workers" default:"8"`
	Zone         string        `long:"zone" description:"availability zone" default:"kochi-hall"`
	Racks        int           `long:"racks" description:"number of racks" default:"1"`
	Cores        int64         `long:"cores" description:"processors of each worker" default:"16"`
	MemoryMB     int64         `long:"memoryMB" description:"memory of each worker" default:"64000"`
	Accelerators int64         `long:"accelerators" description:"accelerators of each worker" default:"0"`
	Run          time.Duration `long:"run" description:"how long a task runs that does not say" default:"50ms"`
	Use          int64         `long:"use" description:"percent of the declared size that tasks truly use" default:"100"`
	Events       int           `long:"events" description:"events kept for a judge at /events; 0 keeps none" default:"0"`
	Guards       bool          `long:"guards" description:"refuse old epochs and what does not fit"`
	Register     string        `long:"register" description:"address of the VM list; empty registers nothing"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	mux := http.NewServeMux()
	checker := history.New(history.MaxEvents(o.Events))
	endpoint.Get(mux, "/events", func() any { return checker.Events() })
	var vms vmlist.List
	for i := range o.Count {
		w := standin.New(o.info(i), o.workerOptions(checker)...)
		path := fmt.Sprintf("/w/%d", i)
		mux.Handle(path+"/", http.StripPrefix(path, w.Handler()))
		vms.Workers = append(vms.Workers, w.Info())
	}
	go list.KeepRegistered(context.Background(), o.Register, list.DefaultRegisterInterval, func() vmlist.List { return vms })
	if err := endpoint.Serve(o.Listen, mux); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (o *options) info(i int) worker.Info {
	return worker.Info{
		ID:      fmt.Sprintf("%s-worker-%d", o.Zone, i),
		Address: fmt.Sprintf("%s/w/%d", o.Listen, i),
		Zone:    o.Zone,
		Rack:    fmt.Sprintf("%s-rack-%d", o.Zone, i%max(1, o.Racks)),
		Has:     job.Resources{Millicores: o.Cores * 1000, MemoryMB: o.MemoryMB, Accelerators: o.Accelerators},
	}
}

func (o *options) workerOptions(checker *history.Checker) []standin.Option {
	use := func(s *worker.Start) job.Resources {
		return job.Resources{
			Millicores: s.Resources.Millicores * o.Use / 100, MemoryMB: s.Resources.MemoryMB * o.Use / 100,
			Accelerators: s.Resources.Accelerators,
		}
	}
	opts := []standin.Option{standin.RunTime(o.Run), standin.Usage(use), standin.Record(checker.Record)}
	if o.Guards {
		opts = append(opts, standin.RejectInvalid())
	}
	return opts
}
