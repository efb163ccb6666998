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

// More seeds by hand: `go test ./soak -run TestSoak -args -seed 101 -seeds 54`.
var (
	seedFlag    = flag.Uint64("seed", 1, "the first of the seeds that are run besides the fixed ones")
	seedsFlag   = flag.Int("seeds", 0, "how many there are")
	secondsFlag = flag.Int("seconds", 30, "how long faults strike in each of them")
	calmFlag    = flag.Bool("calm", false, "they have no faults")
	vmsFlag     = flag.Int("vms", 4, "their entry VMs")
	workersFlag = flag.Int("workers", 9, "their workers")
	rateFlag    = flag.Int("rate", 8, "their works a second")
	logsFlag    = flag.String("logs", "", "where settings and logs of all runs stay; empty means nowhere")
)

// program builds what runs as the processes of a soak.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry")
	out, err := exec.Command("go", "build", "-o", path, "turmericgap/cmd/entry").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// runs are those of CI, and those that are asked for by hand.
func runs() []Options {
	out := []Options{
		{Seed: 1, Lasts: 4 * time.Second, VMs: 3, Workers: 6, Rate: 6},
		{Seed: 3, Faults: true, Lasts: 12 * time.Second, VMs: 3, Workers: 6, Rate: 6},
	}
	for i := range *seedsFlag {
		out = append(out, Options{
			Seed: *seedFlag + uint64(i), Faults: !*calmFlag, Lasts: time.Duration(*secondsFlag) * time.Second,
			VMs: *vmsFlag, Workers: *workersFlag, Rate: *rateFlag,
		})
	}
	return out
}

func logs(t *testing.T, name string) string {
	if *logsFlag == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*logsFlag, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Real processes serve works for some seconds while a seed kills, freezes and cuts them off. What callers
// and workers see must keep all promises; without faults every work must be accepted.
func TestSoak(t *testing.T) {
	path := program(t)
	for i, o := range runs() {
		name := fmt.Sprintf("seed%dFaults%t", o.Seed, o.Faults)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o.Context, o.Program, o.Dir = t.Context(), path, logs(t, name)
			o.Net = 256 + (2*os.Getpid()+i)%65000
			rep, err := Run(o)
			is.NoErr(err)
			t.Log(rep, rep.Table())
			is.True(rep.Accepted > 0)
			is.Equal(len(rep.Findings), 0)
			if !o.Faults {
				is.Equal(rep.Accepted, rep.Handed)
			}
		})
	}
}
