package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"turmericgap/aging"
	"turmericgap/job"
	"turmericgap/metric"
)

// The queues of a cell come and go all day. If each that was ever there had its lines each second, they would fill
// the log; only what waits or has changed is told of. A work that another writer left without steps ends nothing.
func TestQuietQueuesAreNotLogged(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	tm := &term{
		o: &Options{Metrics: metric.New()}, log: zap.New(core), sizes: aging.New(), tallies: make(map[sizeClass]*tally),
		waitingStages: make(map[*stage]struct{}),
	}
	lines := func() int {
		tm.reportSizes(time.Now())
		n := logs.FilterMessage("dispatch: works by size").Len()
		logs.TakeAll()
		return n
	}
	s := stageOf(&job.Work{ID: "roster", Queue: job.Queue{Name: "rosters"}, Steps: []job.Step{{Tasks: 1, Gang: true}}})
	tm.recordSize(s.entry)
	tm.recordSize(newEntry(&job.Work{ID: "empty", Queue: job.Queue{Name: "others"}}))
	tm.waitingStages[s] = struct{}{}
	is.Equal(lines(), 2)
	is.Equal(lines(), 1) // the roster waits
	delete(tm.waitingStages, s)
	is.Equal(lines(), 0)
	tm.countOutcomeOnce(s.entry, outcomeLost)
	is.Equal(lines(), 1)
	is.Equal(lines(), 0)
}
