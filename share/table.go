package share

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Table is the gate table of a zone.
type Table struct {
	// Version increases with each change, not necessarily by one.
	Version int64 `json:"version" msgpack:"v"`
	// Gates holds the ids of the gates, in the same order on every gate.
	Gates []string `json:"gates" msgpack:"g"`
}

// ShareOf returns how many of a target's slots the table allots to a gate. Slots that do not divide evenly go to
// consecutive gates from a start derived from the target's id, so that no gate gets the extra slot of every target.
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

func (t *Table) lists(gate string) bool { return slices.Contains(t.Gates, gate) }

// dropsGateOf reports whether t lacks a gate of other that did not leave by a planned stop.
func (t *Table) dropsGateOf(other *Table, left map[string]bool) bool {
	return slices.ContainsFunc(other.Gates, func(gate string) bool { return !t.lists(gate) && !left[gate] })
}

// Confirmation is sent to the other gates of the zone and names the table by which this gate limits its use.
type Confirmation struct {
	Gate string `json:"gate" msgpack:"g"`
	// Version is the newest table whose share the gate does not exceed.
	Version int64 `json:"version" msgpack:"v"`
	// KnowsHistory is set if the gate knows the earlier tables, and if no requests of removed gates remain at the
	// targets.
	KnowsHistory bool `json:"knows" msgpack:"k"`
	// Left is set if the gate uses no slots and never will again, so that no gate has to wait for its last requests.
	Left bool `json:"left,omitempty" msgpack:"l,omitempty"`
}
