package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lookTakes is what a look at one worker takes on a VM of a fifth of a core.
const lookTakes = 500 * time.Nanosecond

// 1,500 checks come within two seconds to a cell of 3,000 workers that has room for all of them. Each waits for an
// answer of the policy service, which holds for 1.5 s. If a pass looks at all workers for each step, it takes longer
// than that: the answers have lapsed when the pass comes to them, all is asked again, and nothing starts however
// much room there is, also long after the last caller has come.
func TestManyWorkersAndSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplay(t.Context(), 97, allow, Spend(func(looks int) { time.Sleep(time.Duration(looks) * lookTakes) }))
		r.cell(3000)
		l := &load{rand.New(rand.NewPCG(3, 3)), r}
		const works = 1500
		l.checks(works, 1300*time.Microsecond)
		r.play(12 * time.Second)
		t.Logf("%d of %d works are done", r.ended, works)
		is.Equal(r.ended, works)
	})
}

// An end on one of 3,000 workers lets one task start. Most of what waits has not changed, so that this must not
// cost a look at all of it.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ workers, stages int }{{540, 1}, {3000, 1}} {
		b.Run(fmt.Sprintf("workers=%d/stages=%d", size.workers, size.stages), func(b *testing.B) {
			t := fullCell(b, size.workers, size.stages, 40)
			for b.Loop() {
				t.place(time.Now())
			}
		})
	}
}
