package record

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
	"turmericgap/store/memory"
)

// fixture is an owner with its journal and a store client that can inject faults.
type fixture struct {
	t       *testing.T
	service *memory.Service
	faults  *memory.Faults
	client  *store.Store
	journal *Journal
	// blockWrite, if set, blocks the owner's writes until it is closed, as a paused process would.
	blockWrite chan struct{}
	// results lists the outcomes reported for the records, in the order of the reports.
	results []string
}

func newFixture(t *testing.T, opts ...Option) *fixture {
	s := &fixture{t: t, service: memory.New(), faults: &memory.Faults{}}
	s.client = s.service.Client(s.faults)
	txn := s.client.Txn
	s.client.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
		if s.blockWrite != nil {
			<-s.blockWrite
		}
		return txn(ctx, x)
	}
	s.journal = takeOwnership(t, s.service, s.client, opts...)
	return s
}

func (s *fixture) append(n int) {
	err := s.journal.Append([]Record{record(n)},
		func(err error) { s.results = append(s.results, fmt.Sprint(n, " ", err)) })
	if err != nil {
		s.results = append(s.results, fmt.Sprint(n, " not accepted"))
	}
}

// takeOver opens the journal as a new owner and returns the recovered keys.
func (s *fixture) takeOver(opts ...Option) ([]string, *Journal) {
	j := takeOwnership(s.t, s.service, s.service.Store(), opts...)
	return recoveredKeys(s.t, j), j
}

