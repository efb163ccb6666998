// Command journalload measures the capacity of a store. It writes the records of task starts at a steady rate in zones
// of its own, and removes them at the end.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"turmericgap/record"
	"turmericgap/record/load"
	"turmericgap/store"
	_ "turmericgap/store/etcd" // Registers the etcd store.
)

type arguments struct {
	Store    string  `long:"store" default:"etcd" description:"protocol of the store"`
	Endpoint string  `long:"endpoint" default:"127.0.0.1:7100" description:"address of the store"`
	Zones    int     `long:"zones" default:"6" description:"owners that write at the same time"`
	Starts   float64 `long:"starts" default:"330" description:"starts a second of all zones together"`
	Seconds  int     `long:"seconds" default:"30" description:"how long"`
	Rate     float64 `long:"rate" default:"10" description:"commits a second of each owner"`
}

func main() {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "journalload:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	plan := load.DefaultPlan()
	plan.Name = fmt.Sprintf("load-%d", os.Getpid())
	plan.Zones, plan.Starts, plan.Duration = args.Zones, args.Starts, time.Duration(args.Seconds)*time.Second
	plan.Journal = []record.Option{record.Rate(args.Rate, record.DefaultBurst)}
	kv, err := store.Open(args.Store, args.Endpoint)
	if err != nil {
		return err
	}
	result, err := load.Run(ctx, plan, func() *store.Store { return kv })
	fmt.Println(load.RowHeader)
	fmt.Println(result.Row(plan))
	return err
}
