package finding

import (
	"fmt"
	"strings"
)

// Finding is one error in an input.
type Finding struct {
	// Path names the invalid part, such as "rules[3].when".
	Path string `json:"place" msgpack:"p"`
	// Reason is a short description of the error.
	Reason string `json:"reason" msgpack:"r"`
}

// String returns the finding as "path: reason".
func (f Finding) String() string { return f.Path + ": " + f.Reason }

// List holds the findings of one input, in the order in which they were found.
type List []Finding

// Add appends a finding whose reason is formatted as by fmt.Sprintf.
func (l *List) Add(path, format string, args ...any) {
	*l = append(*l, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// AddUnder appends the findings of a part of the input, with prefix added to their paths.
func (l *List) AddUnder(prefix string, part List) {
	for _, f := range part {
		*l = append(*l, Finding{Path: prefix + "." + f.Path, Reason: f.Reason})
	}
}

// Err returns nil for an empty list, and otherwise the list as an error.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
