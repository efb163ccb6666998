package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/speed"
	"turmericgap/store"
	"turmericgap/worker"
)

const speedsKey = "turmericgap/speeds"

// newUnlikeCell returns a cell of six workers, the last three of which are four times slower than the others.
func newUnlikeCell(t *testing.T, mode string) *cell {
	choices, err := feature.Parse([]string{"speed=" + mode})
	if err != nil {
		t.Fatal(err)
	}
	c := newCell(t, runsFor(time.Second))
	c.features = choices
	c.cluster.SlownessOf = func(w worker.Info) float64 {
		if w.ID >= "w03" {
			return 4
		}
		return 1
	}
	c.addWorkers(6, 4)
	c.startVM("a")
	c.startVM("b")
	return c
}

// learn runs works on all workers until the owner knows their speeds.
func (c *cell) learn(v *vm) {
	for i := range 10 {
		id := fmt.Sprint("work", i)
		c.submit(v, c.newWork(id, job.Step{Tasks: 24, Estimate: time.Second}))
		c.waitForState(v, id, job.WorkCompleted, 30*time.Second)
	}
	time.Sleep(6 * time.Second) // the learned speeds are stored every 5 s
}

// factors returns the published factors by worker.
func (c *cell) factors(v *vm) map[string]float64 {
	report, err := v.front.Features(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	out := make(map[string]float64)
	for _, s := range report.Speeds {
		out[s.Worker] = s.Factor
	}
	return out
}

func (c *cell) storedSpeeds() []store.Pair {
	res, err := c.kv.Store().Range(c.t.Context(), store.Range{Key: speedsKey})
	if err != nil {
		c.t.Fatal(err)
	}
	return res.Pairs
}

// Guards against a new owner that places tasks evenly although the former one had learned the speeds of the workers.
func TestSuccessorKnowsSpeeds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnlikeCell(t, "auto")
		first := c.waitForOwner()
		c.learn(first)
		before := c.factors(first)
		is.Equal(len(before), 6)
		is.True(before["w05"] > 2*before["w00"])
		is.Equal(len(c.storedSpeeds()), 1)
		c.kill(first)
		next := c.waitForSuccessor(first)
		time.Sleep(time.Second)
		after := c.factors(next) // nothing has run meanwhile
		is.Equal(len(after), len(before))
		for id, factor := range before {
			is.True(after[id] > 0.95*factor && after[id] < 1.05*factor)
		}
		report, err := next.front.Features(t.Context())
		is.NoErr(err)
		for _, s := range report.Features {
			is.True(s.Name != feature.Speed || s.Effective)
		}
	})
}

// Guards against a new instance of a worker that is taken for as fast as the one before it, which had its ID.
func TestReplacedWorkerIsUnknown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnlikeCell(t, "auto")
		fast := c.addWorker("w02a", 4)
		v := c.waitForOwner()
		c.learn(v)
		before := c.factors(v)["w02a"]
		is.True(before > 0 && before < 0.8)
		fast.Crash(true)
		time.Sleep(6 * time.Second)
		is.Equal(c.factors(v)["w02a"], 0.0)
	})
}

// Guards against writes to the store for a part that is switched off, and against operators who cannot see the learned
// speeds by which they would switch it on.
func TestSpeedsAreStoredOnlyInEffect(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newUnlikeCell(t, "off")
		v := c.waitForOwner()
		c.learn(v)
		is.Equal(len(c.storedSpeeds()), 0)
		factors := c.factors(v)
		is.Equal(len(factors), 6)
		is.True(factors["w05"] > 2*factors["w00"])
	})
}

// Guards against workers that left before a change of owner and are passed on from owner to owner for ever, and against a
// stored value that cannot be decoded and keeps a new owner from starting.
func TestStoredSpeedsOfFormerOwner(t *testing.T) {
	snapshot, err := msgpack.Marshal(&speed.Snapshot{Workers: []speed.Worker{{ID: "w00", Mean: 0.5, Variance: 0.01}, {ID: "left", Mean: -0.5, Variance: 0.01}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, stored := range map[string][]byte{"readable": snapshot, "damaged": snapshot[:len(snapshot)-3], "another type": {0x93, 1, 2, 3}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				is := is.New(t)
				c := newCell(t, runsFor(time.Second))
				_, err := c.kv.Store().Txn(t.Context(), store.Txn{Then: []store.Op{{Key: speedsKey, Value: stored}}})
				is.NoErr(err)
				c.addWorkers(3, 4)
				c.startVM("a")
				v := c.waitForOwner()
				time.Sleep(time.Second)
				if name == "readable" {
					is.Equal(len(c.factors(v)), 2)
					time.Sleep(6 * time.Second)
					is.True(c.factors(v)["w00"] > 1.5)
				}
				is.Equal(c.factors(v)["left"], 0.0)
				c.submit(v, c.newWork("work", job.Step{Tasks: 3}))
				c.waitForState(v, "work", job.WorkCompleted, 10*time.Second)
			})
		})
	}
}
