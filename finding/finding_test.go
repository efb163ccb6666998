package finding

import (
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a list that grows with an invalid input, and against findings that repeat large parts of it.
func TestListIsBounded(t *testing.T) {
	is := is.New(t)
	var part, l List
	for i := range 3 * MaxFindings {
		part.Add(strconv.Itoa(i), "must not be %s", strings.Repeat("ü", maxTextBytes))
	}
	for range 3 {
		l.AddUnder("steps", part)
	}
	for _, found := range []List{part, l} {
		is.Equal(len(found), MaxFindings)
		is.True(len(found.Error()) < MaxFindings*2*maxTextBytes)
		is.True(strings.HasSuffix(found[MaxFindings-1].Reason, reasonMore))
		is.Equal(strings.ToValidUTF8(found[0].Reason, "?"), found[0].Reason)
	}
	is.Equal(l[0].Path, "steps.0")
}
