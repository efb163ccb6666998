package workrecord

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"turmericgap/crash"
	"turmericgap/job"
)

const mib = 1 << 20

// Guards against a record of a wide work that outgrows the store although few of its tasks run.
func TestCompactRecord(t *testing.T) {
	is := is.New(t)
	const tasks = job.MaxStepTasks
	var compact, plain Tasks
	for i := range tasks {
		r := Task{Phase: Done, Run: int64(i + 1), Fails: i % 2, Checkpoint: "0123456789abcdef"}
		switch {
		case i >= tasks/2:
			r = Task{}
		case i >= tasks/4:
			r = Task{Phase: Waiting, Run: int64(i + 1), Fails: 1}
		case i%100 == 0:
			r = Task{Phase: Started, Run: int64(i + 1), Worker: "i-03432a5b37", Born: 1764800000123, Checkpoint: "0123456789abcdef"}
		}
		compact.Append(r, true)
		plain.Append(r, false)
	}
	raw := Encode(&Stage{Tasks: compact})
	is.True(len(raw) < mib/512)
	is.True(len(Encode(&Stage{Tasks: plain})) > mib/16)
	var got Stage
	is.NoErr(msgpack.Unmarshal(raw, &got))
	is.Equal(len(got.Tasks), tasks)
	for i := range got.Tasks {
		want := plain[i]
		if want.Phase != Started {
			want.Run = min(want.Run, 1)
		}
		if want.Phase == Done {
			want.Fails, want.Checkpoint = 0, ""
		}
		if got.Tasks[i] != want {
			t.Fatalf("task %d: %+v, want %+v", i, got.Tasks[i], want)
		}
	}
	var older struct {
		Tasks [][]any `msgpack:"t"`
	}
	is.True(msgpack.Unmarshal(raw, &older) != nil) // it must not take the tasks for ones that have not run
}

// Guards against a record that is corrupt and makes its reader allocate without limit.
func TestJoinedTasksAreBounded(t *testing.T) {
	is := is.New(t)
	for _, more := range []any{-1, job.MaxStepTasks, math.MaxInt64, "x"} {
		raw := Encode(map[string]any{"t": map[string]any{joinedKey: []any{more, []any{0, 0, "", 0, ""}}}})
		var got Stage
		is.True(msgpack.Unmarshal(raw, &got) != nil)
	}
	row := []any{0, 0, "", 0, ""}
	many := Encode(map[string]any{"t": map[string]any{joinedKey: []any{job.MaxStepTasks - 1, row, 0, row}}})
	var got Stage
	is.True(msgpack.Unmarshal(many, &got) != nil)
	is.True(msgpack.Unmarshal(Encode(map[string]any{"t": map[string]any{"other": []any{}}}), &got) != nil)
}

// Guards against accepting a work whose record outgrows the store: no task may need more than what is planned for it.
func TestTaskBytes(t *testing.T) {
	is := is.New(t)
	worst := Task{Phase: Started, Run: math.MaxInt32, Worker: strings.Repeat("w", 32), Fails: 999, Born: math.MaxInt64, LostWith: math.MaxInt64}
	held := Crash{Task: job.MaxStepTasks, Record: crash.Record{Crashes: 5, Losses: 60, Evidence: 7, Starts: 5}}
	is.True(len(Encode(&worst))+len(Encode(&held))+3 <= TaskBytes)
	member := len(Encode(&worst)) + len(Encode(&held)) + len(Encode(&Unresolved{Run: math.MaxInt32, Worker: worst.Worker}))
	is.True(member+3 <= memberBytes)
	is.True(len(Encode(&Stage{Fails: 999, Failing: true, Tasks: Same(Task{Phase: Done, Run: 1}, job.MaxStepTasks)})) <= stageBytes)
}

// Checks which works are refused as too large to be recorded.
func TestCheck(t *testing.T) {
	work := func(steps ...job.Step) *job.Work { return &job.Work{Steps: steps} }
	many := func(n int, s job.Step) []job.Step {
		var out []job.Step
		for range n {
			out = append(out, s)
		}
		return out
	}
	long := work(job.Step{Tasks: 1})
	long.Spec = strings.Repeat("s", mib)
	for name, c := range map[string]struct {
		work  *job.Work
		place string
	}{
		"the widest work":              {work(many(job.MaxSteps, job.Step{Tasks: job.MaxStepTasks})...), ""},
		"the largest gang":             {work(job.Step{Tasks: job.MaxStepTasks, Gang: true}), ""},
		"gangs one after the other":    {work(many(job.MaxSteps, job.Step{Tasks: job.MaxStepTasks, Gang: true})...), ""},
		"many services":                {work(job.Step{Tasks: job.MaxStepTasks, Service: true}), ""},
		"more services than fit":       {work(many(3, job.Step{Tasks: job.MaxStepTasks, Service: true})...), "Steps"},
		"a long spec":                  {long, "body"},
		"lists of steps before others": {work(job.Step{Tasks: 1}, job.Step{Tasks: 1, DependsOn: make([]int, mib/8)}), "body"},
	} {
		found := Check(c.work, mib)
		switch {
		case c.place == "" && len(found) > 0, c.place != "" && (len(found) != 1 || found[0].Path != c.place):
			t.Errorf("%s: %v", name, found)
		}
	}
}
