package workrecord

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"turmericgap/crash"
	"turmericgap/job"
	"turmericgap/tuple"
)

// Keys of the store. A work is stored under WorkPrefix from acceptance until its end, and its progress under
// StatePrefix from its first start. At the end a short record under EndedPrefix replaces both.
const (
	root        = "turmericgap/"
	WorkPrefix  = root + "work/"
	StatePrefix = root + "state/"
	EndedPrefix = root + "ended/"
	// RefusedPrefix holds the IDs of refused works for a while, so that no earlier submission can create them.
	RefusedPrefix = root + "refused/"
	// WavePrefix holds, for each maintenance wave, the VMs whose maintenance has begun.
	WavePrefix = root + "wave/"
	// SpeedsKey holds the learned speeds of the workers.
	SpeedsKey = root + "speeds"
	// CommitPrefix holds one key per commit stream, which every commit of that stream compares and rewrites.
	CommitPrefix = root + "commit/"
)

// Phase is how far a task has got.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota
	// Started means that the task may be running on its worker.
	Started
	Done
)

// Progress is the durable state of a work that has not ended.
type Progress struct {
	State job.WorkState `msgpack:"s"`
	// Runs is the highest run number used by any of its tasks.
	Runs int64 `msgpack:"r"`
	// Begun counts the occurrences that have begun; Live holds those that have not ended.
	Begun int          `msgpack:"b"`
	Live  []Occurrence `msgpack:"l"`
	// Failure is why the work failed; empty unless it did.
	Failure Failure `msgpack:"f,omitempty"`
}

// Occurrence is the progress of one occurrence of a work.
type Occurrence struct {
	Number int     `msgpack:"k"`
	Steps  []Stage `msgpack:"s"`
}

// Stage is the progress of one step.
type Stage struct {
	// Fails counts the failed runs of a gang; Failing is true if a member of its present run has failed.
	Fails   int  `msgpack:"f,omitempty"`
	Failing bool `msgpack:"g,omitempty"`
	// Unresolved lists ended runs of a gang that a worker may still report as failed.
	Unresolved []Unresolved `msgpack:"u,omitempty"`
	// Crashes lists the tasks that were lost with a worker.
	Crashes []Crash `msgpack:"c,omitempty"`
	Tasks   Tasks   `msgpack:"t"`
}

// Tasks is the progress of the tasks of a step, by index.
type Tasks []Task

// Append adds the progress of the next task. A compact record keeps no more of a task without a run than a successor
// needs, and joins neighbours that are alike.
func (t *Tasks) Append(r Task, compact bool) {
	if compact && r.Phase != Started {
		r.Run = min(r.Run, 1) // that it has run before
		if r.Phase == Done {
			r.Fails, r.Checkpoint = 0, ""
		}
		if last := len(*t) - 1; last >= 0 {
			before := (*t)[last]
			if before.more = 0; before == r {
				(*t)[last].more++
				return
			}
		}
	}
	*t = append(*t, r)
}

// Same returns the progress of n tasks that are alike.
func Same(r Task, n int) Tasks {
	r.more = n - 1
	return Tasks{r}
}

// joinedKey is the key of the only entry of the map that holds joined tasks.
const joinedKey = "joined"

