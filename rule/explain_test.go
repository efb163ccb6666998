package rule

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// An explanation is sent over rpc: a process of another version would miss a field whose encoded name has changed.
func TestEncodedNames(t *testing.T) {
	cases := []struct {
		name  string
		value any
		want  string
	}{
		{"explanation", &Explanation{}, "Asked Decided Version"},
		{"rule result", &RuleResult{}, "Failed Holds Rule Values"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			data, err := msgpack.Marshal(c.value)
			is.NoErr(err)
			var fields map[string]any
			is.NoErr(msgpack.Unmarshal(data, &fields))
			is.Equal(strings.Join(slices.Sorted(maps.Keys(fields)), " "), c.want)
		})
	}
}
