package tuple_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/tuple"
)

// Guards against rejecting a record of an older or newer version, and against reading what follows it wrongly.
func TestDecode(t *testing.T) {
	for _, elements := range [][]any{{}, {7}, {7, "w"}, {7, "w", 3.5, []int{1}}} {
		is := is.New(t)
		var raw bytes.Buffer
		e := msgpack.NewEncoder(&raw)
		is.NoErr(tuple.Encode(e, elements...))
		is.NoErr(e.Encode("next"))
		d := msgpack.NewDecoder(&raw)
		number, name, next := 0, "unset", ""
		is.NoErr(tuple.Decode(d, &number, &name))
		is.NoErr(d.Decode(&next))
		is.Equal(number, map[bool]int{true: 7}[len(elements) > 0])
		is.Equal(name == "w", len(elements) > 1)
		is.Equal(next, "next")
	}
}
