package rule

import (
	"time"

	"turmericgap/job"
)

// TaskResources are the resources that one task of a request needs.
type TaskResources struct {
	Millicores   int64 `expr:"millicores" json:"millicores"`
	MemoryMB     int64 `expr:"memoryMB" json:"memoryMB"`
	Accelerators int64 `expr:"accelerators" json:"accelerators"`
}

// NoDeadline is the value of SecondsToDeadline for a request without a deadline.
const NoDeadline = 1 << 40

// Request holds all fields that a condition may read: those of a job or a check, and the time.
type Request struct {
	// Check is true for a check or session request and false for a job.
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
	// SecondsToDeadline is NoDeadline for a request without a deadline.
	SecondsToDeadline int64  `expr:"secondsToDeadline" json:"secondsToDeadline"`
	Zone              string `expr:"zone" json:"zone"`

	Service string `expr:"service" json:"service"`
	Method  string `expr:"method" json:"method"`
	// Session is true if the request belongs to a session.
	Session bool `expr:"session" json:"session"`

	// Hour is the hour of the day in UTC, Weekday counts from Sunday as zero, and Day is the day of the month.
	Hour    int `expr:"hour" json:"hour"`
	Weekday int `expr:"weekday" json:"weekday"`
	Day     int `expr:"day" json:"day"`
}

// ForJob sets the request from a submission, as of now.
func (r *Request) ForJob(now time.Time, s *job.Submission) {
	*r = Request{
		Class: s.Class, Team: s.Team, Kind: string(s.Kind), Tasks: s.Tasks, Gang: s.Gang,
		Urgent: s.Urgent, Repeatable: s.Repeatable, RunSeconds: s.RunSeconds, Zone: s.Zone,
		Each:              TaskResources{s.TaskResources.Millicores, s.TaskResources.MemoryMB, s.TaskResources.Accelerators},
		SecondsToDeadline: NoDeadline,
	}
	if !s.Deadline.IsZero() {
		r.SecondsToDeadline = int64(s.Deadline.Sub(now) / time.Second)
	}
	r.setTime(now)
}

// ForWork sets the request from a work, as of its acceptance. The class is the name of its queue, the team that of
// its client account, the size that of its largest task, and the run time the sum over all steps.
func (r *Request) ForWork(w *job.Work) {
	*r = Request{
		Class: w.Queue.Name, Team: w.Account, Kind: string(job.Batch), Urgent: w.Queue.Priority == 0, Repeatable: true,
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
		each = each.Max(s.TaskResources)
		runs += s.Estimate
	}
	r.Each = TaskResources{each.Millicores, each.MemoryMB, each.Accelerators}
	r.RunSeconds = int64(runs / time.Second)
	r.setTime(w.Accepted)
}

// ForCheck sets the request from a check of a service, as of now.
func (r *Request) ForCheck(now time.Time, service, method, team, zone string, session bool) {
	*r = Request{
		Check: true, Service: service, Method: method, Team: team, Zone: zone, Session: session,
		SecondsToDeadline: NoDeadline,
	}
	r.setTime(now)
}

func (r *Request) setTime(now time.Time) {
	u := now.UTC()
	r.Hour, r.Weekday, r.Day = u.Hour(), int(u.Weekday()), u.Day()
}
