package day

import (
	"bytes"
	"encoding/json"
	"time"
)

// line is a log line, with the fields that a report needs. Durations are in milliseconds.
type line struct {
	Time  time.Time `json:"time"`
	Msg   string    `json:"msg"`
	VM    string    `json:"vm"`
	ID    string    `json:"id"`
	Queue string    `json:"queue"`
	Zone  string    `json:"zone"`
	Class string    `json:"class"`

	// Of an answer to a caller.
	Method string `json:"method"`
	Status int    `json:"status"`
	Error  string `json:"error"`

	// Of a work.
	State       string  `json:"state"`
	CoreSeconds float64 `json:"coreSeconds"`
	Objective   float64 `json:"objective"`
	Age         float64 `json:"age"`
	BeforeGoal  float64 `json:"beforeGoal"`

	// Of a question or a run.
	Took     float64 `json:"took"`
	Recorded float64 `json:"recorded"`
	Ordered  float64 `json:"ordered"`

	// Of a tenure.
	Fence  int64  `json:"fence"`
	Reason string `json:"reason"`

	// Of the state of the cell.
	Millicores     int64 `json:"millicores"`
	FreeMillicores int64 `json:"freeMillicores"`
	Workers        int   `json:"workers"`
	Usable         int   `json:"usable"`
	Questions      int   `json:"questions"`
	// Lag is how late the owner's loop is, Pass how long the latest pass took.
	Lag  float64 `json:"lag"`
	Pass float64 `json:"pass"`

	// Of works by size: how many steps wait, how many of them can still be in time, and what gangs wait for.
	WaitingSteps  int `json:"waitingSteps"`
	WaitingInTime int `json:"waitingInTime"`

	ForAnswer   int `json:"gangsWaitFor.answer"`
	ForService  int `json:"gangsWaitFor.service"`
	ForRoom     int `json:"gangsWaitFor.room"`
	ForReserved int `json:"gangsWaitFor.reserved"`
	ForRest     int `json:"gangsWaitFor.rest"`
	ForRule     int `json:"gangsWaitFor.rule"`
}

// parse reads a line. What a collector has put before the JSON object is passed over; ok is false for a line
// without one.
func parse(raw []byte) (l *line, ok bool, err error) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return nil, false, nil
	}
	l = &line{}
	if err := json.Unmarshal(raw[at:], l); err != nil {
		return nil, true, err
	}
	return l, true, nil
}

// since gives the moment that many milliseconds before the line.
func (l *line) since(millis float64) time.Time {
	return l.Time.Add(-time.Duration(millis * float64(time.Millisecond)))
}

// waits gives what gangs wait for, by its word.
func (l *line) waits() map[string]int {
	return map[string]int{
		"answer": l.ForAnswer, "service": l.ForService, "room": l.ForRoom, "reserved": l.ForReserved, "rest": l.ForRest, "rule": l.ForRule,
	}
}

// trimmed gives the JSON object of a line.
func trimmed(raw []byte) string {
	return string(bytes.TrimSpace(raw[bytes.IndexByte(raw, '{'):]))
}
