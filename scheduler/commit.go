package scheduler

import (
	"sort"

	"turmericgap/record"

	"go.uber.org/zap"
)

// change is a new durable state of one task.
type change struct {
	e    *entry
	task int
	next taskRecord
}

// save commits changes and applies them once they are durable. If the journal is full, it returns false and leaves
// the tasks unchanged; the next tick retries.
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

// fail ends the term after a commit has definitely failed, which means that another process owns the zone.
func (t *term) fail(err error) {
	t.o.Logger.Warn("scheduler: term ended by a failed commit", zap.Int64("epoch", t.epoch), zap.Error(err))
	go t.close(canceledContext(), false)
}

// taskRef identifies a task.
type taskRef struct {
	e    *entry
	task int
}

// set replaces a task's durable record and updates the index of tasks by worker.
func (t *term) set(e *entry, i int, r taskRecord) {
	k := &e.tasks[i]
	if k.Phase == intended {
		delete(t.byWorker[k.Worker], taskRef{e, i})
		if len(t.byWorker[k.Worker]) == 0 {
			delete(t.byWorker, k.Worker)
		}
	}
	k.taskRecord = r
	if k.Phase == intended {
		if t.byWorker[k.Worker] == nil {
			t.byWorker[k.Worker] = make(map[taskRef]bool)
		}
		t.byWorker[k.Worker][taskRef{e, i}] = true
	}
}

// tasksAt returns the tasks whose current attempt is assigned to a worker, in a fixed order.
func (t *term) tasksAt(workerID string) []taskRef {
	refs := make([]taskRef, 0, len(t.byWorker[workerID]))
	for r := range t.byWorker[workerID] {
		refs = append(refs, r)
	}
	sortRefs(refs)
	return refs
}

func sortRefs(refs []taskRef) {
	sort.Slice(refs, func(i, k int) bool {
		if refs[i].e.id != refs[k].e.id {
			return refs[i].e.id < refs[k].e.id
		}
		return refs[i].task < refs[k].task
	})
}
