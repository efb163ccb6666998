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

// scene is an owner whose third record meets a fault.
type scene struct {
	t       *testing.T
	service *memory.Service
	faults  *memory.Faults
	client  *store.Store
	owner   *Journal
	// hold keeps the owner's next write from leaving until it is closed, as a pause of its process does.
	hold chan struct{}
	// told is what the owner heard about its records, in the order in which it heard.
	told []string
}

func newScene(t *testing.T, opts ...Option) *scene {
	s := &scene{t: t, service: memory.New(), faults: &memory.Faults{}}
	s.client = s.service.Client(s.faults)
	txn := s.client.Txn
	s.client.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
		if s.hold != nil {
			<-s.hold
		}
		return txn(ctx, x)
	}
	s.owner = own(t, s.service, s.client, opts...)
	return s
}

func (s *scene) append(n int) {
	err := s.owner.Append([]Record{record(n)}, func(err error) { s.told = append(s.told, fmt.Sprint(n, " ", err)) })
	if err != nil {
		s.told = append(s.told, fmt.Sprint(n, " not accepted"))
	}
}

// successor is what a new owner finds; it stays the owner.
func (s *scene) successor(opts ...Option) ([]string, *Journal) {
	j := own(s.t, s.service, s.service.Store(), opts...)
	return contents(s.t, j), j
}

