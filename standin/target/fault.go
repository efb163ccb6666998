package target

import (
	"encoding/json"
	"fmt"

	"turmericgap/gate/target"
	"turmericgap/job"
)

// Fault defines how the target fails; the zero value is a healthy target.
type Fault struct {
	// Down makes all requests fail without effect.
	Down bool `json:"down"`
	// DelayMillis is the delay before a request takes effect, LateMillis the delay of its answer.
	DelayMillis int64 `json:"delayMillis"`
	LateMillis  int64 `json:"lateMillis"`
	// LoseAnswers is the number of further requests that take effect and whose answers are lost.
	LoseAnswers int `json:"loseAnswers"`
	// Frozen suspends the VM until the fault is reset.
	Frozen bool `json:"frozen"`
	// FailAll makes all requests end with exit code 1.
	FailAll bool `json:"failAll"`
	// Truncate is the number of further answers whose body is cut, while their length and checksum are kept.
	Truncate int `json:"truncate"`
	// Stale is the number of further requests that get the answer to the previous request.
	Stale int `json:"stale"`
	// Refuse is the number of further requests that are rejected without effect.
	Refuse int `json:"refuse"`
}

// Result is the body of an answer, as JSON.
type Result struct {
	Target  string `json:"target"`
	Method  string `json:"method"`
	Session string `json:"session,omitempty"`
	// Count is the number of requests of the session that this target has answered.
	Count int64  `json:"count,omitempty"`
	Echo  []byte `json:"echo,omitempty"`
}

// SetFault replaces the fault.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault.Frozen && !f.Frozen {
		close(t.thawed)
	}
	if !t.fault.Frozen && f.Frozen {
		t.thawed = make(chan struct{})
	}
	t.fault = f
}

// Fault returns the current fault.
func (t *Target) Fault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

// Violations returns the violations by callers: requests that they must never send to a target.
func (t *Target) Violations() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.violations...)
}

// result returns the response to a request that has run.
func (t *Target) result(r *target.Request) *target.Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	res := Result{Target: t.opts.Info.ID, Method: r.Method, Session: r.Session, Echo: r.Body}
	if r.Session != "" {
		res.Count = t.countRequest(r.Session)
	}
	exit := 0
	if t.fault.FailAll {
		exit = 1
	}
	body, err := json.Marshal(res)
	if err != nil {
		exit, body = 1, []byte(err.Error())
	}
	return &target.Response{ID: r.ID, Answer: job.NewAnswer(exit, body)}
}

// countRequest counts a request of a session and evicts the oldest session beyond MaxSessions.
func (t *Target) countRequest(session string) int64 {
	if _, ok := t.sessions[session]; !ok {
		t.sessionOrder = append(t.sessionOrder, session)
	}
	t.sessions[session]++
	for len(t.sessionOrder) > MaxSessions {
		delete(t.sessions, t.sessionOrder[0])
		t.sessionOrder = t.sessionOrder[1:]
	}
	return t.sessions[session]
}

// applyAnswerFault applies the fault to a response.
func (t *Target) applyAnswerFault(r *target.Request, out *target.Response) (*target.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.Leaving = !t.leavingSince.IsZero()
	previous := t.lastResponse
	t.lastResponse = copyResponse(out, out.ID)
	switch {
	case consume(&t.fault.LoseAnswers):
		return nil, errLost
	case previous != nil && consume(&t.fault.Stale):
		return previous, nil
	case consume(&t.fault.Truncate):
		out = copyResponse(out, r.ID)
		out.Answer.Body = out.Answer.Body[:len(out.Answer.Body)/2]
	}
	return out, nil
}

// applyRefusal rejects a request if the fault requires it.
func (t *Target) applyRefusal(r *target.Request) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if consume(&t.fault.Refuse) {
		return fmt.Errorf("%w: request %s", target.ErrRefused, r.ID)
	}
	return nil
}

// consume decrements a counter and returns false if it was zero.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
