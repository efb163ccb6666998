package workrecord

import (
	"time"

	"turmericgap/finding"
	"turmericgap/job"
)

// The largest sizes of the parts of a record in bytes, as encoded.
const (
	// TaskBytes is the size of a task that runs, with what is held against it. The ID of a worker has up to 32 bytes.
	TaskBytes = 112
	// memberBytes is the size of a gang's member, whose run may also be unresolved.
	memberBytes = TaskBytes + 80
	// stageBytes is the size of a step of an occurrence without its running tasks.
	stageBytes = 64
	// headBytes is the size of the rest.
	headBytes = 128
	// stepBytes is the size of a step of a work without its strings and lists, numberBytes that of a number.
	stepBytes   = 192
	numberBytes = 9
	// workBytes is the size of a work without its steps and strings.
	workBytes = 512
)

const (
	// plainDivisor divides the size of a record to get the part that its tasks may need for it to list each of them, as
	// older versions read it.
	plainDivisor = 4
	// reserveDivisor divides the size of a record to get the part that is kept for what grows while tasks run.
	reserveDivisor = 8
	// pacedBytes is the size from which records of the same work are paced, and pacePerByte the pause for each byte.
	pacedBytes  = 16 << 10
	pacePerByte = time.Microsecond
)

// IsCompact reports whether a record of at most maxBytes joins tasks whose progress is the same, as there are so many.
func IsCompact(tasks, maxBytes int) bool { return tasks*TaskBytes > maxBytes/plainDivisor }

// Pause returns how long after a record of that size the work's next one may be sent, so that a large work leaves most of
// the link and of the owner's time to others.
func Pause(bytes int) time.Duration {
	if bytes < pacedBytes {
		return 0
	}
	return time.Duration(bytes) * pacePerByte
}

// Usable returns how much of a record of at most maxBytes may be planned for.
func Usable(maxBytes int) int { return maxBytes - maxBytes/reserveDivisor }

// maxOpenOccurrences and maxOpenTasks bound the occurrences of one work that have begun and not ended.
const (
	maxOpenOccurrences = 1024
	maxOpenTasks       = job.MaxSteps * job.MaxStepTasks
)

// taskMemoryBytes is what the owner's memory holds for a task that has not started.
const taskMemoryBytes = 48

// MemoryBytes returns what the owner's memory holds for a work that has not started.
func MemoryBytes(w *job.Work) int64 { return int64(definitionBytes(w) + taskMemoryBytes*w.NumTasks()) }

// definitionBytes returns the size of a work without its progress.
func definitionBytes(w *job.Work) int {
	n := workBytes + len(w.Spec) + len(w.Queue.Name) + len(w.Queue.Pool)
	for i := range w.Steps {
		s := &w.Steps[i]
		n += stepBytes + len(s.Label) + len(s.DataRack) + len(s.Image) + numberBytes*len(s.DependsOn)
	}
	return n
}

// Check returns a finding for each record of a work that cannot be kept within maxBytes, however few of its tasks run at a
// time: services run all at once, and so do the members of a gang.
func Check(w *job.Work, maxBytes int) finding.List {
	var l finding.List
	itself := definitionBytes(w)
	progress, services, largestGang := headBytes, 0, 0
	for i := range w.Steps {
		s := &w.Steps[i]
		progress += stageBytes
		each := TaskBytes
		if s.Gang {
			each = memberBytes
		}
		switch {
		case s.Service:
			services += each * s.Tasks
		case s.Gang:
			largestGang = max(largestGang, each*s.Tasks)
		}
	}
	if itself > maxBytes {
		l.Add("body", "the submission needs %d bytes in the store, which takes at most %d", itself, maxBytes)
	}
	if need := progress + services + max(largestGang, TaskBytes); need > Usable(maxBytes) {
		l.Add("Steps", "the tasks that run at the same time need %d bytes in a record, which has at most %d", need, Usable(maxBytes))
	}
	return l
}

// Room is how far the record of a work may grow. The zero value is an empty record.
type Room struct {
	// recorded is the size of the latest record, taken the largest size of what was added since.
	recorded, taken int
}

// Fits reports whether so many bytes more fit into a record of at most maxBytes.
func (r *Room) Fits(bytes, maxBytes int) bool { return r.recorded+r.taken+bytes <= Usable(maxBytes) }

// Take reserves bytes until the next record.
func (r *Room) Take(bytes int) { r.taken += bytes }

// Recorded notes the size of a new record, which holds all that was added before.
func (r *Room) Recorded(bytes int) { r.recorded, r.taken = bytes, 0 }

// MayOpen reports whether another occurrence of a work may begin beside those that are open in a record of at most maxBytes,
// and if so reserves the bytes for it. Further ones that are due begin as these end.
func (r *Room) MayOpen(w *job.Work, open, maxBytes int) bool {
	bytes := len(w.Steps) * stageBytes
	if open > 0 && (open >= maxOpenOccurrences || (open+1)*w.NumTasks() > maxOpenTasks || !r.Fits(bytes, maxBytes)) {
		return false
	}
	r.Take(bytes)
	return true
}