// The caller has to hear of each record what is true: durable, surely not written, or open.
// One record is durable, then a fault meets the commit of the next two, which may be written or
// not; a third follows. Then the process dies, and a successor reads what the store holds.
func TestCommitFaults(t *testing.T) {
	const outage = time.Minute
	cases := []struct {
		name  string
		fault func(s *scene) // starts before the record "2" is appended
		after func(s *scene) // follows at once
		told  string
		found string
	}{
		{"none", func(*scene) {}, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"lost answer", func(s *scene) { s.faults.LoseNext(1) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"lost answer twice", func(s *scene) { s.faults.LoseNext(2) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"late message", func(s *scene) { s.faults.DeferNext(1, time.Second) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{"late messages, and the resends too", func(s *scene) { s.faults.DeferNext(3, time.Second) }, nil, "1 nil,2 nil,3 nil", "1 2 3"},
		{
			"outage", func(s *scene) { s.faults.Down(true) },
			func(s *scene) { time.Sleep(outage); s.faults.Down(false) }, "1 nil,2 nil,3 nil", "1 2 3",
		},
		{
			"outage after a lost answer", func(s *scene) { s.faults.LoseNext(1) },
			func(s *scene) { synctest.Wait(); s.faults.Down(true); time.Sleep(outage); s.faults.Down(false) }, "1 nil,2 nil,3 nil", "1 2 3",
		},
		{
			"so slow that no answer comes in time", func(s *scene) { s.faults.Delay(2 * DefaultCallTimeout) },
			func(s *scene) { time.Sleep(outage); s.faults.Delay(0) }, "1 nil,2 nil,3 nil", "1 2 3",
		},
		{
			"dies in an outage with nothing sent", func(s *scene) { s.faults.Down(true) }, nil,
			"1 nil,2 journal closed,3 journal closed", "1",
		},
		{
			"dies before it could ask for a lost answer", func(s *scene) { s.faults.LoseAnswer(true) }, nil,
			"1 nil,2 journal outcome unknown,3 journal closed", "1 2",
		},
		{
			"replaced before it writes", func(s *scene) { s.successor() }, nil,
			"1 nil,2 journal fenced,3 not accepted", "1",
		},
		{
			"frozen before the send, replaced, resumed", func(s *scene) { s.hold = make(chan struct{}) },
			func(s *scene) { synctest.Wait(); s.successor(); close(s.hold) },
			"1 nil,2 journal fenced,3 journal fenced", "1",
		},
		{
			"written, answer lost, replaced, then asks", func(s *scene) { s.faults.LoseAnswer(true) },
			func(s *scene) { synctest.Wait(); s.successor(); s.faults.LoseAnswer(false) },
			"1 nil,2 nil,3 journal fenced", "1 2",
		},
		{
			"not written, late message, replaced, then asks", func(s *scene) { s.faults.DeferNext(1, outage); s.faults.Delay(time.Second) },
			func(s *scene) { time.Sleep(time.Second); s.successor(); time.Sleep(outage) },
			"1 nil,2 journal fenced,3 journal fenced", "1",
		},
		{
			// The successor's snapshot removed the segment that would have told.
			"written, answer lost, replaced and snapshotted, then asks", func(s *scene) { s.faults.LoseAnswer(true) },
			func(s *scene) {
				synctest.Wait()
				found, next := s.successor()
				_ = next.Snapshot([]Record{{Key: strings.Join(found, " ")}})
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
				s := newScene(t)
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
				_ = s.owner.Close(ctx) // what it could not do was told to done
				is.Equal(strings.ReplaceAll(strings.Join(s.told, ","), "<nil>", "nil"), c.told)
				found, _ := s.successor()
				is.Equal(strings.Join(found, " "), c.found)
			})
		})
	}
}

// A snapshot must neither lose a record nor bring one back, whatever becomes of its writes.
// The owner hands over its state and appends one more record while the faults meet the snapshot's
// parts (writes 1 to 3) and its head (write 4); then it is replaced.
func TestSnapshotFaults(t *testing.T) {
	cases := []struct {
		name  string
		write int // the write of the snapshot that meets the fault
		fault func(s *scene)
		// replaced says that the owner loses its epoch by the fault.
		replaced bool
		found    string
	}{
		{"lost answer of a part", 2, func(s *scene) { s.faults.LoseNext(1) }, false, "0 1 2 3"},
		{"late part", 2, func(s *scene) { s.faults.DeferNext(1, 10*time.Second) }, false, "0 1 2 3"},
		{"outage at a part", 2, func(s *scene) { s.faults.Down(true); time.AfterFunc(time.Minute, func() { s.faults.Down(false) }) }, false, "0 1 2 3"},
		{"lost answer of the head", 4, func(s *scene) { s.faults.LoseNext(1) }, false, "0 1 2 3"},
		{"lost answers of the head, and of its resend", 4, func(s *scene) { s.faults.LoseNext(2) }, false, "0 1 2 3"},
		{"late head", 4, func(s *scene) { s.faults.DeferNext(1, 10*time.Second) }, false, "0 1 2 3"},
		{"outage at the head", 4, func(s *scene) { s.faults.Down(true); time.AfterFunc(time.Minute, func() { s.faults.Down(false) }) }, false, "0 1 2 3"},
		{"replaced before the first part", 1, func(s *scene) { s.successor() }, true, "0 1 2"},
		{"replaced between two parts", 2, func(s *scene) { s.successor() }, true, "0 1 2 3"},
		{"replaced before the head", 4, func(s *scene) { s.successor() }, true, "0 1 2 3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScene(t, GroupBytes(300))
				for n := range 3 {
					s.append(n)
				}
				is.NoErr(s.owner.Flush(context.Background()))
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
				is.NoErr(s.owner.Snapshot(state))
				s.append(3)
				time.Sleep(5 * time.Second)
				_ = s.owner.Snapshot(append(state, Record{Key: "3"})) // not accepted while the first is on its way
				time.Sleep(2 * time.Minute)
				stats := s.owner.Stats()
				_ = s.owner.Close(context.Background())
				if !c.replaced {
					is.True(stats.Snapshots > 0)
					is.True(stats.Segments < 2)
					is.Equal(stats.Unresolved, false)
				}
				found, _ := s.successor()
				is.Equal(strings.Join(found, " "), c.found)
				// Nothing of what was replaced may stay: the next snapshot removes also what a late message brought.
				time.Sleep(time.Minute)
				_, last := s.successor(GroupBytes(300))
				is.NoErr(last.Snapshot(state))
				time.Sleep(time.Minute)
				keys, _ := s.service.Size()
				is.Equal(keys, 5) // epoch, head, three parts
			})
		})
	}
}

