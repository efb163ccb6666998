package job

import "github.com/cespare/xxhash/v2"

// Answer is the result of one task or check.
type Answer struct {
	// Exit is the exit code; zero means success.
	Exit int    `json:"exit" msgpack:"x"`
	Body []byte `json:"body,omitempty" msgpack:"b,omitempty"`
	// Length and Sum are set by the creator of the body, so that a truncated body is detected.
	Length int    `json:"length" msgpack:"l"`
	Sum    uint64 `json:"sum" msgpack:"s"`
}

// NewAnswer returns an answer with the body's length and checksum (xxHash64).
func NewAnswer(exit int, body []byte) Answer {
	return Answer{Exit: exit, Body: body, Length: len(body), Sum: xxhash.Sum64(body)}
}

// IsIntact reports whether the body matches Length and Sum.
func (a *Answer) IsIntact() bool {
	return len(a.Body) == a.Length && xxhash.Sum64(a.Body) == a.Sum
}