// Guards against reporting a wrong outcome (durable, not written, unknown) for a record.
// Record 1 is durable, a fault affects the commit of record 2, and record 3 follows. Then the journal is closed and a
// new owner compares the stored records with the reported outcomes.
func TestCommitFaults(t *testing.T) {
	const outage = time.Minute
	cases := []struct {
		name  string
		fault func(s *fixture) // starts before the record "2" is appended
		after func(s *fixture) // follows at once
		// wantResults are the reported outcomes, wantKeys the recovered records.
		wantResults string
		wantKeys    string
	}{
		{"none", func(*fixture) {}, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"lost answer", func(s *fixture) { s.faults.LoseNext(1) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"lost answer twice", func(s *fixture) { s.faults.LoseNext(2) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"late message", func(s *fixture) { s.faults.DeferNext(1, time.Second) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"late message and late retries", func(s *fixture) { s.faults.DeferNext(3, time.Second) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{
			"outage", func(s *fixture) { s.faults.Down(true) },
			func(s *fixture) { time.Sleep(outage); s.faults.Down(false) }, "1 nil,2 nil,3 nil", "1 2 3",
		},
		{
			"outage after a lost answer", func(s *fixture) { s.faults.LoseNext(1) },
			func(s *fixture) { synctest.Wait(); s.faults.Down(true); time.Sleep(outage); s.faults.Down(false) }, "1 nil,2 nil,3 nil", "1 2 3",
		},
		{
			"every answer later than the call timeout", func(s *fixture) { s.faults.Delay(2 * DefaultCallTimeout) },
			func(s *fixture) { time.Sleep(outage); s.faults.Delay(0) }, "1 nil,2 nil,3 nil", "1 2 3",
		},
		{
			"closed in an outage before a request was sent", func(s *fixture) { s.faults.Down(true) }, nil,
			"1 nil,2 journal closed,3 journal closed", "1",
		},
		{
			"closed before a lost answer was resolved", func(s *fixture) { s.faults.LoseAnswer(true) }, nil,
			"1 nil,2 journal outcome unknown,3 journal closed", "1 2",
		},
		{
			"replaced before the write", func(s *fixture) { s.takeOver() }, nil,
			"1 nil,2 journal fenced,3 not accepted", "1",
		},
		{
			"paused before the write, replaced, resumed", func(s *fixture) { s.blockWrite = make(chan struct{}) },
			func(s *fixture) { synctest.Wait(); s.takeOver(); close(s.blockWrite) },
			"1 nil,2 journal fenced,3 journal fenced", "1",
		},
		{
			"written, answer lost, replaced, then resolved", func(s *fixture) { s.faults.LoseAnswer(true) },
			func(s *fixture) { synctest.Wait(); s.takeOver(); s.faults.LoseAnswer(false) },
			"1 nil,2 nil,3 journal fenced", "1 2",
		},
		{
			"not written, late message, replaced, then resolved", func(s *fixture) { s.faults.DeferNext(1, outage); s.faults.Delay(time.Second) },
			func(s *fixture) { time.Sleep(time.Second); s.takeOver(); time.Sleep(outage) },
			"1 nil,2 journal fenced,3 journal fenced", "1",
		},
		{
			// The new owner's snapshot deletes the segment, so the outcome cannot be determined.
			"written, answer lost, replaced with a snapshot, then resolved", func(s *fixture) { s.faults.LoseAnswer(true) },
			func(s *fixture) {
				synctest.Wait()
				keys, next := s.takeOver()
				_ = next.Snapshot([]Record{{Key: strings.Join(keys, " ")}})
				time.Sleep(time.Second)
				s.faults.LoseAnswer(false)
			},
			"1 nil,2 journal outcome unknown,3 journal fenced", "1 2",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFixture(t)
				s.append(1)
				synctest.Wait()
				c.fault(s)
				s.append(2)
				synctest.Wait()
				s.append(3)
				if c.after != nil {
					c.after(s)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				_ = s.journal.Close(ctx) // each record's outcome is in results
				is.Equal(strings.ReplaceAll(strings.Join(s.results, ","), "<nil>", "nil"), c.wantResults)
				keys, _ := s.takeOver()
				is.Equal(strings.Join(keys, " "), c.wantKeys)
			})
		})
	}
}

// Guards against a snapshot that loses a record or restores a deleted one when its writes fail.
// The owner requests a snapshot and appends one more record while a fault affects a part of the snapshot (writes 1 to
// 3) or its head (write 4); then the owner is replaced.
func TestSnapshotFaults(t *testing.T) {
	cases := []struct {
		name  string
		write int // the write of the snapshot that is affected by the fault
		fault func(s *fixture)
		// replaced is true if the fault replaces the owner.
		replaced bool
		wantKeys string
	}{
		{"lost answer of a part", 2, func(s *fixture) { s.faults.LoseNext(1) }, false, "0 1 2 3"},
		{"late part", 2, func(s *fixture) { s.faults.DeferNext(1, 10*time.Second) }, false, "0 1 2 3"},
		{"outage at a part", 2, func(s *fixture) { s.faults.Down(true); time.AfterFunc(time.Minute, func() { s.faults.Down(false) }) }, false, "0 1 2 3"},
		{"lost answer of the head", 4, func(s *fixture) { s.faults.LoseNext(1) }, false, "0 1 2 3"},
		{"lost answers of the head and of its retry", 4, func(s *fixture) { s.faults.LoseNext(2) }, false, "0 1 2 3"},
		{"late head", 4, func(s *fixture) { s.faults.DeferNext(1, 10*time.Second) }, false, "0 1 2 3"},
		{"outage at the head", 4, func(s *fixture) { s.faults.Down(true); time.AfterFunc(time.Minute, func() { s.faults.Down(false) }) }, false, "0 1 2 3"},
		{"replaced before the first part", 1, func(s *fixture) { s.takeOver() }, true, "0 1 2"},
		{"replaced between two parts", 2, func(s *fixture) { s.takeOver() }, true, "0 1 2 3"},
		{"replaced before the head", 4, func(s *fixture) { s.takeOver() }, true, "0 1 2 3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFixture(t, GroupBytes(300))
				for n := range 3 {
					s.append(n)
				}
				is.NoErr(s.journal.Flush(context.Background()))
				txn, writes := s.client.Txn, 0
				s.client.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
					if strings.Contains(x.Then[0].Key, "/snap/") || strings.HasSuffix(x.Then[0].Key, "/head") {
						if writes++; writes == c.write {
							c.fault(s)
						}
					}
					return txn(ctx, x)
				}
				state := []Record{}
				for n := range 3 {
					state = append(state, Record{Key: fmt.Sprint(n), Data: make([]byte, 100)})
				}
				is.NoErr(s.journal.Snapshot(state))
				s.append(3)
				time.Sleep(5 * time.Second)
				_ = s.journal.Snapshot(append(state, Record{Key: "3"})) // rejected while the first is in progress
				time.Sleep(2 * time.Minute)
				stats := s.journal.Stats()
				_ = s.journal.Close(context.Background())
				if !c.replaced {
					is.True(stats.Snapshots > 0)
					is.True(stats.Segments < 2)
					is.Equal(stats.Unresolved, false)
				}
				found, _ := s.takeOver()
				is.Equal(strings.Join(found, " "), c.wantKeys)
				// The next snapshot must delete all replaced keys, including those written by a late message.
				time.Sleep(time.Minute)
				_, last := s.takeOver(GroupBytes(300))
				is.NoErr(last.Snapshot(state))
				time.Sleep(time.Minute)
				keys, _ := s.service.Size()
				is.Equal(keys, 5) // epoch, head, three parts
			})
		})
	}
}

