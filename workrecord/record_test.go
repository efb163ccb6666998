package workrecord

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against losing the progress of works at an upgrade: records of started tasks lacked the worker's instance.
func TestTaskRecordOfOlderVersion(t *testing.T) {
	is := is.New(t)
	raw, err := msgpack.Marshal(map[string]any{"t": [][]any{{1, 7, "w1", 2, "c"}, {0, 0, "", 0, ""}}})
	is.NoErr(err)
	var older Stage
	is.NoErr(msgpack.Unmarshal(raw, &older))
	is.Equal([]Task(older.Tasks), []Task{{Phase: Started, Run: 7, Worker: "w1", Fails: 2, Checkpoint: "c"}, {}})
	is.Equal(Encode(&older.Tasks), Encode([][]any{{Phase(1), int64(7), "w1", 2, "c"}, {Phase(0), int64(0), "", 0, ""}})) // older versions can read it
	for _, present := range []Stage{
		{Tasks: []Task{{Phase: Started, Run: 7, Worker: "w1", Born: 1764800000123}}},
		{Tasks: []Task{{Phase: Started, Run: 7, Worker: "w1", Born: 1764800000123, LostWith: 1764800000123}}},
	} {
		var got Stage
		is.NoErr(msgpack.Unmarshal(Encode(&present), &got))
		is.Equal(got, present)
	}
}
