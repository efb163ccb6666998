package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// run is one run of a task as its runner saw it.
type run struct {
	task     string
	number   int64
	runner   string
	began    time.Time
	finished time.Time
	how      string
}

// judge remembers what the runners have run.
type judge struct {
	mu    sync.Mutex
	runs  []*run
	fence int64
	// onStart is called for each start, without the lock.
	onStart func(task string, number int64, r *runner)
}

func newJudge() *judge { return &judge{onStart: func(string, int64, *runner) {}} }

func (j *judge) started(task string, number int64, id string, r *runner) {
	j.mu.Lock()
	j.runs = append(j.runs, &run{task: task, number: number, runner: id, began: time.Now()})
	onStart := j.onStart
	j.mu.Unlock()
	go onStart(task, number, r)
}

func (j *judge) ended(task string, number int64, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.runs {
		if r.task == task && r.number == number && r.finished.IsZero() {
			r.finished, r.how = time.Now(), how
		}
	}
}

func (j *judge) sawFence(fence int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fence = max(j.fence, fence)
}

func (j *judge) lastFence() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.fence
}

func (j *judge) setOnStart(f func(task string, number int64, r *runner)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.onStart = f
}

// runsOf returns copies of the runs of a submission's tasks, in the order of their starts.
func (j *judge) runsOf(id string) []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []run
	for _, r := range j.runs {
		if strings.HasPrefix(r.task, id+".") {
			out = append(out, *r)
		}
	}
	return out
}

// running returns how many tasks of a submission are at work.
func (j *judge) running(id string) int {
	n := 0
	for _, r := range j.runsOf(id) {
		if r.finished.IsZero() {
			n++
		}
	}
	return n
}
