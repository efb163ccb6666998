package dispatch

import (
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/job"
)

// Keys of the store. A Work lies under workPrefix from its acceptance to its end, its progress under
// statePrefix from its first start; both are replaced by a short record under endedPrefix.
const (
	root        = "turmericgap/"
	workPrefix  = root + "work/"
	statePrefix = root + "state/"
	endedPrefix = root + "ended/"
	// wavePrefix holds, for each wave of upkeep, which of its VMs have begun theirs.
	wavePrefix = root + "wave/"
	// commitPrefix holds a key for each lane of commits, which every commit of the lane rewrites and
	// compares.
	commitPrefix = root + "commit/"
)

// phase is where a task stands.
type phase uint8

const (
	phaseWaiting phase = iota
	// phaseStarted means that the task may run on its worker.
	phaseStarted
	phaseDone
)

// progress is the durable state of a live Work.
type progress struct {
	State job.WorkState `msgpack:"s"`
	// Runs is the highest number that a start of one of its tasks has used.
	Runs int64 `msgpack:"r"`
	// Begun counts the occurrences that have begun; Live holds those that have not ended.
	Begun int                `msgpack:"b"`
	Live  []occurrenceRecord `msgpack:"l"`
}

type occurrenceRecord struct {
	Number int           `msgpack:"k"`
	Steps  []stageRecord `msgpack:"s"`
}

type stageRecord struct {
	// Fails counts the failed runs of a gang; Failing says that a member of its present run has failed.
	Fails   int  `msgpack:"f,omitempty"`
	Failing bool `msgpack:"g,omitempty"`
	// Unresolved lists runs of a gang that are over and may still turn out to have failed.
	Unresolved []unresolvedRecord `msgpack:"u,omitempty"`
	Tasks      []taskRecord       `msgpack:"t"`
}

type unresolvedRecord struct {
	Run    int64  `msgpack:"r"`
	Worker string `msgpack:"w"`
}

type taskRecord struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Phase      phase
	Run        int64
	Worker     string
	Fails      int
	Checkpoint string
}

// Ended is what is kept of a Work after its end.
type Ended struct {
	State job.WorkState `msgpack:"s"`
	At    time.Time     `msgpack:"a"`
	// Queue names the queue that held it.
	Queue string `msgpack:"q"`
}

func encode(v any) []byte {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		// Only types that cannot be encoded fail, which no input can cause.
		panic(err)
	}
	return raw
}

func idFromKey(key, prefix string) string { return strings.TrimPrefix(key, prefix) }
