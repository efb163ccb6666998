// Command soak runs the entry program as several processes on one machine, injects faults by a seed, and
// reports what callers and workers saw wrong. It exits with 1 if anything was.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"turmericgap/soak"
)

type options struct {
	Program string `long:"program" default:"bin/entry" description:"the entry program"`
	Seed    uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds   int    `long:"seeds" default:"1" description:"how many seeds, one after the other"`
	Seconds int    `long:"seconds" default:"30" description:"how long faults strike in each"`
	VMs     int    `long:"vms" default:"4" description:"entry VMs"`
	Workers int    `long:"workers" default:"9" description:"workers"`
	Rate    int    `long:"rate" default:"8" description:"works a second"`
	Table   bool   `long:"table" description:"print how each queue was served, and what struck"`
	Calm    bool   `long:"calm" description:"no faults"`
	Dir     string `long:"dir" default:"run/soak" description:"where settings and logs go, a folder for each seed"`
	Net     int    `long:"net" default:"5120" description:"second and third part of the loopback addresses, 256 to 65535; two runs at a time need two"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	found := 0
	for i := range o.Seeds {
		rep, err := o.run(o.Seed + uint64(i))
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		fmt.Print(rep)
		if o.Table {
			fmt.Print(rep.Table())
		}
		found += len(rep.Findings)
	}
	if found > 0 {
		os.Exit(1)
	}
}

func (o *options) run(seed uint64) (*soak.Report, error) {
	dir := filepath.Join(o.Dir, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	return soak.Run(soak.Options{
		Seed: seed, Faults: !o.Calm, Lasts: time.Duration(o.Seconds) * time.Second, VMs: o.VMs, Workers: o.Workers,
		Rate: o.Rate, Program: o.Program, Dir: dir, Net: o.Net,
	})
}
