package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"turmericgap/gate"
	"turmericgap/job"
)

const (
	maxResponseBytes = 32 << 20
	// maxCheckDeadlineMillis is the longest deadline that a gate accepts for a check.
	maxCheckDeadlineMillis = 15_000
)

func callerCommands(c *commonOptions) []command {
	return []command{
		{"submit", "submit a job from a JSON file", "Reads a submission (docs/API.md) from a file, or from - for standard input.", &submit{opts: c}},
		{"status", "show a job", "Shows where a job and its tasks stand.", &status{opts: c}},
		{"wait", "wait for a job's answer", "Waits until the job is final, or until --seconds have passed.", &wait{opts: c}},
		{"cancel", "cancel a job", "Cancels a job; tasks that were not started are then surely not run.", &cancel{opts: c}},
		{"check", "send a check to a service", "Sends one check through the gate and prints its whole answer.", &check{opts: c}},
	}
}

// reply is the gate's response to a request.
type reply struct {
	gate.Body
	status int
	raw    []byte
}

// call sends one request to the gate.
func (c *commonOptions) call(method, path string, header http.Header, body []byte) (*reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.Seconds)*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Gate+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &exitError{exitUnknown, fmt.Errorf("the gate at %s gave no answer (%w); try another with --gate", c.Gate, err)}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, &exitError{exitUnknown, err}
	}
	r := &reply{status: resp.StatusCode, raw: raw}
	if resp.StatusCode >= http.StatusBadRequest {
		_ = json.Unmarshal(raw, &r.Body)
		return r, r.asError()
	}
	return r, nil
}

// asError converts an unsuccessful answer into an error with the matching exit code.
func (r *reply) asError() error {
	switch {
	case len(r.Findings) > 0:
		return r.Findings
	case r.Outcome == job.Unknown:
		return &exitError{exitUnknown, fmt.Errorf("may have run: %s; ask again with the same key", r.Reason)}
	case r.RetryAfterMillis > 0:
		return &exitError{exitNotRun, fmt.Errorf("not run: %s; try again in %d ms", r.Reason, r.RetryAfterMillis)}
	default:
		return &exitError{exitNotRun, fmt.Errorf("not run: %s (HTTP status %d)", r.Reason, r.status)}
	}
}

type submit struct {
	opts *commonOptions
	Wait bool `long:"wait" description:"wait for the answer"`
	Args struct {
		File string `positional-arg-name:"file" description:"a submission, or -"`
	} `positional-args:"yes" required:"yes"`
}

// Execute submits the job.
func (s *submit) Execute([]string) error {
	raw, err := readFile(s.Args.File)
	if err != nil {
		return err
	}
	r, err := s.opts.call(http.MethodPost, "/v1/jobs", nil, raw)
	if err != nil {
		return err
	}
	var st job.Status
	if err := json.Unmarshal(r.raw, &st); err != nil {
		return err
	}
	if !s.Wait {
		return s.opts.printJob(&st, r.raw)
	}
	return s.opts.awaitJob(st.ID)
}

// awaitJob waits for the job's final state and prints it. It waits for at most a minute, and half a second less than
// the command's time limit so that the gate can still answer.
func (c *commonOptions) awaitJob(id string) error {
	waitMillis := int64(max(1, c.Seconds)*1000 - 500)
	r, err := c.call(http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/wait?timeoutMillis="+strconv.FormatInt(min(waitMillis, 60_000), 10), nil, nil)
	if err != nil {
		return err
	}
	var st job.Status
	if err := json.Unmarshal(r.raw, &st); err != nil {
		return err
	}
	return c.printJob(&st, r.raw)
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxResponseBytes))
	}
	return os.ReadFile(name)
}

// printJob prints a job and converts its outcome into the exit code.
func (c *commonOptions) printJob(s *job.Status, raw []byte) error {
	if c.JSON {
		fmt.Println(string(bytes.TrimSpace(raw)))
	} else {
		printStatus(os.Stdout, s)
	}
	switch s.Outcome {
	case job.NotRun:
		return &exitError{exitNotRun, errors.New("not run: " + s.Reason)}
	case job.Unknown:
		return &exitError{exitUnknown, errors.New("may have run: " + s.Reason)}
	case job.Done:
	}
	return nil
}

func printStatus(w io.Writer, s *job.Status) {
	fmt.Fprintf(w, "job %s: %s %s", s.ID, s.State, s.Outcome)
	if s.Reason != "" {
		fmt.Fprintf(w, " (%s)", s.Reason)
	}
	fmt.Fprintln(w)
	for _, t := range s.Tasks {
		fmt.Fprintf(w, "  task %d: %s %s", t.Index, t.State, t.Outcome)
		if t.Worker != "" {
			fmt.Fprintf(w, " on %s", t.Worker)
		}
		if t.Answer != nil {
			fmt.Fprintf(w, ", exit %d: %s", t.Answer.Exit, t.Answer.Body)
		}
		fmt.Fprintln(w)
	}
}

type jobArgument struct {
	ID string `positional-arg-name:"job" description:"the job's id"`
}

type status struct {
	opts *commonOptions
	Args jobArgument `positional-args:"yes" required:"yes"`
}

// Execute prints the job's status.
func (s *status) Execute([]string) error { return s.opts.callJob(http.MethodGet, s.Args.ID) }

type wait struct {
	opts *commonOptions
	Args jobArgument `positional-args:"yes" required:"yes"`
}

// Execute waits for the job and prints its status.
func (w *wait) Execute([]string) error { return w.opts.awaitJob(w.Args.ID) }

type cancel struct {
	opts *commonOptions
	Args jobArgument `positional-args:"yes" required:"yes"`
}

// Execute cancels the job.
func (x *cancel) Execute([]string) error { return x.opts.callJob(http.MethodDelete, x.Args.ID) }

func (c *commonOptions) callJob(method, id string) error {
	r, err := c.call(method, "/v1/jobs/"+url.PathEscape(id), nil, nil)
	if err != nil {
		return err
	}
	var st job.Status
	if err := json.Unmarshal(r.raw, &st); err != nil {
		return err
	}
	return c.printJob(&st, r.raw)
}

type check struct {
	opts       *commonOptions
	Key        string `long:"key" description:"idempotency key"`
	Repeatable bool   `long:"repeatable" description:"running it twice does no harm"`
	Body       string `long:"body" description:"the body of the request"`
	Args       struct {
		Service string `positional-arg-name:"service"`
		Method  string `positional-arg-name:"method"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sends the check and prints the answer.
func (k *check) Execute([]string) error {
	h := http.Header{}
	h.Set(gate.HeaderDeadline, strconv.Itoa(min(k.opts.Seconds*1000, maxCheckDeadlineMillis)))
	if k.Key != "" {
		h.Set(gate.HeaderKey, k.Key)
	}
	if k.Repeatable {
		h.Set(gate.HeaderRepeatable, "true")
	}
	r, err := k.opts.call(http.MethodPost, "/v1/checks/"+url.PathEscape(k.Args.Service)+"/"+url.PathEscape(k.Args.Method), h, []byte(k.Body))
	if err != nil {
		return err
	}
	if k.opts.JSON {
		fmt.Println(string(bytes.TrimSpace(r.raw)))
		return nil
	}
	var b gate.Body
	if err := json.Unmarshal(r.raw, &b); err != nil {
		return err
	}
	fmt.Printf("check %s/%s: %s by %s, exit %d: %s\n", k.Args.Service, k.Args.Method, b.Outcome, b.Target, b.Answer.Exit, b.Answer.Body)
	return nil
}
