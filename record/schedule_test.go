package record

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"turmericgap/store"
	"turmericgap/store/memory"
)

func TestMain(m *testing.M) {
	// The same schedules in each run, unless the command line asks for others.
	if err := errors.Join(flag.Set("rapid.seed", "7"), flag.Set("rapid.checks", "500"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// outcome is what an owner was told about a record.
type outcome struct {
	id  int
	err error
}

// model runs a schedule of appends, faults, deaths and takeovers, and judges what survives.
type model struct {
	t        *testing.T
	service  *memory.Service
	client   func(*memory.Faults) *store.Store
	faults   *memory.Faults
	clients  []*memory.Faults
	owner    *Journal
	state    []int // what the owner holds
	next     int
	outcomes chan outcome
}

// step is one drawn action with its size.
type step struct{ do, n int }

func (m *model) takeOver() error {
	m.faults = &memory.Faults{}
	m.clients = append(m.clients, m.faults)
	m.state = nil
	var err error
	m.owner, err = tryOwn(m.t, m.service, m.client(m.faults), SnapshotAfter(3, 1<<20), GroupBytes(400), CallTimeout(time.Second))
	if err != nil {
		return err
	}
	return m.owner.Replay(func(r Record) error {
		var id int
		_, err := fmt.Sscan(r.Key, &id)
		m.state = append(m.state, id)
		return err
	})
}

func (m *model) append(n int) {
	var recs []Record
	for range n {
		m.next++
		recs = append(recs, Record{Key: fmt.Sprint(m.next), Data: make([]byte, 20*n)})
	}
	first, last := m.next-n+1, m.next
	err := m.owner.Append(recs, func(err error) {
		for id := first; id <= last; id++ {
			m.outcomes <- outcome{id, err}
		}
	})
	for id := first; id <= last; id++ {
		if err != nil {
			m.outcomes <- outcome{id, ErrBusy}
		} else {
			m.state = append(m.state, id)
		}
	}
	if m.owner.SnapshotDue() {
		var state []Record
		for _, id := range m.state {
			state = append(state, Record{Key: fmt.Sprint(id)})
		}
		_ = m.owner.Snapshot(state) // refused by a journal that has ended
	}
}

func (m *model) run(steps []step) error {
	if err := m.takeOver(); err != nil {
		return err
	}
	for _, s := range steps {
		var err error
		d := time.Duration(s.n) * 300 * time.Millisecond
		switch s.do {
		case 0, 1:
			m.append(s.n)
		case 2, 3: // often enough apart for a group each, so that snapshots follow one another
			for range s.n {
				m.append(1)
				time.Sleep(120 * time.Millisecond)
			}
		case 4:
			time.Sleep(d)
		case 5:
			m.faults.LoseNext(s.n)
		case 6:
			m.faults.DeferNext(s.n, 4*d)
		case 7:
			f := m.faults
			f.Down(true)
			time.AfterFunc(d, func() { f.Down(false) })
		case 8:
			m.faults.Delay(d)
		case 11:
			f := m.faults
			f.LoseAnswer(true)
			time.AfterFunc(4*d, func() { f.LoseAnswer(false) })
		case 9: // the process dies: nothing of it leaves any more
			m.faults.Cut(true)
			m.owner.cancel()
			err = m.takeOver()
		case 10: // the process lives on and does not know that it was replaced
			err = m.takeOver()
		}
		if err != nil {
			return err
		}
	}
	for _, f := range m.clients {
		f.Delay(0)
	}
	time.Sleep(time.Minute)
	if err := m.takeOver(); err != nil {
		return err
	}
	time.Sleep(time.Minute)
	return m.judge()
}

// judge compares what a last owner finds with what was told.
func (m *model) judge() error {
	synctest.Wait()
	if !slices.IsSorted(m.state) || len(slices.Compact(slices.Clone(m.state))) != len(m.state) {
		return fmt.Errorf("twice or out of order: %v", m.state)
	}
	told := 0
	for len(m.outcomes) > 0 {
		o := <-m.outcomes
		_, found := slices.BinarySearch(m.state, o.id)
		switch {
		case o.err == nil && !found:
			return fmt.Errorf("record %d was told durable and is lost", o.id)
		case o.err != nil && !errors.Is(o.err, ErrUnknown) && found:
			return fmt.Errorf("record %d was told %w and is there", o.id, o.err)
		}
		told++
	}
	if told != m.next {
		return fmt.Errorf("%d outcomes of %d records", told, m.next)
	}
	return nil
}

const maxRecords = 1000

func schedule(t *testing.T, rt *rapid.T, plant func(*store.Store)) error {
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{rapid.IntRange(0, 11).Draw(rt, "do"), rapid.IntRange(1, 8).Draw(rt, "n")}
	}), 10, 60).Draw(rt, "steps")
	var err error
	synctest.Test(t, func(t *testing.T) {
		m := &model{t: t, service: memory.New(), outcomes: make(chan outcome, maxRecords)}
		m.client = func(f *memory.Faults) *store.Store {
			c := m.service.Client(f)
			plant(c)
			return c
		}
		err = m.run(steps)
	})
	return err
}

// Whatever happens, a successor finds each record that was told durable, once and in order, and
// none that was told not written.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := schedule(t, rt, func(*store.Store) {}); err != nil {
			rt.Fatal(err)
		}
	})
}

// The judge has to see what it is there for: each planted fault must be caught by some schedule.
func TestSchedulesCatch(t *testing.T) {
	cases := map[string]func(*store.Store){
		"told durable before it is": func(c *store.Store) {
			txn := c.Txn
			c.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
				go func() { _, _ = txn(ctx, x) }()
				return store.TxnResult{Succeeded: true}, nil
			}
		},
		"a lost answer taken for a failed write": func(c *store.Store) {
			txn := c.Txn
			c.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
				res, err := txn(ctx, x)
				if err != nil {
					return store.TxnResult{}, nil
				}
				return res, nil
			}
		},
		"no fence": func(c *store.Store) {
			txn := c.Txn
			c.Txn = func(ctx context.Context, x store.Txn) (store.TxnResult, error) {
				x.Compares = x.Compares[1:]
				return txn(ctx, x)
			}
		},
	}
	for name, plant := range cases {
		t.Run(name, func(t *testing.T) {
			caught := false
			rapid.Check(t, func(rt *rapid.T) { caught = schedule(t, rt, plant) != nil || caught })
			if !caught {
				t.Fatal("not caught")
			}
		})
	}
}
