package presence_test

import (
	"bytes"
	"cmp"
	"fmt"
	"testing"
	"text/tabwriter"
	"time"

	"turmericgap/presence"
	"turmericgap/standin/golden"
)

// Guards against ending a run that may still be on its worker or start there: the table holds the proof for each state
// of a run that its worker does not list.
func TestUnlisted(t *testing.T) {
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "confirmed\tuncertain\trecovered\tclock\tproof")
	const expires = 2 * time.Second
	for i := range 8 {
		r := presence.Run{Confirmed: i&4 > 0, Uncertain: i&2 > 0, Recovered: i&1 > 0, Expires: expires}
		for _, clock := range []time.Duration{expires - time.Millisecond, expires, expires + time.Millisecond} {
			proof, _ := r.Unlisted(clock)
			fmt.Fprintf(w, "%v\t%v\t%v\t%+v\t%s\n", r.Confirmed, r.Uncertain, r.Recovered, clock-expires, cmp.Or(proof, "none"))
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "testdata/unlisted.golden", out.Bytes())
}
