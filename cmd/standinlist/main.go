// Command standinlist is a stand-in of the platform's VM list.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"turmericgap/standin/endpoint"
	"turmericgap/standin/list"
)

type options struct {
	Listen string        `long:"listen" description:"IP number and port" default:"127.0.0.1:7400"`
	Lag    time.Duration `long:"lag" description:"how old the shown state is" default:"0s"`
	Expiry time.Duration `long:"expiry" description:"removes a VM that has not registered for that long; 0 keeps it" default:"10s"`
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
	if err := endpoint.Serve(o.Listen, l.Handler()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
