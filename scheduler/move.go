package scheduler

import (
	"time"

	"turmericgap/job"
	"turmericgap/record"
	"turmericgap/rpc"
	"turmericgap/worker"
)

// zoneFor gives a zone whose workers could run the job if they were empty, the same for the same VM
// list; empty if there is none.
func (t *term) zoneFor(spec *job.Submission) string {
	zones := make(map[string][]worker.Info)
	for _, w := range t.o.Workers() {
		if w.Zone != t.o.Zone && !w.Leaving {
			zones[w.Zone] = append(zones[w.Zone], w)
		}
	}
	best, most := "", 0
	for zone, workers := range zones {
		n := tasksThatFit(spec, workers)
		need := 1
		if spec.Gang {
			need = spec.Tasks
		}
		if n >= need && (n > most || n == most && zone < best) {
			best, most = zone, n
		}
	}
	return best
}

// tasksThatFit counts the tasks of the job that empty workers hold together, up to all of them.
func tasksThatFit(spec *job.Submission, workers []worker.Info) int {
	n := 0
	for _, w := range workers {
		for free := w.Has; spec.Each.Fits(free) && n < spec.Tasks; n++ {
			free = free.Minus(spec.Each)
		}
	}
	return n
}

// move sends a job that can never run in this zone to another one. That is durable before anyone is
// sent there: a repeat of the key must follow the first, also when this zone could run it by then.
func (t *term) move(id, zone string, now time.Time) accepted {
	wait := make(chan error, 1)
	m := movedRecord{Zone: zone, At: now.UTC()}
	err := t.journal.Append([]record.Record{encode(kindMoved, id, m)}, func(err error) {
		if err != nil {
			wait <- err
			t.fail(err)
			return
		}
		t.post(func() {
			t.moved[id] = m
			delete(t.moving, id)
			close(wait)
		})
	})
	if err != nil {
		return accepted{fault: rpc.Refused(t.o.RetryAfter, "the store takes no records now")}
	}
	t.moving[id] = m
	return accepted{wait: wait, moved: zone}
}
