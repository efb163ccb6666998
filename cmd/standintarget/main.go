// Command standintarget hosts stand-ins for the platform's targets, each under its own URL path.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"turmericgap/gate/target"
	"turmericgap/history"
	"turmericgap/standin/endpoint"
	"turmericgap/standin/list"
	standin "turmericgap/standin/target"
	"turmericgap/vmlist"
)

type options struct {
	Listen      string        `long:"listen" description:"IP number and port" default:"127.0.0.1:7300"`
	Count       int           `long:"count" description:"number of targets" default:"4"`
	Zone        string        `long:"zone" description:"availability zone" default:"kochi-hall"`
	Service     string        `long:"service" description:"the service that the targets run" default:"course-desk"`
	Slots       int           `long:"slots" description:"requests worked on at once" default:"8"`
	Connections int           `long:"connections" description:"connections held open" default:"64"`
	Work        time.Duration `long:"work" description:"how long a request takes" default:"5ms"`
	Events      int           `long:"events" description:"events kept for a judge at /events; 0 keeps none" default:"0"`
	Register    string        `long:"register" description:"address of the VM list; empty registers nothing"`
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
	targets := make([]*standin.Target, o.Count)
	for i := range targets {
		targets[i] = standin.New(o.info(i), standin.ServiceTime(o.Work), standin.Record(checker.Record))
		path := fmt.Sprintf("/t/%d", i)
		mux.Handle(path+"/", http.StripPrefix(path, targets[i].Handler()))
	}
	go list.KeepRegistered(context.Background(), o.Register, list.DefaultRegisterInterval, func() vmlist.List { return currentTargets(targets) })
	if err := endpoint.Serve(o.Listen, mux); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// currentTargets returns the present state of the targets, so that a leaving target is registered as leaving.
func currentTargets(targets []*standin.Target) vmlist.List {
	var vms vmlist.List
	for _, t := range targets {
		vms.Targets = append(vms.Targets, t.Info())
	}
	return vms
}

func (o *options) info(i int) target.Info {
	return target.Info{
		ID:          fmt.Sprintf("%s-%s-%d", o.Zone, o.Service, i),
		Address:     fmt.Sprintf("%s/t/%d", o.Listen, i),
		Zone:        o.Zone,
		Service:     o.Service,
		Slots:       o.Slots,
		Connections: o.Connections,
	}
}
