package record

import (
	"fmt"
	"strconv"

	"turmericgap/store"
)

// Prefix is the key prefix of all journals in the store.
const Prefix = "/turmericgap/journal/"

// keys builds the keys of one journal. Numbers are formatted with a fixed width, so that keys sort by number.
type keys struct{ root string }

func (k keys) head() string { return k.root + "head" }

func (k keys) segments() string { return k.root + "seg/" }

func (k keys) segment(n uint64) string { return k.segments() + number(n) }

func (k keys) snapshots() string { return k.root + "snap/" }

func (k keys) parts(generation string) string { return k.snapshots() + generation + "/" }

func (k keys) part(generation string, n uint64) string { return k.parts(generation) + number(n) }

func number(n uint64) string { return fmt.Sprintf("%016x", n) }

func parseNumber(s string) (uint64, error) { return strconv.ParseUint(s, 16, 64) }

// deleteRange returns an operation that deletes the keys in [first, end).
func deleteRange(first, end string) store.Op { return store.Op{Delete: true, Key: first, End: end} }
