package trial

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"turmericgap/standin/golden"

	"github.com/matryer/is"
)

// plays gives one play for each seed of a day.
func plays(day string, worth ...float64) []Result {
	var out []Result
	for i, w := range worth {
		out = append(out, Result{
			Key: Key{Site: "site", Day: day, Seed: fmt.Sprint(i + 1)}, Worth: w,
			Figures: map[string]float64{"kind/check": w, "price/calls": 0.01},
		})
	}
	return out
}

// The days differ much more from each other than the versions do: only pairs show the change.
func TestCompare(t *testing.T) {
	is := is.New(t)
	old := append(plays("calm", 0.90, 0.80, 0.70, 0.85), plays("storm", 0.30, 0.60, 0.45, 0.50, 0.20)...)
	changed := append(plays("calm", 0.92, 0.81, 0.72, 0.88), plays("storm", 0.33, 0.61, 0.47, 0.52)...)
	changed[5].Violations = []string{"TWICE 1"}
	c := Compare(old, changed)
	is.Equal(c.Worth.Pairs, 8)
	is.True(math.Abs(c.Worth.Mean-0.02) < 1e-9)
	is.True(c.Worth.HalfWidth < 0.01)
	is.Equal(c.Worth.PairsNeeded, 5)
	is.Equal(c.Unpaired, []string{"old site storm seed 5"})
	var out bytes.Buffer
	is.NoErr(c.Print(&out))
	golden.Equal(t, "testdata/comparison.golden", out.Bytes())
	plot := filepath.Join(t.TempDir(), "plot.svg")
	is.NoErr(c.Plot(plot))
	raw, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(bytes.Contains(raw, []byte("storm")))
}

// Without a pair nothing is said of a difference.
func TestCompareNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(Compare(nil, nil).Worth, Difference{Name: "worth"})
	one := Compare(plays("calm", 0.5), plays("calm", 0.6))
	is.Equal(one.Worth.HalfWidth, 0.0)
	is.Equal(one.Worth.PairsNeeded, 0)
}
