package scheduler

import (
	"time"

	"turmericgap/job"
	"turmericgap/record"
	"turmericgap/rpc"
	"turmericgap/worker"
)

// fittingZone returns a zone whose workers could run the job if they were empty, or the empty string if there is
// none. The result depends only on the VM list.
func (t *term) fittingZone(spec *job.Submission) string {
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

// tasksThatFit counts how many tasks of the job the workers could hold together if they were empty.
func tasksThatFit(spec *job.Submission, workers []worker.Info) int {
	n := 0
	for _, w := range workers {
		for free := w.Has; spec.TaskResources.FitsIn(free) && n < spec.Tasks; n++ {
			free = free.Minus(spec.TaskResources)
		}
	}
	return n
}

// move redirects a job that can never run in this zone to another zone. The move is made durable before the caller
// is redirected, because a repeated submission of the key must go to the same zone even if this zone could run the
// job by then.
func (t *term) move(id, zone string, now time.Time) submitResult {
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
		return submitResult{fault: rpc.Refused(t.o.RetryAfter, "the store takes no records now")}
	}
	t.moving[id] = m
	return submitResult{wait: wait, moved: zone}
}
