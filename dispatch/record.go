package dispatch

import (
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/crash"
	"turmericgap/job"
	"turmericgap/tuple"
)

// Keys of the store. A work is stored under workPrefix from acceptance until its end, and its progress under
// statePrefix from its first start. At the end a short record under endedPrefix replaces both.
const (
	root        = "turmericgap/"
	workPrefix  = root + "work/"
	statePrefix = root + "state/"
	endedPrefix = root + "ended/"
	// refusedPrefix holds the IDs of refused works for a while, so that no earlier submission can create them.
	refusedPrefix = root + "refused/"
	// wavePrefix holds, for each maintenance wave, the VMs whose maintenance has begun.
	wavePrefix = root + "wave/"
	// commitPrefix holds one key per commit stream, which every commit of that stream compares and rewrites.
	commitPrefix = root + "commit/"
)

// phase is how far a task has got.
type phase uint8

const (
	phaseWaiting phase = iota
	// phaseStarted means that the task may be running on its worker.
	phaseStarted
	phaseDone
)

// progress is the durable state of a work that has not ended.
type progress struct {
	State job.WorkState `msgpack:"s"`
	// Runs is the highest run number used by any of its tasks.
	Runs int64 `msgpack:"r"`
	// Begun counts the occurrences that have begun; Live holds those that have not ended.
	Begun int                `msgpack:"b"`
	Live  []occurrenceRecord `msgpack:"l"`
	// Failure is why the work failed; empty unless it did.
	Failure failureReason `msgpack:"f,omitempty"`
}

type occurrenceRecord struct {
	Number int           `msgpack:"k"`
	Steps  []stageRecord `msgpack:"s"`
}

type stageRecord struct {
	// Fails counts the failed runs of a gang; Failing is true if a member of its present run has failed.
	Fails   int  `msgpack:"f,omitempty"`
	Failing bool `msgpack:"g,omitempty"`
	// Unresolved lists ended runs of a gang that a worker may still report as failed.
	Unresolved []unresolvedRecord `msgpack:"u,omitempty"`
	// Crashes lists the tasks that were lost with a worker.
	Crashes []crashRecord `msgpack:"c,omitempty"`
	Tasks   []taskRecord  `msgpack:"t"`
}

// crashRecord is what is held against a task because of crashes.
type crashRecord struct {
	Task   int          `msgpack:"t"`
	Record crash.Record `msgpack:"r"`
}

type unresolvedRecord struct {
	Run    int64  `msgpack:"r"`
	Worker string `msgpack:"w"`
}

type taskRecord struct {
	Phase      phase
	Run        int64
	Worker     string
	Fails      int
	Checkpoint string
	// Born is the worker instance that the run was started on, zero if unknown. Records of older versions lack it.
	Born int64
}

// EncodeMsgpack implements msgpack.CustomEncoder. Without an instance, older versions can decode the record.
func (r *taskRecord) EncodeMsgpack(e *msgpack.Encoder) error {
	if r.Born == 0 {
		return tuple.Encode(e, r.Phase, r.Run, r.Worker, r.Fails, r.Checkpoint)
	}
	return tuple.Encode(e, r.Phase, r.Run, r.Worker, r.Fails, r.Checkpoint, r.Born)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *taskRecord) DecodeMsgpack(d *msgpack.Decoder) error {
	return tuple.Decode(d, &r.Phase, &r.Run, &r.Worker, &r.Fails, &r.Checkpoint, &r.Born)
}

// Ended is the record that remains of a work after its end.
type Ended struct {
	State job.WorkState `msgpack:"s"`
	At    time.Time     `msgpack:"a"`
	// Queue is the name of the work's queue, Account that of its client account.
	Queue   string `msgpack:"q"`
	Account string `msgpack:"u,omitempty"`
	// Failure is why the work failed; empty unless it did.
	Failure failureReason `msgpack:"f,omitempty"`
}

// failureReason is why a work failed, as written to the log and to the record of its end.
type failureReason string

const (
	// failureAttempts means that a task has failed in all permitted attempts.
	failureAttempts failureReason = "attemptsFailed"
	// failureCrashes means that a task has crashed the workers that started it.
	failureCrashes failureReason = "workersCrashed"
)

func encode(v any) []byte {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		// Encoding fails only for unsupported types, which no input can cause.
		panic(err)
	}
	return raw
}

func idFromKey(key, prefix string) string { return strings.TrimPrefix(key, prefix) }
