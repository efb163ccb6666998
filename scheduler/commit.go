package scheduler

import (
	"sort"

	"turmericgap/record"

	"go.uber.org/zap"
)

// change is the next durable state of one task.
type change struct {
	e    *entry
	task int
	next taskRecord
}

// save commits changes and applies them when they are durable. When the journal takes no more, the
// tasks stay as they are and the tick tries again.
func (t *term) save(changes []change, then func()) bool {
	records := make([]record.Record, len(changes))
	for i, c := range changes {
		records[i] = encode(kindTask, taskKey(c.e.id, c.task), c.next)
	}
	err := t.journal.Append(records, func(err error) {
		if err != nil {
			t.fail(err)
			return
		}
		t.post(func() {
			for _, c := range changes {
				c.e.tasks[c.task].saving, c.e.tasks[c.task].next = false, taskRecord{}
				t.set(c.e, c.task, c.next)
			}
			then()
		})
	})
	if err != nil {
		return false
	}
	for _, c := range changes {
		c.e.tasks[c.task].saving, c.e.tasks[c.task].next = true, c.next
	}
	return true
}

// fail ends the term after a commit that surely will not come: another owner has the zone.
func (t *term) fail(err error) {
	t.o.Logger.Warn("scheduler: term ends", zap.Int64("epoch", t.epoch), zap.Error(err))
	go t.close(closedContext(), false)
}

// ref names one task.
type ref struct {
	e    *entry
	task int
}

// set replaces a task's durable record and keeps the index of what is held at each worker.
func (t *term) set(e *entry, i int, r taskRecord) {
	k := &e.tasks[i]
	if k.Phase == intended {
		delete(t.held[k.Worker], ref{e, i})
		if len(t.held[k.Worker]) == 0 {
			delete(t.held, k.Worker)
		}
	}
	k.taskRecord = r
	if k.Phase == intended {
		if t.held[k.Worker] == nil {
			t.held[k.Worker] = make(map[ref]bool)
		}
		t.held[k.Worker][ref{e, i}] = true
	}
}

// heldAt gives the tasks whose attempt is held to be at a worker, in a fixed order.
func (t *term) heldAt(workerID string) []ref {
	refs := make([]ref, 0, len(t.held[workerID]))
	for r := range t.held[workerID] {
		refs = append(refs, r)
	}
	sortRefs(refs)
	return refs
}

func sortRefs(refs []ref) {
	sort.Slice(refs, func(i, k int) bool {
		if refs[i].e.id != refs[k].e.id {
			return refs[i].e.id < refs[k].e.id
		}
		return refs[i].task < refs[k].task
	})
}
