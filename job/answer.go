package job

import "github.com/cespare/xxhash/v2"

// Answer is what one task or check gave back.
type Answer struct {
	// Exit is the exit code; zero means success.
	Exit int    `json:"exit" msgpack:"x"`
	Body []byte `json:"body,omitempty" msgpack:"b,omitempty"`
	// Length and Sum are stated by whoever made the body, so that a cut one is recognized.
	Length int    `json:"length" msgpack:"l"`
	Sum    uint64 `json:"sum" msgpack:"s"`
}

// NewAnswer seals a body with its length and checksum (xxHash64).
func NewAnswer(exit int, body []byte) Answer {
	return Answer{Exit: exit, Body: body, Length: len(body), Sum: xxhash.Sum64(body)}
}

// IsIntact reports whether the body has the stated length and checksum.
func (a *Answer) IsIntact() bool {
	return len(a.Body) == a.Length && xxhash.Sum64(a.Body) == a.Sum
}
