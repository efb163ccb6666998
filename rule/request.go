package rule

import (
	"time"

	"turmericgap/job"
)

// TaskResources is what one task of a request needs.
type TaskResources struct {
	Millicores   int64 `expr:"millicores" json:"millicores"`
	MemoryMB     int64 `expr:"memoryMB" json:"memoryMB"`
	Accelerators int64 `expr:"accelerators" json:"accelerators"`
}

// NoDeadline is the SecondsToDeadline of a request without one.
const NoDeadline = 1 << 40

// Request is all that a condition may ask about: a job or a check, and the time.
type Request struct {
	// Check tells a check or session request from a job.
	Check bool `expr:"check" json:"check"`

	Class      string        `expr:"class" json:"class"`
	Team       string        `expr:"team" json:"team"`
	Kind       string        `expr:"kind" json:"kind"`
	Tasks      int           `expr:"tasks" json:"tasks"`
	Gang       bool          `expr:"gang" json:"gang"`
	Urgent     bool          `expr:"urgent" json:"urgent"`
	Repeatable bool          `expr:"repeatable" json:"repeatable"`
	Each       TaskResources `expr:"each" json:"each"`
	// RunSeconds is the declared run time; zero means not declared.
	RunSeconds int64 `expr:"runSeconds" json:"runSeconds"`
	// SecondsToDeadline is NoDeadline for a request without one.
	SecondsToDeadline int64  `expr:"secondsToDeadline" json:"secondsToDeadline"`
	Zone              string `expr:"zone" json:"zone"`

	Service string `expr:"service" json:"service"`
	Method  string `expr:"method" json:"method"`
	// Session says that the request belongs to a session.
	Session bool `expr:"session" json:"session"`

	// Hour is the UTC hour of day, Weekday counts from Sunday as zero, Day is the day of the month.
	Hour    int `expr:"hour" json:"hour"`
	Weekday int `expr:"weekday" json:"weekday"`
	Day     int `expr:"day" json:"day"`
}

// ForJob fills the request with a submission as it stands at now.
func (r *Request) ForJob(now time.Time, s *job.Submission) {
	*r = Request{
		Class: s.Class, Team: s.Team, Kind: string(s.Kind), Tasks: s.Tasks, Gang: s.Gang,
		Urgent: s.Urgent, Repeatable: s.Repeatable, RunSeconds: s.RunSeconds, Zone: s.Zone,
		Each:              TaskResources{s.Each.Millicores, s.Each.MemoryMB, s.Each.Accelerators},
		SecondsToDeadline: NoDeadline,
	}
	if !s.Deadline.IsZero() {
		r.SecondsToDeadline = int64(s.Deadline.Sub(now) / time.Second)
	}
	r.at(now)
}

// ForWork fills the request with a work as it stood when it was accepted. Its class is its queue, its size
// that of the largest task, its run time that of all steps.
func (r *Request) ForWork(w *job.Work) {
	*r = Request{
		Class: w.Queue.Name, Kind: string(job.Batch), Urgent: w.Queue.Priority == 0, Repeatable: true,
		Service: w.Queue.Pool, SecondsToDeadline: NoDeadline,
	}
	var runs time.Duration
	var each job.Resources
	for i := range w.Steps {
		s := &w.Steps[i]
		r.Tasks += s.Tasks
		r.Gang = r.Gang || s.Gang
		if s.Service {
			r.Kind = string(job.Service)
		}
		each = each.Max(s.Each)
		runs += s.Estimate
	}
	r.Each = TaskResources{each.Millicores, each.MemoryMB, each.Accelerators}
	r.RunSeconds = int64(runs / time.Second)
	r.at(w.Accepted)
}

// ForCheck fills the request with a check of a service as it stands at now.
func (r *Request) ForCheck(now time.Time, service, method, team, zone string, session bool) {
	*r = Request{
		Check: true, Service: service, Method: method, Team: team, Zone: zone, Session: session,
		SecondsToDeadline: NoDeadline,
	}
	r.at(now)
}

func (r *Request) at(now time.Time) {
	u := now.UTC()
	r.Hour, r.Weekday, r.Day = u.Hour(), int(u.Weekday()), u.Day()
}