// The caller was told that a record is durable; a message from before must not overwrite it.
// An owner's write is held back by the network, and the store goes down. The owner closes its
// journal, opens it again under the same epoch, and commits in the same place; then the old message
// arrives.
func TestReopenUnderSameEpoch(t *testing.T) {
	cases := []struct {
		name string
		late func(s *scene) // the write that is held back
		told string
		// snapshot says that the owner writes one after it opened the journal again.
		snapshot bool
	}{
		{"segment", func(s *scene) { s.append(2) }, "1 <nil>,2 journal outcome unknown", false},
		{"part of a snapshot", func(s *scene) { _ = s.owner.Snapshot([]Record{record(1)}) }, "1 <nil>", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScene(t)
				s.append(1)
				synctest.Wait()
				s.faults.DeferNext(1, time.Hour)
				c.late(s)
				synctest.Wait()
				s.faults.Down(true)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_ = s.owner.Close(ctx) // its outcome is in told
				is.Equal(strings.Join(s.told, ","), c.told)
				again, err := Open(context.Background(), s.service.Store(), zone, epochKey, s.owner.epochRevision)
				is.NoErr(err)
				is.NoErr(again.Append([]Record{record(3)}, func(err error) { is.NoErr(err) }))
				if c.snapshot {
					is.NoErr(again.Snapshot([]Record{record(1), record(3)}))
					time.Sleep(time.Second)
				}
				is.NoErr(again.Close(context.Background()))
				time.Sleep(2 * time.Hour)
				found, _ := s.successor()
				is.Equal(strings.Join(found, " "), "1 3")
			})
		})
	}
}

// A process that was replaced while it opened the journal must not take what it read for the whole.
// While it reads, a newer owner takes over, commits and removes segments by a snapshot.
func TestOpenReplaced(t *testing.T) {
	for _, at := range []string{"/epoch", "/head", "/seg/"} {
		t.Run(at, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScene(t)
				for n := range 3 {
					s.append(n)
					synctest.Wait()
				}
				read, replaced := s.client.Range, false
				s.client.Range = func(ctx context.Context, r store.Range) (store.RangeResult, error) {
					res, err := read(ctx, r)
					if strings.Contains(r.Key, at) && !replaced {
						replaced = true
						_, newer := s.successor()
						_ = newer.Append([]Record{record(3)}, func(error) {})
						_ = newer.Snapshot([]Record{record(3)})
						time.Sleep(time.Second)
					}
					return res, err
				}
				_, err := tryOwn(t, s.service, s.client)
				is.True(errors.Is(err, ErrFenced))
			})
		})
	}
}

// The caller of a full journal hears at once that nothing was accepted.
// The store is down, the ring fills; a record that is withdrawn makes room and is never written.
func TestBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t, Queue(3, 1<<20))
		s.faults.Down(true)
		s.append(1)
		synctest.Wait() // now on its way
		s.append(2)
		ticket, err := s.owner.AppendCancelable([]Record{record(3)}, func(error) { t.Error("told of a record that was withdrawn") })
		is.NoErr(err)
		s.append(4)
		is.Equal(s.told, []string{"4 not accepted"})
		is.True(ticket.Cancel())
		is.True(!ticket.Cancel())
		ticket, err = s.owner.AppendCancelable([]Record{record(5)}, func(err error) { is.NoErr(err) })
		is.NoErr(err)
		is.NoErr(s.owner.Snapshot([]Record{record(1), record(2), record(5)}))
		is.True(!ticket.Cancel()) // the snapshot holds it already
		s.faults.Down(false)
		is.NoErr(s.owner.Flush(context.Background()))
		is.True(errors.Is(s.owner.Append([]Record{{Data: make([]byte, DefaultGroupBytes)}}, nil), ErrTooLarge))
		time.Sleep(time.Minute)
		is.Equal(s.owner.Stats().Snapshots, int64(1))
		found, _ := s.successor()
		is.Equal(strings.Join(found, " "), "1 2 5")
		is.NoErr(s.owner.Close(context.Background()))
	})
}
