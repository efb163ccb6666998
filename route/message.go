package route

import (
	"turmericgap/job"
	"turmericgap/planner"
)

// Names of the calls that a scheduler serves.
const (
	CallSubmit  = "job.submit"
	CallStatus  = "job.status"
	CallWait    = "job.wait"
	CallCancel  = "job.cancel"
	CallList    = "job.list"
	CallExplain = "job.why"
)

// SubmitRequest asks the owner of a job's home zone to accept the job.
type SubmitRequest struct {
	Spec job.Submission `msgpack:"s"`
}

// JobRequest identifies a job by its ID.
type JobRequest struct {
	ID string `msgpack:"i"`
}

// CancelRequest identifies the job to cancel and gives the reason.
type CancelRequest struct {
	ID     string `msgpack:"i"`
	Reason string `msgpack:"r"`
}

// ListRequest asks for at most Limit jobs of a zone.
type ListRequest struct {
	Limit int `msgpack:"m"`
}

// ListReply contains the jobs of a zone, without their answers.
type ListReply struct {
	Jobs []job.Status `msgpack:"j"`
}

// Explanation contains the status of a job and the reasons for it.
type Explanation struct {
	Status      job.Status          `json:"status" msgpack:"s"`
	Explanation planner.Explanation `json:"explanation" msgpack:"e"`
}
