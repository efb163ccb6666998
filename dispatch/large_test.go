package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
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

// BenchmarkStep measures the pass after one end, which lets one task start, while little waits. Most of the cell has
// not changed, so that its size must not show.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{540, 3000} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			t := fullCell(b, workers, 3, 40)
			n, s := t.nodes["w0020"], t.entries["1"].live[0].stages[0]
			s.answers[n.id] = ticket{allowed: true, until: time.Now().Add(time.Hour)}
			for b.Loop() {
				n.free = job.Resources{Millicores: 1100, MemoryMB: 64000}
				n.file()
				t.place(time.Now())
				if r := s.tasks[0].run; r != nil {
					t.free(r)
					s.tasks[0].phase, s.tasks[0].run = phaseWaiting, nil
					s.waiting++
					t.again(s)
				}
			}
		})
	}
}
