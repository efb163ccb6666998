package learn

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/job"
)

var declared = job.Resources{Millicores: 1000, MemoryMB: 2000}

func TestEstimate(t *testing.T) {
	is := is.New(t)
	l := New(10)
	k := Key{"desk", "roster"}
	is.Equal(l.Estimate(k, time.Minute), Estimate{Median: time.Minute, P90: 2 * time.Minute})
	for i := range 100 {
		l.Observe(k, time.Duration(i+1)*time.Second, declared, job.Resources{Millicores: 500, MemoryMB: 3000})
	}
	e := l.Estimate(k, time.Minute)
	is.True(e.Learned)
	is.Equal(e.Median, 69*time.Second) // Of the last 64, which are 37 to 100.
	is.Equal(e.P90, 94*time.Second)
	is.Equal(e.Charge(declared, job.Resources{Millicores: 8000, MemoryMB: 8000}), job.Resources{Millicores: 1000, MemoryMB: 3000})
	is.Equal(e.Charge(declared, job.Resources{Millicores: 8000, MemoryMB: 2500}), job.Resources{Millicores: 1000, MemoryMB: 2500})
}

func TestClassesAreBounded(t *testing.T) {
	is := is.New(t)
	l := New(10)
	for i := range 1000 {
		l.Observe(Key{"desk", fmt.Sprint(i)}, time.Second, declared, job.Resources{})
	}
	is.Equal(l.Classes(), 10)
}
