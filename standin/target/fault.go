package target

import (
	"encoding/json"
	"fmt"

	"turmericgap/gate/target"
	"turmericgap/job"
)

// Fault says how the target fails; the zero value is a sound target.
type Fault struct {
	// Down gives no request an effect or an answer.
	Down bool `json:"down"`
	// DelayMillis passes before a request takes effect, LateMillis before its answer leaves.
	DelayMillis int64 `json:"delayMillis"`
	LateMillis  int64 `json:"lateMillis"`
	// LoseAnswers is how many requests take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// Frozen stops the VM until it is thawed.
	Frozen bool `json:"frozen"`
	// FailAll answers with exit code 1.
	FailAll bool `json:"failAll"`
	// Truncate is how many answers are cut while their length and sum stay.
	Truncate int `json:"truncate"`
	// Stale is how many requests get the answer of the request before them.
	Stale int `json:"stale"`
	// Refuse is how many requests are refused without effect.
	Refuse int `json:"refuse"`
}

// Result is the body of an answer.
type Result struct {
	Target  string `json:"target"`
	Method  string `json:"method"`
	Session string `json:"session,omitempty"`
	// Count is how many requests of the session this target has answered.
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

// Fault gives the present fault.
func (t *Target) Fault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

// Violations lists what callers asked for that a target must never be asked for.
func (t *Target) Violations() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.violations...)
}

// result makes the answer of a request that has run.
func (t *Target) result(r *target.Request) *target.Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	res := Result{Target: t.opts.Info.ID, Method: r.Method, Session: r.Session, Echo: r.Body}
	if r.Session != "" {
		res.Count = t.count(r.Session)
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

// count counts a request of a session, and forgets the oldest session when there are too many.
func (t *Target) count(session string) int64 {
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

// answer spoils a response as the fault says.
func (t *Target) answer(r *target.Request, out *target.Response) (*target.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.Leaving = !t.leavingSince.IsZero()
	before := t.last
	t.last = copied(out, out.ID)
	switch {
	case spend(&t.fault.LoseAnswers):
		return nil, errLost
	case before != nil && spend(&t.fault.Stale):
		return before, nil
	case spend(&t.fault.Truncate):
		out = copied(out, r.ID)
		out.Answer.Body = out.Answer.Body[:len(out.Answer.Body)/2]
	}
	return out, nil
}

// refuse refuses a request if the fault says so.
func (t *Target) refuse(r *target.Request) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if spend(&t.fault.Refuse) {
		return fmt.Errorf("%w: request %s", target.ErrRefused, r.ID)
	}
	return nil
}

func spend(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
