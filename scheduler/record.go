package scheduler

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/record"
)

// Record kinds. A snapshot uses the same kinds as the segments after it.
const (
	kindJob    = "job"
	kindTask   = "task"
	kindCancel = "cancel"
	kindMoved  = "moved"
)

// phase is the durable state of a task.
type phase uint8

const (
	pending phase = iota
	// intended means that an attempt may have been sent to its worker.
	intended
	final
)

type jobRecord struct {
	Spec     job.Submission `msgpack:"s"`
	Accepted time.Time      `msgpack:"a"`
	Parent   string         `msgpack:"p,omitempty"`
}

// taskRecord is the complete durable state of one task; a later record replaces an earlier one.
type taskRecord struct {
	Phase   phase  `msgpack:"p"`
	Attempt int    `msgpack:"n,omitempty"`
	Worker  string `msgpack:"w,omitempty"`
	// Boot is the worker's boot when the intent was recorded.
	Boot string `msgpack:"b,omitempty"`
	// Failures counts attempts that failed or were lost. Preempted attempts do not count.
	Failures int `msgpack:"f,omitempty"`
	// Ran is set if an earlier attempt may have had effects; the outcome of the task is then never notRun.
	Ran        bool        `msgpack:"r,omitempty"`
	Outcome    job.Outcome `msgpack:"o,omitempty"`
	Reason     string      `msgpack:"y,omitempty"`
	Answer     *job.Answer `msgpack:"a,omitempty"`
	Checkpoint []byte      `msgpack:"c,omitempty"`
	Ended      time.Time   `msgpack:"e,omitempty"`
}

type cancelRecord struct {
	Reason string    `msgpack:"r"`
	At     time.Time `msgpack:"t"`
}

// movedRecord redirects submissions of a key to the zone that took the first one.
type movedRecord struct {
	Zone string    `msgpack:"z"`
	At   time.Time `msgpack:"t"`
}

func encode(kind, key string, body any) record.Record {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		// Encoding fails only for types that msgpack does not support, which any test run would show.
		panic(err)
	}
	return record.Record{Kind: kind, Key: key, Data: raw}
}

func taskKey(id string, task int) string { return id + "/" + strconv.Itoa(task) }

func splitTaskKey(key string) (id string, task int, err error) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return "", 0, eris.Errorf("task key %q has no index", key)
	}
	task, err = strconv.Atoi(key[at+1:])
	return key[:at], task, err
}

// attemptID returns the ID of an attempt at its worker. IDs are never reused.
func attemptID(id string, task, attempt int) string {
	return taskKey(id, task) + "/" + strconv.Itoa(attempt)
}

func splitAttemptID(s string) (id string, task, attempt int, err error) {
	at := strings.LastIndexByte(s, '/')
	if at < 0 {
		return "", 0, 0, eris.Errorf("attempt %q has no number", s)
	}
	if attempt, err = strconv.Atoi(s[at+1:]); err != nil {
		return "", 0, 0, err
	}
	id, task, err = splitTaskKey(s[:at])
	return id, task, attempt, err
}

// apply applies one durable record to the state, both during recovery and in the running term.
func (t *term) apply(r record.Record) error {
	switch r.Kind {
	case kindJob:
		var body jobRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "decode job record %s", r.Key)
		}
		t.jobs[r.Key] = newEntry(r.Key, body)
	case kindTask:
		id, task, err := splitTaskKey(r.Key)
		if err != nil {
			return err
		}
		var body taskRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "decode task record %s", r.Key)
		}
		if e := t.jobs[id]; e != nil && task < len(e.tasks) {
			t.set(e, task, body)
		}
	case kindMoved:
		var body movedRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "decode moved record %s", r.Key)
		}
		t.moved[r.Key] = body
	case kindCancel:
		var body cancelRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "decode cancel record %s", r.Key)
		}
		if e := t.jobs[r.Key]; e != nil {
			e.cancel = &body
		}
	}
	return nil
}

// snapshot returns the state after exactly the records appended so far, including those still being committed, as
// the journal requires. The loop calls it between two appends.
func (t *term) snapshot() []record.Record {
	var out []record.Record
	for _, moved := range []map[string]movedRecord{t.moved, t.moving} {
		for id, m := range moved {
			out = append(out, encode(kindMoved, id, m))
		}
	}
	for id, e := range t.jobs {
		out = append(out, encode(kindJob, id, e.jobRecord))
		for i := range e.tasks {
			k := &e.tasks[i]
			r := k.taskRecord
			if k.saving {
				r = k.next
			}
			if r.Phase != pending || r.Attempt > 0 {
				out = append(out, encode(kindTask, taskKey(id, i), r))
			}
		}
		if c := e.cancel; c != nil {
			out = append(out, encode(kindCancel, id, *c))
		} else if c := e.pendingCancel; c != nil {
			out = append(out, encode(kindCancel, id, *c))
		}
	}
	return out
}

// snapshotIfDue writes a snapshot when the journal asks for one, so that storage and recovery time depend on the
// live state only.
func (t *term) snapshotIfDue() {
	if !t.journal.SnapshotDue() {
		return
	}
	if err := t.journal.Snapshot(t.snapshot()); err != nil {
		t.o.Logger.Warn("scheduler: snapshot failed", zap.Error(err))
	}
}
