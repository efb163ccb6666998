// Command standinlist is a stand-in of the platform's VM list.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"turmericgap/standin/endpoint"
	"turmericgap/standin/list"
	"turmericgap/vmlist"
)

type options struct {
	Listen string        `long:"listen" description:"IP number and port" default:"127.0.0.1:7400"`
	Lag    time.Duration `long:"lag" description:"how old the shown state is" default:"0s"`
	Expiry time.Duration `long:"expiry" description:"removes a VM that has not registered for that long; 0 keeps it" default:"10s"`
	// Entries never expire: the stand-in itself keeps them registered.
	Entries map[string]string `long:"entry" description:"an entry VM and its availability zone, as id:zone; may be given again"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	l := list.New(list.Lag(o.Lag), list.Expiry(o.Expiry))
	go o.keepEntries(l)
	if err := endpoint.Serve(o.Listen, l.Handler()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// keepEntries registers the entry VMs again and again, as the platform would that hosts them.
func (o *options) keepEntries(l *list.List) {
	var vms vmlist.List
	for id, zone := range o.Entries {
		vms.Entries = append(vms.Entries, vmlist.EntryVM{ID: id, Zone: zone})
	}
	for {
		l.Register(vms)
		time.Sleep(list.DefaultRegisterInterval)
	}
}
