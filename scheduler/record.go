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

// The kinds of records. A snapshot consists of the same kinds as the segments after it.
const (
	kindJob    = "job"
	kindTask   = "task"
	kindCancel = "cancel"
	kindMoved  = "moved"
)

// phase is the durable part of where a task stands.
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

// taskRecord is the whole durable state of one task; a later record replaces an earlier one.
type taskRecord struct {
	Phase   phase  `msgpack:"p"`
	Attempt int    `msgpack:"n,omitempty"`
	Worker  string `msgpack:"w,omitempty"`
	// Boot is the worker's boot when the attempt was intended.
	Boot string `msgpack:"b,omitempty"`
	// Failures counts attempts that failed or were lost; preempted ones do not count.
	Failures int `msgpack:"f,omitempty"`
	// Ran says that an earlier attempt may have done something, so that the task is never notRun.
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

// movedRecord sends the submissions with a key to another zone, where their first one went.
type movedRecord struct {
	Zone string    `msgpack:"z"`
	At   time.Time `msgpack:"t"`
}

func encode(kind, key string, body any) record.Record {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		// Only a type that msgpack cannot write at all comes here, which the first test run shows.
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

// attemptID names an attempt at its worker; it is never used again.
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

// apply changes the state by one durable record; it serves recovery and the running term alike.
func (t *term) apply(r record.Record) error {
	switch r.Kind {
	case kindJob:
		var body jobRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "job record %s", r.Key)
		}
		t.jobs[r.Key] = newEntry(r.Key, body)
	case kindTask:
		id, task, err := splitTaskKey(r.Key)
		if err != nil {
			return err
		}
		var body taskRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "task record %s", r.Key)
		}
		if e := t.jobs[id]; e != nil && task < len(e.tasks) {
			t.set(e, task, body)
		}
	case kindMoved:
		var body movedRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "moved record %s", r.Key)
		}
		t.moved[r.Key] = body
	case kindCancel:
		var body cancelRecord
		if err := msgpack.Unmarshal(r.Data, &body); err != nil {
			return eris.Wrapf(err, "cancel record %s", r.Key)
		}
		if e := t.jobs[r.Key]; e != nil {
			e.cancel = &body
		}
	}
	return nil
}

// snapshot gives the state after exactly the records appended so far, those under way included, as
// the journal asks for it; the loop calls it between two appends.
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
		} else if c := e.cancelling; c != nil {
			out = append(out, encode(kindCancel, id, *c))
		}
	}
	return out
}

// cutSnapshot hands the live state over when the journal asks for it, so that storage and recovery
// follow what is live.
func (t *term) cutSnapshot() {
	if !t.journal.SnapshotDue() {
		return
	}
	if err := t.journal.Snapshot(t.snapshot()); err != nil {
		t.o.Logger.Warn("scheduler: snapshot not taken", zap.Error(err))
	}
}
