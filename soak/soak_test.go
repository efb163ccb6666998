package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Run more seeds manually with `go test ./soak -run TestSoak -args -seed 101 -seeds 54`.
var (
	seedFlag     = flag.Uint64("seed", 1, "first seed that is run in addition to the fixed ones")
	seedsFlag    = flag.Int("seeds", 0, "number of additional seeds")
	secondsFlag  = flag.Int("seconds", 30, "duration of each additional run in seconds")
	accountsFlag = flag.Bool("accounts", true, "additional runs use client accounts with keys and caps")
	calmFlag     = flag.Bool("calm", false, "additional runs inject no faults")
	unevenFlag   = flag.Bool("uneven", true, "additional runs have workers of unlike speed, which may leave with notice, and bursts of one account")
	vmsFlag      = flag.Int("vms", 4, "entry VMs of additional runs")
	workersFlag  = flag.Int("workers", 9, "workers of additional runs")
	rateFlag     = flag.Int("rate", 8, "works per second of additional runs")
	idleFlag     = flag.Int("idlequeues", 0, "queues of additional runs to which nobody submits; each makes the configuration some 200 bytes larger")
	logsFlag     = flag.String("logs", "", "directory that keeps settings and logs of all runs; empty keeps none")
)

// buildProgram builds the entry program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry")
	out, err := exec.Command("go", "build", "-o", path, "turmericgap/cmd/entry").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// runs returns the fixed runs and those requested by flags.
func runs() []Options {
	out := []Options{
		{Seed: 1, Duration: 4 * time.Second, VMs: 3, Workers: 6, Rate: 6},
		{Seed: 3, Faults: true, Duration: 12 * time.Second, VMs: 3, Workers: 6, Rate: 6},
		{Seed: 5, Faults: true, Accounts: true, Duration: 12 * time.Second, VMs: 4, Workers: 6, Rate: 6},
		{Seed: 7, Faults: true, Accounts: true, Uneven: true, Duration: 12 * time.Second, VMs: 4, Workers: 9, Rate: 8},
		// A work stayed queued: the stand-in's watch told of one change at a time.
		{Seed: 425, Faults: true, Accounts: true, Duration: 25 * time.Second, VMs: 4, Workers: 9, Rate: 8},
	}
	for i := range *seedsFlag {
		out = append(out, Options{
			Seed: *seedFlag + uint64(i), Faults: !*calmFlag, Accounts: *accountsFlag, Uneven: *unevenFlag, Duration: time.Duration(*secondsFlag) * time.Second,
			VMs: *vmsFlag, Workers: *workersFlag, Rate: *rateFlag, IdleQueues: *idleFlag,
		})
	}
	return out
}

func logDir(t *testing.T, name string) string {
	if *logsFlag == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*logsFlag, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Guards against violations that callers or workers can see while real processes are killed, frozen and cut off.
// Without faults, every work must be accepted.
func TestSoak(t *testing.T) {
	path := buildProgram(t)
	for i, o := range runs() {
		name := fmt.Sprintf("seed%dFaults%t", o.Seed, o.Faults)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o.Context, o.Program, o.Dir = t.Context(), path, logDir(t, name)
			o.Net = 256 + (2*os.Getpid()+i)%65000
			rep, err := Run(o)
			is.NoErr(err)
			t.Log(rep, rep.Table())
			is.True(rep.Accepted > 0)
			is.Equal(len(rep.Findings), 0)
			if !o.Faults {
				is.Equal(rep.Accepted, rep.Submitted)
			}
		})
	}
}
