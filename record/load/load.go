package load

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"turmericgap/record"
	"turmericgap/store"
)

// Defaults: 670 running tasks at 55 starts a second in each of six zones.
const (
	DefaultZones       = 6
	DefaultStarts      = 330.0
	DefaultDuration    = time.Minute
	DefaultJobLifetime = 12 * time.Second
	DefaultAcceptBytes = 300
	DefaultTaskBytes   = 120
)

// Plan is one load.
type Plan struct {
	// Name is the first part of the zones' names; their keys are removed at the end.
	Name  string
	Zones int
	// Starts is the starts a second of all zones together.
	Starts   float64
	Duration time.Duration
	// JobLifetime is how long a job is live; it tells how many records a snapshot has.
	JobLifetime time.Duration
	AcceptBytes int
	TaskBytes   int
	Journal     []record.Option
}

// DefaultPlan is a cell of the two-year size.
func DefaultPlan() Plan {
	return Plan{
		Name: "load", Zones: DefaultZones, Starts: DefaultStarts, Duration: DefaultDuration, JobLifetime: DefaultJobLifetime,
		AcceptBytes: DefaultAcceptBytes, TaskBytes: DefaultTaskBytes,
	}
}

// Result is what one load cost.
type Result struct {
	Starts, Records, Refused, Failed int64
	// Calls counts all calls of the store, Lost those without an answer.
	Calls, Lost, Snapshots int64
	Elapsed                time.Duration
	Segments               int
	// Bytes is what the journals held in the store at the end.
	Bytes int
	waits []time.Duration
}

// CallsPerSecond is the load on the store.
func (r Result) CallsPerSecond() float64 { return float64(r.Calls) / r.Elapsed.Seconds() }

// CallsPerRecord is the price of one record.
func (r Result) CallsPerRecord() float64 { return float64(r.Calls) / float64(max(r.Records, 1)) }

// WaitQuantile gives the quantile q of the time until a record was durable.
func (r Result) WaitQuantile(q float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	return r.waits[int(q*float64(len(r.waits)-1))]
}

// RowHeader names the columns of Row.
const RowHeader = "starts/s zones | calls/s calls/record | wait ms p50 p99 max | KB at the end, segments | refused lost failed"

// Row gives the result as one line below Head.
func (r Result) Row(p Plan) string {
	return fmt.Sprintf("%8.0f %5d | %7.1f %12.3f | %11d %3d %3d | %13d, %8d | %7d %4d %6d",
		p.Starts, p.Zones, r.CallsPerSecond(), r.CallsPerRecord(),
		r.WaitQuantile(0.5).Milliseconds(), r.WaitQuantile(0.99).Milliseconds(), r.WaitQuantile(1).Milliseconds(),
		r.Bytes>>10, r.Segments, r.Refused, r.Lost, r.Failed)
}

// Run puts the load on the journals of p.Zones owners; open gives the store of each.
func Run(ctx context.Context, p Plan, open func() *store.Store) (Result, error) {
	var wg sync.WaitGroup
	owners := make([]*owner, p.Zones)
	errs := make([]error, p.Zones)
	started := time.Now()
	for i := range owners {
		o := &owner{plan: p, zone: fmt.Sprintf("%s-%d", p.Name, i), store: open(), live: make(map[int]bool)}
		owners[i] = o
		wg.Go(func() { errs[i] = o.run(ctx) })
	}
	wg.Wait()
	var total Result
	for _, o := range owners {
		total.add(o.result)
	}
	total.Elapsed = time.Since(started)
	slices.Sort(total.waits)
	return total, errors.Join(errs...)
}

func (r *Result) add(o Result) {
	r.Starts += o.Starts
	r.Records += o.Records
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.Calls += o.Calls
	r.Lost += o.Lost
	r.Snapshots += o.Snapshots
	r.Segments += o.Segments
	r.Bytes += o.Bytes
	r.waits = append(r.waits, o.waits...)
}

// owner is the owner of one zone.
type owner struct {
	plan    Plan
	zone    string
	store   *store.Store
	journal *record.Journal
	live    map[int]bool

	mu     sync.Mutex
	result Result
}

func (o *owner) run(ctx context.Context) error {
	root := record.Prefix + o.zone + "/"
	epoch := root + "epoch"
	res, err := o.store.Txn(ctx, store.Txn{Then: []store.Op{{Key: epoch}}})
	if err != nil {
		return eris.Wrap(err, "take the load's epoch")
	}
	if o.journal, err = record.Open(ctx, o.store, o.zone, epoch, res.Revision, o.plan.Journal...); err != nil {
		return eris.Wrap(err, "open the load's journal")
	}
	o.starts(ctx)
	err = o.journal.Close(ctx)
	s := o.journal.Stats()
	o.result.Records, o.result.Calls, o.result.Lost = s.Records, s.Calls, s.Lost
	o.result.Refused, o.result.Snapshots = s.Refused, s.Snapshots
	o.result.Segments, o.result.Bytes = s.Segments, s.SegmentBytes+s.SnapshotBytes
	_, removed := o.store.Txn(ctx, store.Txn{Then: []store.Op{{Delete: true, Key: root, End: store.PrefixEnd(root)}}})
	return errors.Join(err, removed)
}

// starts makes jobs start and end at a steady rate; each ends after its life.
func (o *owner) starts(ctx context.Context) {
	each := time.Duration(float64(time.Second) * float64(o.plan.Zones) / o.plan.Starts)
	lives := int(o.plan.JobLifetime / each)
	tick := time.NewTicker(each)
	defer tick.Stop()
	for n := range int(o.plan.Duration / each) {
		o.live[n] = true
		o.result.Starts++
		o.append(n, o.plan.AcceptBytes)
		o.append(n, o.plan.TaskBytes)
		if n >= lives {
			delete(o.live, n-lives)
			o.append(n-lives, o.plan.TaskBytes)
		}
		if o.journal.SnapshotDue() {
			// A refusal is repeated at the next start.
			_ = o.journal.Snapshot(o.state())
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (o *owner) record(n, size int) record.Record {
	return record.Record{Kind: "task", Key: fmt.Sprintf("%s-%08d", o.zone, n), Data: make([]byte, size)}
}

func (o *owner) append(n, size int) {
	at := time.Now()
	// A refusal is counted by the journal.
	_ = o.journal.Append([]record.Record{o.record(n, size)}, func(err error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if err != nil {
			o.result.Failed++
			return
		}
		o.result.waits = append(o.result.waits, time.Since(at))
	})
}

func (o *owner) state() []record.Record {
	out := make([]record.Record, 0, 2*len(o.live))
	for n := range o.live {
		out = append(out, o.record(n, o.plan.AcceptBytes), o.record(n, o.plan.TaskBytes))
	}
	return out
}
