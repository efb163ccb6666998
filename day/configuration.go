package day

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Configuration summarizes how late versions of the operators' configuration came into force on VMs. A lag is the time
// from the first VM on which a version is in force to another VM on which it or a newer one is. It is computed from the
// times in the logs, so clocks that differ add to it.
type Configuration struct {
	VMs      int `json:"vms"`
	Versions int `json:"versions"`
	// Pairs counts the pairs of VM and version, Late those with a lag above Within.
	Pairs  int     `json:"pairs"`
	Late   int     `json:"late"`
	Within float64 `json:"within"`
	Median float64 `json:"median"`
	P99    float64 `json:"p99"`
	Worst  float64 `json:"worst"`
	// Latest lists the pairs with the largest lags.
	Latest []ConfigurationLag `json:"latest"`
}

// ConfigurationLag is how late a version came into force on a VM.
type ConfigurationLag struct {
	VM      string `json:"vm"`
	Version int64  `json:"version"`
	// First is when the version was in force on the first VM.
	First time.Time `json:"first"`
	Lag   float64   `json:"lag"`
	// InForce is the version that the VM received then, and From where it received it.
	InForce int64  `json:"inForce"`
	From    string `json:"from"`
	// StoreSilent is since when the store had not answered the VM.
	StoreSilent float64 `json:"storeSilent"`
}

// configurationLines collects the lines about versions in force.
type configurationLines struct {
	lines  []*line
	first  map[int64]time.Time
	within float64
}

func newConfigurationLines() configurationLines {
	return configurationLines{first: make(map[int64]time.Time)}
}

func (c *configurationLines) add(l *line) {
	c.lines = append(c.lines, l)
	if at, known := c.first[l.Version]; !known || l.Time.Before(at) {
		c.first[l.Version] = l.Time
	}
	c.within = max(c.within, l.Within)
}

// report returns nil if no version was logged.
func (c *configurationLines) report(maxNamed int) *Configuration {
	if len(c.lines) == 0 {
		return nil
	}
	r := &Configuration{Versions: len(c.first), Within: c.within}
	var lags []ConfigurationLag
	vms := make(map[string]bool)
	for _, l := range c.lines {
		vms[l.VM] = true
		lags = append(lags, c.lagsOf(l)...)
	}
	r.VMs = len(vms)
	slices.SortFunc(lags, func(a, b ConfigurationLag) int {
		return cmp.Or(cmp.Compare(b.Lag, a.Lag), cmp.Compare(a.Version, b.Version), cmp.Compare(a.VM, b.VM))
	})
	r.Pairs = len(lags)
	if r.Pairs == 0 {
		return r
	}
	for i := range lags {
		if lags[i].Lag > c.within {
			r.Late++
		}
	}
	r.Median, r.P99, r.Worst = lags[r.Pairs/2].Lag, lags[r.Pairs/100].Lag, lags[0].Lag
	r.Latest = lags[:min(r.Pairs, maxNamed)]
	return r
}

// lagsOf returns the lags of a line. The first version of a process has none, since the VM was not there before.
func (c *configurationLines) lagsOf(l *line) []ConfigurationLag {
	var out []ConfigurationLag
	for version, first := range c.first {
		if l.Previous > 0 && version > l.Previous && version <= l.Version {
			out = append(out, ConfigurationLag{
				VM: l.VM, Version: version, First: first, Lag: millis(l.Time.Sub(first)), InForce: l.Version, From: l.From, StoreSilent: l.StoreSilent,
			})
		}
	}
	return out
}

func (r *Report) printConfiguration(p *printer) {
	c := r.Configuration
	if c == nil {
		return
	}
	p.beginTable("Configuration, ms behind the first VM", "VMS", "VERSIONS", "PAIRS", "MEDIAN", "0.99", "WORST", "BOUND", "OVER IT")
	p.row(fmt.Sprint(c.VMs), fmt.Sprint(c.Versions), fmt.Sprint(c.Pairs), fmt.Sprintf("%.0f", c.Median), fmt.Sprintf("%.0f", c.P99),
		fmt.Sprintf("%.0f", c.Worst), fmt.Sprintf("%.0f", c.Within), fmt.Sprint(c.Late))
	p.beginTable("Versions that came last", "VM", "VERSION", "FIRST", "LAG", "IN FORCE", "FROM", "STORE SILENT")
	for i := range c.Latest {
		l := &c.Latest[i]
		p.row(l.VM, fmt.Sprint(l.Version), l.First.Format(clockLayout), fmt.Sprintf("%.0f", l.Lag), fmt.Sprint(l.InForce), l.From, fmt.Sprintf("%.0f", l.StoreSilent))
	}
}
