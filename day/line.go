package day

import (
	"bytes"
	"encoding/json"
	"time"
)

// line is a log line with the fields that a report needs. Durations are in milliseconds.
type line struct {
	Time  time.Time `json:"time"`
	Msg   string    `json:"msg"`
	VM    string    `json:"vm"`
	ID    string    `json:"id"`
	Queue string    `json:"queue"`
	Zone  string    `json:"zone"`
	Class string    `json:"class"`

	// Fields of an answer to a caller.
	Method string `json:"method"`
	Status int    `json:"status"`
	Error  string `json:"error"`

	// Fields of a work.
	State       string  `json:"state"`
	CoreSeconds float64 `json:"coreSeconds"`
	Objective   float64 `json:"objective"`
	Age         float64 `json:"age"`
	Account     string  `json:"account"`
	Surplus     bool    `json:"surplus"`
	BeforeGoal  float64 `json:"beforeGoal"`

	// Fields of a permit request or a run.
	Took     float64 `json:"took"`
	Recorded float64 `json:"recorded"`
	Ordered  float64 `json:"ordered"`

	// Fields of a permit response: the workers named and allowed, those of them without room, the waiting tasks, and how
	// many of these fit on allowed workers. Full and Room are nil if the line does not have them.
	Named   int  `json:"named"`
	Allowed int  `json:"allowed"`
	Full    *int `json:"full"`
	Tasks   int  `json:"tasks"`
	Room    *int `json:"room"`

	// Fields of a run: After is its duration. Gang is nil if the line does not tell.
	Worker string  `json:"worker"`
	Run    int64   `json:"run"`
	How    string  `json:"how"`
	After  float64 `json:"after"`
	Gang   *bool   `json:"gang"`

	// Fields of a work that was given up because of crashes.
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Task       int `json:"task"`
	Crashes    int `json:"crashes"`
	Losses     int `json:"losses"`

	// Fields of a tenure.
	Fence  int64  `json:"fence"`
	Reason string `json:"reason"`

	// Fields of the state of the cell.
	Millicores     int64 `json:"millicores"`
	FreeMillicores int64 `json:"freeMillicores"`
	Workers        int   `json:"workers"`
	Usable         int   `json:"usable"`
	Questions      int   `json:"questions"`
	// Lag is the delay of the owner's loop, Pass the duration of the latest scheduling pass.
	Lag  float64 `json:"lag"`
	Pass float64 `json:"pass"`

	// Fields of works by size: waiting steps, those of them that can still meet their objective, and gangs by the
	// reason they wait for.
	WaitingSteps  int `json:"waitingSteps"`
	WaitingInTime int `json:"waitingInTime"`

	ForAnswer   int `json:"gangsWaitFor.answer"`
	ForService  int `json:"gangsWaitFor.service"`
	ForRoom     int `json:"gangsWaitFor.room"`
	ForReserved int `json:"gangsWaitFor.reserved"`
	ForRest     int `json:"gangsWaitFor.rest"`
	ForRule     int `json:"gangsWaitFor.rule"`
	ForCap      int `json:"gangsWaitFor.cap"`

	// Fields of a version of the configuration that came into force; Previous is zero for the first one of a process.
	Version     int64   `json:"version"`
	Previous    int64   `json:"previous"`
	From        string  `json:"from"`
	Within      float64 `json:"within"`
	StoreSilent float64 `json:"storeSilent"`

	// Fields of an account: its waiting steps that its cap holds back.
	WaitingForCap int `json:"waitingForCap"`
}

// parse decodes a line and skips any prefix that a log collector has added before the JSON object. It returns false
// for a line without an object.
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

// millisBefore returns the time that many milliseconds before the line was logged.
func (l *line) millisBefore(millis float64) time.Time {
	return l.Time.Add(-time.Duration(millis * float64(time.Millisecond)))
}

// gangWaits returns the number of waiting gangs by reason.
func (l *line) gangWaits() map[string]int {
	return map[string]int{
		"answer": l.ForAnswer, "service": l.ForService, "room": l.ForRoom, "reserved": l.ForReserved, "rest": l.ForRest, "rule": l.ForRule, "cap": l.ForCap,
	}
}

// jsonObject returns the JSON object of a line without a prefix.
func jsonObject(raw []byte) string {
	return string(bytes.TrimSpace(raw[bytes.IndexByte(raw, '{'):]))
}
