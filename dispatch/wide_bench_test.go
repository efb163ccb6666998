package dispatch

import (
	"fmt"
	"testing"

	"turmericgap/job"
	"turmericgap/presence"
	"turmericgap/store"
	"turmericgap/workrecord"
)

// BenchmarkRecordOfWideWork measures the record of a work of 80,000 tasks of which 2,000 run.
func BenchmarkRecordOfWideWork(b *testing.B) {
	w := &job.Work{ID: "wide"}
	for range 20 {
		w.Steps = append(w.Steps, job.Step{Tasks: 4000})
	}
	e := newEntry(w)
	e.openOccurrence(0)
	s := e.occurrences[0].stages[0]
	s.begun = true
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.number = int64(i + 1); i < 2000 {
			t.phase = workrecord.Done
			s.done++
			continue
		}
		t.phase, t.run = workrecord.Started, &run{number: t.number, node: &node{id: fmt.Sprintf("i-%010x", i%48)}, Run: presence.Run{Born: 1764800000123}}
	}
	for b.Loop() {
		b.ReportMetric(float64(len(workrecord.Encode(e.toProgress(store.MaxValueBytes, true)))), "bytes")
	}
}
