package route

import (
	"turmericgap/job"
	"turmericgap/planner"
)

// The calls that a scheduler serves, by name.
const (
	CallSubmit  = "job.submit"
	CallStatus  = "job.status"
	CallWait    = "job.wait"
	CallCancel  = "job.cancel"
	CallList    = "job.list"
	CallExplain = "job.why"
)

// SubmitRequest asks the owner of a job's home zone to accept it.
type SubmitRequest struct {
	Spec job.Submission `msgpack:"s"`
}

// JobRequest names a job.
type JobRequest struct {
	ID string `msgpack:"i"`
}

// CancelRequest names a job and why it is cancelled.
type CancelRequest struct {
	ID     string `msgpack:"i"`
	Reason string `msgpack:"r"`
}

// ListRequest asks for the jobs of a zone, Most at the most.
type ListRequest struct {
	Limit int `msgpack:"m"`
}

// ListReply is a zone's jobs, without answers.
type ListReply struct {
	Jobs []job.Status `msgpack:"j"`
}

// Explanation tells where a job stands and for which reason.
type Explanation struct {
	Status      job.Status          `json:"status" msgpack:"s"`
	Explanation planner.Explanation `json:"explanation" msgpack:"e"`
}
