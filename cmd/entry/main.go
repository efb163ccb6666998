// Command entry is the only program of an entry VM on the users' platform. It accepts work from callers, and it
// schedules and tracks the work of the whole cell while its VM owns the cell.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"turmericgap"
	"turmericgap/feature"
	"turmericgap/logger"
	"turmericgap/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Settings string   `long:"settings" short:"s" description:"the platform's settings file" env:"TURMERICGAP_CONFIG" default:"/etc/turmericgap/boot.json"`
	Check    bool     `long:"check" description:"report all findings of the settings and end"`
	Features []string `long:"feature" value-name:"NAME=MODE" description:"switch an optional part on, off or to auto, the default; may be repeated"`
}

func main() {
	var args arguments
	if _, err := flags.NewParser(&args, flags.Default).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	settings, err := platform.LoadSettings(args.Settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "entry: settings in %s:\n%s\n", args.Settings, err)
		os.Exit(exitUsage)
	}
	features, err := feature.Parse(args.Features)
	if err != nil {
		fmt.Fprintf(os.Stderr, "entry: features:\n%s\n", err)
		os.Exit(exitUsage)
	}
	if args.Check {
		fmt.Println("settings: no findings")
		return
	}
	os.Exit(run(settings, features, args.Settings))
}

func run(settings *platform.Settings, features *feature.Set, path string) int {
	out := logger.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := logger.NewWithOutput("entry", out).With(zap.String("vm", settings.ID))
	service := turmericgap.New(turmericgap.Name("entry"), turmericgap.Logger(log), turmericgap.OpsAddress(settings.Metrics),
		turmericgap.ShutdownTimeout(settings.ShutdownWithin*9/10))
	err := wire(service, settings, features, path, out.Dropped)
	if err == nil {
		err = service.Run()
	}
	if err != nil {
		log.Error("service: ended with an error", zap.Error(err))
		return exitFailed
	}
	return 0
}
