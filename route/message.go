package route

import (
	"turmericgap/job"
	"turmericgap/planner"
)

// The calls that a scheduler serves, by name.
const (
	CallSubmit = "job.submit"
	CallStatus = "job.status"
	CallWait   = "job.wait"
	CallCancel = "job.cancel"
	CallList   = "job.list"
	CallWhy    = "job.why"
)

// Submit asks the owner of a job's home zone to accept it.
type Submit struct {
	Spec job.Submission `msgpack:"s"`
}

// Ask names a job.
type Ask struct {
	ID string `msgpack:"i"`
}

// Cancel names a job and why it is cancelled.
type Cancel struct {
	ID     string `msgpack:"i"`
	Reason string `msgpack:"r"`
}

// List asks for the jobs of a zone, Most at the most.
type List struct {
	Most int `msgpack:"m"`
}

// Listed is a zone's jobs, without answers.
type Listed struct {
	Jobs []job.Status `msgpack:"j"`
}

// Why tells where a job stands and for which reason.
type Why struct {
	Status      job.Status          `json:"status" msgpack:"s"`
	Explanation planner.Explanation `json:"explanation" msgpack:"e"`
}
