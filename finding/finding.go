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

// List holds the findings of one input, in the order in which they were found: at most MaxFindings.
type List []Finding

const (
	// MaxFindings is the number of findings that a List holds. Where there are more, the last one says so.
	MaxFindings = 100
	// maxTextBytes limits a path and a reason, which may hold a part of the input.
	maxTextBytes = 512

	reasonMore = "has a finding, and there may be more that are not listed"
)

// Add appends a finding whose reason is formatted as by fmt.Sprintf.
func (l *List) Add(path, format string, args ...any) {
	switch {
	case len(*l) == MaxFindings:
	case len(*l) == MaxFindings-1:
		l.add(path, reasonMore)
	default:
		l.add(path, fmt.Sprintf(format, args...))
	}
}

func (l *List) add(path, reason string) {
	*l = append(*l, Finding{Path: shorten(path), Reason: shorten(reason)})
}

// shorten returns the beginning of a long text.
func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// AddUnder appends the findings of a part of the input, with prefix added to their paths.
func (l *List) AddUnder(prefix string, part List) {
	for _, f := range part {
		l.Add(prefix+"."+f.Path, "%s", f.Reason)
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
