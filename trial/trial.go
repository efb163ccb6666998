package trial

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Key identifies a simulation by site, day and seed.
type Key struct {
	Site string `json:"site"`
	Day  string `json:"day"`
	Seed string `json:"seed"`
}

// Result is the result of a simulated day.
type Result struct {
	Key Key `json:"key"`
	// Worth is the earned share of the possible score of the day, minus prices.
	Worth float64 `json:"worth"`
	// Figures holds the parts of Worth by name: "kind/NAME", "zone/NAME", "window/SECOND", "part/NAME"
	// and "price/NAME", all as shares of one.
	Figures map[string]float64 `json:"figures"`
	// Violations lists broken rules and faults of the processes.
	Violations []string `json:"broken,omitempty"`
}

// Difference is the difference of a figure between the versions, new minus old.
type Difference struct {
	Name  string `json:"name"`
	Pairs int    `json:"pairs"`
	// Old and New are the means of each version.
	Old float64 `json:"old"`
	New float64 `json:"new"`
	// Mean is the mean difference, HalfWidth half the width of its 95 % confidence interval.
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half"`
	// PairsNeeded is the number of pairs that would reduce HalfWidth to 0.01.
	PairsNeeded int `json:"needs"`
}

// Comparison is the comparison of two sets of results.
type Comparison struct {
	// Worth is the difference over all pairs, ByDay those for each day of each site.
	Worth Difference   `json:"worth"`
	ByDay []Difference `json:"byDay"`
	// Figures holds the parts of the worth, in decreasing order of the absolute difference.
	Figures []Difference `json:"figures"`
	// Spread is the standard deviation of the old version's results, by day.
	Spread map[string]float64 `json:"spread"`
	// Unpaired lists results without a counterpart, Violations those of all results.
	Unpaired   []string `json:"unpaired,omitempty"`
	Violations []string `json:"broken,omitempty"`
}

const (
	// confidence is the level of the confidence intervals.
	confidence = 0.95
	// targetHalfWidth is the half width for Difference.PairsNeeded: smaller differences do not matter for a decision.
	targetHalfWidth = 0.01
)

// Compare pairs the results of two versions and compares them.
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
		for name := range unionOfNames(o.Figures, n.Figures) {
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
	c.Violations = append(listViolations("old", old), listViolations("new", changed)...)
	sort.Strings(c.Unpaired)
	return c
}

// String formats the key for messages.
func (k Key) String() string { return k.Site + " " + k.Day + " seed " + k.Seed }

func listViolations(version string, results []Result) []string {
	var out []string
	for i := range results {
		for _, v := range results[i].Violations {
			out = append(out, version+" "+results[i].Key.String()+": "+v)
		}
	}
	sort.Strings(out)
	return out
}

func unionOfNames(a, b map[string]float64) map[string]struct{} {
	names := make(map[string]struct{}, len(a))
	for _, m := range []map[string]float64{a, b} {
		for name := range m {
			names[name] = struct{}{}
		}
	}
	return names
}

// sample holds the values of a figure for all pairs.
type sample struct{ old, changed, differences []float64 }

func (s *sample) add(old, changed float64) {
	s.old = append(s.old, old)
	s.changed = append(s.changed, changed)
	s.differences = append(s.differences, changed-old)
}

func (s *sample) difference(name string) Difference {
	n := len(s.differences)
	d := Difference{Name: name, Pairs: n}
	if n == 0 {
		return d
	}
	d.Old, d.New, d.Mean = stat.Mean(s.old, nil), stat.Mean(s.changed, nil), stat.Mean(s.differences, nil)
	if n == 1 {
		return d
	}
	deviation := stat.StdDev(s.differences, nil)
	d.HalfWidth = studentQuantile(n) * deviation / math.Sqrt(float64(n))
	d.PairsNeeded = requiredPairs(deviation)
	return d
}

// studentQuantile returns the two-sided critical value of Student's t-distribution for n pairs.
func studentQuantile(n int) float64 {
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}
	return t.Quantile(1 - (1-confidence)/2)
}

// requiredPairs returns the number of pairs for which the half width is at most targetHalfWidth.
func requiredPairs(deviation float64) int {
	maxPairs := 1 << 20
	return 2 + sort.Search(maxPairs, func(i int) bool {
		n := i + 2
		return studentQuantile(n)*deviation/math.Sqrt(float64(n)) <= targetHalfWidth
	})
}

type samples map[string]*sample

func (s samples) add(name string, old, changed float64) {
	if s[name] == nil {
		s[name] = &sample{}
	}
	s[name].add(old, changed)
}

// differences returns the differences sorted by name.
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
