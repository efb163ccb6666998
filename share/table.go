package share

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table is the gate table of a zone.
type Table struct {
	// Version grows with each change; it need not grow by one.
	Version int64 `json:"version" msgpack:"v"`
	// Gates are the ids of the gates, in the same order for everyone.
	Gates []string `json:"gates" msgpack:"g"`
}

// ShareOf gives how many of a target's slots the table allots to a gate. Each gate gets the whole part;
// the rest goes round from a start that the target's id decides, so that no gate gets all the rests.
func (t *Table) ShareOf(gate, target string, slots int) int {
	n := len(t.Gates)
	i := slices.Index(t.Gates, gate)
	if i < 0 || slots <= 0 {
		return 0
	}
	start := int(xxhash.Sum64String(target) % uint64(n))
	if (i+n-start)%n < slots%n {
		return slots/n + 1
	}
	return slots / n
}

func (t *Table) has(gate string) bool { return slices.Contains(t.Gates, gate) }

// lacks reports whether a gate of other is missing from t that has not left by itself.
func (t *Table) lacks(other *Table, left map[string]bool) bool {
	return slices.ContainsFunc(other.Gates, func(gate string) bool { return !t.has(gate) && !left[gate] })
}

// Confirmation is what a gate tells the others of its zone.
type Confirmation struct {
	Gate string `json:"gate" msgpack:"g"`
	// Version is the newest table of whose share the gate uses no more than its own.
	Version int64 `json:"version" msgpack:"v"`
	// KnowsHistory says that the gate knows the earlier tables, and that nothing is left at the targets of
	// gates that were removed.
	KnowsHistory bool `json:"knows" msgpack:"k"`
	// Left says that the gate uses nothing any more and never will, so that nobody need wait for its
	// last requests.
	Left bool `json:"left,omitempty" msgpack:"l,omitempty"`
}