// Guards against a delayed write that overwrites a record reported as durable.
// A write is delayed by the network and the store goes down. The owner closes its journal, opens it again under the
// same epoch, and writes the same key; then the delayed write arrives.
func TestReopenUnderSameEpoch(t *testing.T) {
	cases := []struct {
		name        string
		late        func(s *fixture) // the write that is delayed
		wantResults string
		// snapshot is true if the owner writes a snapshot after reopening the journal.
		snapshot bool
	}{
		{"segment", func(s *fixture) { s.append(2) }, "1 <nil>,2 journal outcome unknown", false},
		{"part of a snapshot", func(s *fixture) { _ = s.journal.Snapshot([]Record{record(1)}) }, "1 <nil>", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFixture(t)
				s.append(1)
				synctest.Wait()
				s.faults.DeferNext(1, time.Hour)
				c.late(s)
				synctest.Wait()
				s.faults.Down(true)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_ = s.journal.Close(ctx) // the outcome is in results
				is.Equal(strings.Join(s.results, ","), c.wantResults)
				again, err := Open(context.Background(), s.service.Store(), zone, epochKey, s.journal.epochRevision)
				is.NoErr(err)
				is.NoErr(again.Append([]Record{record(3)}, func(err error) { is.NoErr(err) }))
				if c.snapshot {
					is.NoErr(again.Snapshot([]Record{record(1), record(3)}))
					time.Sleep(time.Second)
				}
				is.NoErr(again.Close(context.Background()))
				time.Sleep(2 * time.Hour)
				found, _ := s.takeOver()
				is.Equal(strings.Join(found, " "), "1 3")
			})
		})
	}
}

// Guards against an incomplete recovery that succeeds.
// While a process opens the journal, a newer owner takes over, commits, and deletes segments by a snapshot.
func TestOpenReplaced(t *testing.T) {
	for _, at := range []string{"/epoch", "/head", "/seg/"} {
		t.Run(at, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFixture(t)
				for n := range 3 {
					s.append(n)
					synctest.Wait()
				}
				read, replaced := s.client.Range, false
				s.client.Range = func(ctx context.Context, r store.Range) (store.RangeResult, error) {
					res, err := read(ctx, r)
					if strings.Contains(r.Key, at) && !replaced {
						replaced = true
						_, newer := s.takeOver()
						_ = newer.Append([]Record{record(3)}, func(error) {})
						_ = newer.Snapshot([]Record{record(3)})
						time.Sleep(time.Second)
					}
					return res, err
				}
				_, err := tryTakeOwnership(t, s.service, s.client)
				is.True(errors.Is(err, ErrFenced))
			})
		})
	}
}

// Guards against a full queue that blocks or accepts records, and against writing a canceled record.
// The store is down until the queue is full; then a record is canceled to free space.
func TestBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFixture(t, Queue(3, 1<<20))
		s.faults.Down(true)
		s.append(1)
		synctest.Wait() // its commit is now in progress
		s.append(2)
		ticket, err := s.journal.AppendCancelable([]Record{record(3)}, func(error) { t.Error("done was called for a canceled record") })
		is.NoErr(err)
		s.append(4)
		is.Equal(s.results, []string{"4 not accepted"})
		is.True(ticket.Cancel())
		is.True(!ticket.Cancel())
		ticket, err = s.journal.AppendCancelable([]Record{record(5)}, func(err error) { is.NoErr(err) })
		is.NoErr(err)
		is.NoErr(s.journal.Snapshot([]Record{record(1), record(2), record(5)}))
		is.True(!ticket.Cancel()) // the snapshot already contains it
		s.faults.Down(false)
		is.NoErr(s.journal.Flush(context.Background()))
		is.True(errors.Is(s.journal.Append([]Record{{Data: make([]byte, DefaultGroupBytes)}}, nil), ErrTooLarge))
		time.Sleep(time.Minute)
		is.Equal(s.journal.Stats().Snapshots, int64(1))
		found, _ := s.takeOver()
		is.Equal(strings.Join(found, " "), "1 2 5")
		is.NoErr(s.journal.Close(context.Background()))
	})
}
