package finding

import (
	"fmt"
	"strings"
)

// Finding is one fault of an input.
type Finding struct {
	// Path names the faulty part, as a path such as "rules[3].when".
	Path string `json:"place" msgpack:"p"`
	// Reason says in one short sentence what is wrong there.
	Reason string `json:"reason" msgpack:"r"`
}

// String gives the finding as "place: reason".
func (f Finding) String() string { return f.Path + ": " + f.Reason }

// List is the findings of one input, in the order in which they were met.
type List []Finding

// Add appends a finding whose reason is formatted as by fmt.Sprintf.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Path: place, Reason: fmt.Sprintf(format, args...)})
}

// AddUnder appends the findings of a part, with their places moved below prefix.
func (l *List) AddUnder(prefix string, part List) {
	for _, f := range part {
		*l = append(*l, Finding{Path: prefix + "." + f.Path, Reason: f.Reason})
	}
}

// Err gives nil for an empty list and the list itself as an error otherwise.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error gives all findings, one a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
