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

// newResults returns a result of a day for each worth, with seeds from 1.
func newResults(day string, worth ...float64) []Result {
	var out []Result
	for i, w := range worth {
		out = append(out, Result{
			Key: Key{Site: "site", Day: day, Seed: fmt.Sprint(i + 1)}, Worth: w,
			Figures: map[string]float64{"kind/check": w, "price/calls": 0.01},
		})
	}
	return out
}

// Guards against a comparison of unpaired means: the days differ much more than the versions, so only pairs show the
// change.
func TestCompare(t *testing.T) {
	is := is.New(t)
	old := append(newResults("calm", 0.90, 0.80, 0.70, 0.85), newResults("storm", 0.30, 0.60, 0.45, 0.50, 0.20)...)
	changed := append(newResults("calm", 0.92, 0.81, 0.72, 0.88), newResults("storm", 0.33, 0.61, 0.47, 0.52)...)
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

// Guards against an interval from too few pairs: with no pair or one pair there is none.
func TestCompareNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(Compare(nil, nil).Worth, Difference{Name: "worth"})
	one := Compare(newResults("calm", 0.5), newResults("calm", 0.6))
	is.Equal(one.Worth.HalfWidth, 0.0)
	is.Equal(one.Worth.PairsNeeded, 0)
}
