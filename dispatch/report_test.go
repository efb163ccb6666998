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
	"turmericgap/tally"
)

// Guards against filling the log with a line per second for each queue that ever existed: only queues with waiting
// work or changes are logged. A work without steps, which another writer may store, must not end the process.
func TestIdleQueuesAreNotLogged(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	tm := &term{
		o: &Options{Metrics: metric.New()}, log: zap.New(core), sizes: aging.New(), tallies: make(tally.Table),
		waitingStages: make(map[*stage]struct{}),
	}
	lines := func() int {
		tm.reportSizes(time.Now())
		n := logs.FilterMessage("dispatch: works by size").Len()
		logs.TakeAll()
		return n
	}
	s := newTestStage(&job.Work{ID: "roster", Queue: job.Queue{Name: "rosters"}, Steps: []job.Step{{Tasks: 1, Gang: true}}})
	tm.recordSize(s.entry)
	tm.recordSize(newEntry(&job.Work{ID: "empty", Queue: job.Queue{Name: "others"}}))
	tm.waitingStages[s] = struct{}{}
	is.Equal(lines(), 2)
	is.Equal(lines(), 1) // the roster still waits
	delete(tm.waitingStages, s)
	is.Equal(lines(), 0)
	tm.countOutcomeOnce(s.entry, tally.Lost)
	is.Equal(lines(), 1)
	is.Equal(lines(), 0)
}
