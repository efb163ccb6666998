package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/soak"
)

// entry builds the program that runs as the processes of a soak.
func entry(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "entry")
	out, err := exec.Command("go", "build", "-o", program, "turmericgap/cmd/entry").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// Real processes serve works for some seconds while a seed kills, freezes and cuts them off. What callers
// and workers see must keep all promises. Longer runs with fresh seeds are made by hand (cmd/soak).
func TestShortSoak(t *testing.T) {
	cases := []struct {
		name   string
		seed   uint64
		faults bool
		lasts  time.Duration
	}{
		{"calm", 1, false, 4 * time.Second},
		{"faults", 3, true, 12 * time.Second},
	}
	program := entry(t)
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			rep, err := soak.Run(soak.Options{
				Context: t.Context(), Seed: c.seed, Faults: c.faults, Lasts: c.lasts, VMs: 3, Workers: 6, Rate: 6,
				Program: program, Dir: t.TempDir(), Net: 256 + (2*os.Getpid()+i)%65000,
			})
			is.NoErr(err)
			t.Log(rep)
			is.True(rep.Accepted > 0)
			is.Equal(len(rep.Findings), 0)
			if !c.faults {
				is.Equal(rep.Accepted, rep.Handed)
			}
		})
	}
}
