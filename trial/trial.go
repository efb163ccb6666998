package trial

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Key names what a play was of.
type Key struct {
	Site string `json:"site"`
	Day  string `json:"day"`
	Seed string `json:"seed"`
}

// Result is the outcome of one day.
type Result struct {
	Key Key `json:"key"`
	// Worth is what the day earned of what it could, less prices.
	Worth float64 `json:"worth"`
	// Figures holds the parts of Worth by name: "kind/NAME", "zone/NAME", "window/SECOND", "part/NAME"
	// and "price/NAME", all as shares of one.
	Figures map[string]float64 `json:"figures"`
	// Violations lists the rules that the play broke, and faults of the processes.
	Violations []string `json:"broken,omitempty"`
}

// Difference is how a figure differs between the two versions, new less old.
type Difference struct {
	Name  string `json:"name"`
	Pairs int    `json:"pairs"`
	// Old and New are the means of the versions.
	Old float64 `json:"old"`
	New float64 `json:"new"`
	// Mean is the mean difference, Half half of the width of its interval of 95 %.
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half"`
	// PairsNeeded is how many pairs would make Half one hundredth.
	PairsNeeded int `json:"needs"`
}

// Comparison is what two sets of plays show.
type Comparison struct {
	// Worth holds the difference over all pairs, ByDay those of each day of each site.
	Worth Difference   `json:"worth"`
	ByDay []Difference `json:"byDay"`
	// Figures holds the parts of the worth, those that differ most first.
	Figures []Difference `json:"figures"`
	// Spread is the standard deviation of the old version's plays of one day, by day.
	Spread map[string]float64 `json:"spread"`
	// Unpaired lists plays whose counterpart is missing, Broken those that broke a rule.
	Unpaired   []string `json:"unpaired,omitempty"`
	Violations []string `json:"broken,omitempty"`
}

const (
	// confidence is the probability with which a difference lies in its interval.
	confidence = 0.95
	// precision is the half width that Difference.Needs asks for: the least change worth a decision.
	precision = 0.01
)

// Compare pairs the plays of two versions.
func Compare(old, changed []Result) *Comparison {
	c := &Comparison{Spread: make(map[string]float64)}
	counterpart := make(map[Key]*Result, len(changed))
	for i := range changed {
		counterpart[changed[i].Key] = &changed[i]
	}
	worth, byDay, figures := &sample{}, make(samples), make(samples)
	spread := make(map[string][]float64)
	for i := range old {
		o := &old[i]
		day := o.Key.Site + " " + o.Key.Day
		spread[day] = append(spread[day], o.Worth)
		n := counterpart[o.Key]
		if n == nil {
			c.Unpaired = append(c.Unpaired, "old "+o.Key.String())
			continue
		}
		delete(counterpart, o.Key)
		worth.add(o.Worth, n.Worth)
		byDay.add(day, o.Worth, n.Worth)
		for name := range union(o.Figures, n.Figures) {
			figures.add(name, o.Figures[name], n.Figures[name])
		}
	}
	for key := range counterpart {
		c.Unpaired = append(c.Unpaired, "new "+key.String())
	}
	c.Worth = worth.difference("worth")
	c.ByDay, c.Figures = byDay.differences(), figures.differences()
	slices.SortStableFunc(c.Figures, func(a, b Difference) int { return cmp.Compare(math.Abs(b.Mean), math.Abs(a.Mean)) })
	for day, values := range spread {
		if len(values) > 1 {
			c.Spread[day] = stat.StdDev(values, nil)
		}
	}
	c.Violations = append(broken("old", old), broken("new", changed)...)
	sort.Strings(c.Unpaired)
	return c
}

// String gives a key as it is printed.
func (k Key) String() string { return k.Site + " " + k.Day + " seed " + k.Seed }

func broken(side string, plays []Result) []string {
	var out []string
	for i := range plays {
		for _, b := range plays[i].Violations {
			out = append(out, side+" "+plays[i].Key.String()+": "+b)
		}
	}
	sort.Strings(out)
	return out
}

func union(a, b map[string]float64) map[string]struct{} {
	names := make(map[string]struct{}, len(a))
	for _, m := range []map[string]float64{a, b} {
		for name := range m {
			names[name] = struct{}{}
		}
	}
	return names
}

// sample is a figure in each pair.
type sample struct{ old, changed, differ []float64 }

func (s *sample) add(old, changed float64) {
	s.old = append(s.old, old)
	s.changed = append(s.changed, changed)
	s.differ = append(s.differ, changed-old)
}

func (s *sample) difference(name string) Difference {
	n := len(s.differ)
	d := Difference{Name: name, Pairs: n}
	if n == 0 {
		return d
	}
	d.Old, d.New, d.Mean = stat.Mean(s.old, nil), stat.Mean(s.changed, nil), stat.Mean(s.differ, nil)
	if n == 1 {
		return d
	}
	deviation := stat.StdDev(s.differ, nil)
	d.HalfWidth = quantile(n) * deviation / math.Sqrt(float64(n))
	d.PairsNeeded = pairsFor(deviation)
	return d
}

// quantile is that of Student's distribution for n pairs.
func quantile(n int) float64 {
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
	return t.Quantile(1 - (1-confidence)/2)
}

// pairsFor is how many pairs of such a deviation give an interval of the wanted width.
func pairsFor(deviation float64) int {
	most := 1 << 20
	return 2 + sort.Search(most, func(i int) bool {
		n := i + 2
		return quantile(n)*deviation/math.Sqrt(float64(n)) <= precision
	})
}

type samples map[string]*sample

func (s samples) add(name string, old, changed float64) {
	if s[name] == nil {
		s[name] = &sample{}
	}
	s[name].add(old, changed)
}

// differences gives the differences in the order of their names.
func (s samples) differences() []Difference {
	names := make([]string, 0, len(s))
	for name := range s {
		names = append(names, name)
	}
	sort.Strings(names)
	out := make([]Difference, 0, len(names))
	for _, name := range names {
		out = append(out, s[name].difference(name))
	}
	return out
}