// EncodeMsgpack implements msgpack.CustomEncoder. Joined tasks are encoded in a map, each after the number of tasks that
// follow in the same state. Older versions reject it: if they read no tasks, they would start them all again.
func (t Tasks) EncodeMsgpack(e *msgpack.Encoder) error {
	joined := slices.ContainsFunc(t, func(r Task) bool { return r.more > 0 })
	length := len(t)
	if joined {
		length *= 2
		if err := errors.Join(e.EncodeMapLen(1), e.EncodeString(joinedKey)); err != nil {
			return err
		}
	}
	err := e.EncodeArrayLen(length)
	for i := 0; i < len(t) && err == nil; i++ {
		if joined {
			err = e.EncodeInt(int64(t[i].more))
		}
		err = errors.Join(err, t[i].EncodeMsgpack(e))
	}
	return err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (t *Tasks) DecodeMsgpack(d *msgpack.Decoder) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsFixedMap(code) {
		return d.Decode((*[]Task)(t))
	}
	if _, err := d.DecodeMapLen(); err != nil {
		return err
	}
	key, err := d.DecodeString()
	if err == nil && key != joinedKey {
		err = fmt.Errorf("the tasks of a step are a map with the key %q, want %q", key, joinedKey)
	}
	if err != nil {
		return err
	}
	n, err := d.DecodeArrayLen()
	*t = nil
	for i := 0; i < n && err == nil; i += 2 {
		var more int
		var r Task
		if err = d.DecodeMulti(&more, &r); err == nil && (more < 0 || more >= job.MaxStepTasks-len(*t)) {
			err = fmt.Errorf("%d tasks follow task %d of a step, which has %d at most", more, len(*t), job.MaxStepTasks)
		}
		if err == nil {
			*t = append(*t, slices.Repeat([]Task{r}, more+1)...)
		}
	}
	return err
}

// Crash is what is held against a task because of crashes.
type Crash struct {
	Task   int          `msgpack:"t"`
	Record crash.Record `msgpack:"r"`
}

// Unresolved is an ended run of a gang that a worker may still report as failed.
type Unresolved struct {
	Run    int64  `msgpack:"r"`
	Worker string `msgpack:"w"`
}

// Task is the progress of one task.
type Task struct {
	Phase      Phase
	Run        int64
	Worker     string
	Fails      int
	Checkpoint string
	// Born is the worker instance that the run was started on, zero if unknown. Records of older versions lack it.
	Born int64
	// LostWith is the latest worker instance whose loss has been weighed against the task for this run, zero if none.
	// Records of older versions lack it.
	LostWith int64

	// more is how many tasks follow in the same state.
	more int
}

// EncodeMsgpack implements msgpack.CustomEncoder. Without an instance, older versions can decode the record.
func (r *Task) EncodeMsgpack(e *msgpack.Encoder) error {
	switch {
	case r.LostWith != 0:
		return tuple.Encode(e, r.Phase, r.Run, r.Worker, r.Fails, r.Checkpoint, r.Born, r.LostWith)
	case r.Born != 0:
		return tuple.Encode(e, r.Phase, r.Run, r.Worker, r.Fails, r.Checkpoint, r.Born)
	}
	return tuple.Encode(e, r.Phase, r.Run, r.Worker, r.Fails, r.Checkpoint)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Task) DecodeMsgpack(d *msgpack.Decoder) error {
	return tuple.Decode(d, &r.Phase, &r.Run, &r.Worker, &r.Fails, &r.Checkpoint, &r.Born, &r.LostWith)
}

// Ended is the record that remains of a work after its end.
type Ended struct {
	State job.WorkState `msgpack:"s"`
	At    time.Time     `msgpack:"a"`
	// Queue is the name of the work's queue, Account that of its client account.
	Queue   string `msgpack:"q"`
	Account string `msgpack:"u,omitempty"`
	// Failure is why the work failed; empty unless it did.
	Failure Failure `msgpack:"f,omitempty"`
}

// Failure is why a work failed, as written to the log and to the record of its end.
type Failure string

const (
	// AttemptsFailed means that a task has failed in all permitted attempts.
	AttemptsFailed Failure = "attemptsFailed"
	// RecordTooLarge means that the store does not take the record of the work's progress.
	RecordTooLarge Failure = "recordTooLarge"
	// WorkersCrashed means that a task has crashed the workers that started it.
	WorkersCrashed Failure = "workersCrashed"
)

// Encode returns the stored form of a record.
func Encode(v any) []byte {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		// Encoding fails only for unsupported types, which no input can cause.
		panic(err)
	}
	return raw
}

// IDFromKey returns the ID in a key with a prefix.
func IDFromKey(key, prefix string) string { return strings.TrimPrefix(key, prefix) }
