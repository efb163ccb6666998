package journal

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
	"turmericgap/store/memory"
)

// The load of a measurement: a start has an accept, an intent and an end, and its job is live for
// twelve seconds, which is 670 running tasks at 55 starts a second.
const (
	measured    = time.Minute
	jobLife     = 12 * time.Second
	acceptBytes = 300
	taskBytes   = 120
	callTakes   = 5 * time.Millisecond
	// cellWrites is what the journals of a cell may write a second.
	cellWrites = 100
)

// load is one zone's owner under a steady load.
type load struct {
	zone    string
	service *memory.Service
	faults  *memory.Faults
	owner   *Journal
	live    map[int]bool
	waits   []time.Duration // from Append to durable
}

func newLoad(t *testing.T, service *memory.Service, zone string) *load {
	l := &load{zone: zone, service: service, faults: &memory.Faults{}, live: map[int]bool{}}
	l.faults.Delay(callTakes)
	epoch := Prefix + zone + "/epoch"
	res, err := service.Store().Txn(context.Background(), store.Txn{Then: []store.Op{{Key: epoch}}})
	if err != nil {
		t.Fatal(err)
	}
	if l.owner, err = Open(context.Background(), service.Client(l.faults), zone, epoch, res.Revision); err != nil {
		t.Fatal(err)
	}
	return l
}

func (l *load) append(t *testing.T, n, size int) {
	at := time.Now()
	rec := Record{Kind: "task", Key: fmt.Sprintf("%s-%08d", l.zone, n), Data: make([]byte, size)}
	if err := l.owner.Append([]Record{rec}, func(err error) {
		if err == nil {
			l.waits = append(l.waits, time.Since(at))
		}
	}); err != nil {
		t.Error(err)
	}
	if !l.owner.SnapshotDue() {
		return
	}
	var state []Record
	for id := range l.live {
		key := fmt.Sprintf("%s-%08d", l.zone, id)
		state = append(state, Record{Kind: "job", Key: key, Data: make([]byte, acceptBytes)}, Record{Kind: "task", Key: key, Data: make([]byte, taskBytes)})
	}
	if err := l.owner.Snapshot(state); err != nil {
		t.Error(err)
	}
}

// run starts perSecond jobs a second.
func (l *load) run(t *testing.T, perSecond float64) {
	end := time.Now().Add(measured)
	each := time.Duration(float64(time.Second) / perSecond)
	lives := int(jobLife / each)
	for n := 0; time.Now().Before(end); n++ {
		l.live[n] = true
		l.append(t, n, acceptBytes)
		l.append(t, n, taskBytes)
		if n >= lives {
			delete(l.live, n-lives)
			l.append(t, n-lives, taskBytes)
		}
		time.Sleep(each)
	}
	if err := l.owner.Close(context.Background()); err != nil {
		t.Error(err)
	}
}

// The store's budget has to last for the cell at each rate; the figures are printed with -v.
func TestMeasureWrites(t *testing.T) {
	t.Log("starts/s zones | writes/s calls/record  wait ms p50 p99 max | store KB, segments at the end")
	for _, perSecond := range []float64{10, 100, 330} {
		for _, zones := range []int{1, 6} {
			synctest.Test(t, func(t *testing.T) {
				service := memory.New()
				loads := make([]*load, zones)
				done := make(chan struct{}, zones)
				for i := range loads {
					loads[i] = newLoad(t, service, fmt.Sprintf("zone-%d", i))
					go func() { loads[i].run(t, perSecond/float64(zones)); done <- struct{}{} }()
				}
				var calls, records int64
				var waits []time.Duration
				segments := 0
				for range loads {
					<-done
				}
				for _, l := range loads {
					calls += l.faults.Calls()
					s := l.owner.Stats()
					records += s.Records
					segments += s.Segments
					waits = append(waits, l.waits...)
				}
				slices.Sort(waits)
				at := func(q float64) int64 { return waits[int(q*float64(len(waits)-1))].Milliseconds() }
				_, size := service.Size()
				perCall := float64(calls) / measured.Seconds()
				t.Logf("%8.0f %5d | %8.1f %12.3f %12d %3d %3d | %d KB, %d", perSecond, zones, perCall,
					float64(calls)/float64(records), at(0.5), at(0.99), at(1), size>>10, segments)
				is.New(t).True(perCall < cellWrites)
			})
		}
	}
}

// Recovery follows what is live: the history behind it is ten times as long and leaves no trace.
func TestMeasureRecovery(t *testing.T) {
	t.Log("live records | calls  virtual ms at 5 ms a call | bytes a live record in the store")
	for _, live := range []int{100, 1000, 10000} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := memory.New()
			j := own(t, s, s.Store())
			state := make([]Record, live)
			for i := range state {
				state[i] = Record{Kind: "task", Key: fmt.Sprintf("kochi-hall-%08d", i), Data: make([]byte, 200)}
			}
			for range 10 {
				for from := 0; from < live; from += 100 {
					is.NoErr(j.Append(state[from:from+100], func(error) {}))
					is.NoErr(j.Flush(context.Background()))
				}
				is.NoErr(j.Snapshot(state))
				time.Sleep(time.Minute)
			}
			is.Equal(j.Stats().Segments, 0)
			is.NoErr(j.Close(context.Background()))
			_, size := s.Size()
			faults := &memory.Faults{}
			faults.Delay(callTakes)
			start := time.Now()
			next := own(t, s, s.Client(faults))
			found := len(contents(t, next))
			t.Logf("%12d | %5d %11d | %d", live, faults.Calls(), time.Since(start).Milliseconds(), size/live)
			is.Equal(found, live)
		})
	}
}

// BenchmarkRecover tells what recovery costs beside the store's answers.
func BenchmarkRecover(b *testing.B) {
	for _, live := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(live), func(b *testing.B) {
			s := memory.New()
			res, err := s.Store().Txn(context.Background(), store.Txn{Then: []store.Op{{Key: epochKey}}})
			if err != nil {
				b.Fatal(err)
			}
			state := make([]Record, live)
			for i := range state {
				state[i] = Record{Kind: "task", Key: fmt.Sprintf("kochi-hall-%08d", i), Data: make([]byte, 200)}
			}
			j, err := Open(context.Background(), s.Store(), zone, epochKey, res.Revision, Rate(1000, 1000))
			if err != nil {
				b.Fatal(err)
			}
			for from := 0; from < live; from += 100 {
				if err := j.Append(state[from:from+100], func(error) {}); err != nil {
					b.Fatal(err)
				}
			}
			_ = j.Close(context.Background())
			b.ReportAllocs()
			for b.Loop() {
				next, err := Open(context.Background(), s.Store(), zone, epochKey, res.Revision)
				if err != nil {
					b.Fatal(err)
				}
				found := 0
				_ = next.Replay(func(Record) error { found++; return nil })
				if found != live {
					b.Fatal(found)
				}
				_ = next.Close(context.Background())
			}
		})
	}
}
