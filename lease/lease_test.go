package lease

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
	"turmericgap/store/memory"
)

// testHolder is a holder whose store calls go through injected faults.
type testHolder struct {
	faults *memory.Faults
	holder *Holder
	lost   []int64
	// pauseBefore and pauseAfter pause the process once, before a renewal is sent and before its answer is handled.
	pauseBefore, pauseAfter atomic.Int64
	// validAfterPause reports whether the holder trusted its lease right after such a pause.
	validAfterPause atomic.Bool
}

func (s *testHolder) pauseOnce(d *atomic.Int64) {
	if n := d.Swap(0); n > 0 {
		time.Sleep(time.Duration(n))
		s.validAfterPause.Store(s.holder.Valid())
	}
}

func newTestHolder(t *testing.T, opts ...Option) *testHolder {
	s := &testHolder{faults: &memory.Faults{}}
	client := memory.New().Client(s.faults)
	renew := client.KeepAlive
	client.KeepAlive = func(ctx context.Context, id int64) (time.Duration, error) {
		s.pauseOnce(&s.pauseBefore)
		ttl, err := renew(ctx, id)
		s.pauseOnce(&s.pauseAfter)
		return ttl, err
	}
	s.holder = New(client, append(opts, OnLost(func(id int64) { s.lost = append(s.lost, id) }))...)
	t.Cleanup(func() { _ = s.holder.Close(context.Background()) })
	if _, err := s.holder.Wait(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

// A holder must stop trusting its lease before the store ends it, whichever calls fail.
// The fault starts one second after the grant and hits a renewal or the time between two. The fields valid and invalid
// are ages of the lease at which the holder still trusts it and no longer trusts it.
func TestHolderFaults(t *testing.T) {
	const (
		second    = time.Second
		lastValid = 4400 * time.Millisecond
	)
	expired := []time.Duration{4500 * time.Millisecond}
	cases := []struct {
		name    string
		fault   func(s *testHolder)
		valid   time.Duration
		invalid []time.Duration
	}{
		{"store down", func(s *testHolder) { s.faults.Down(true) }, lastValid, expired},
		{"network partition", func(s *testHolder) { s.faults.Cut(true) }, lastValid, expired},
		{"answers of renewals lost", func(s *testHolder) { s.faults.LoseAnswer(true) }, lastValid, expired},
		{"paused before the renewal is sent", func(s *testHolder) { s.pauseBefore.Store(int64(10 * second)) }, lastValid, expired},
		{
			// The renewal was sent at 1.67 s; the lease counts from then, not from when the answer is handled.
			"paused before the answer is handled", func(s *testHolder) { s.pauseAfter.Store(int64(10 * second)) },
			lastValid, append(expired, 12*second),
		},
		{"one answer lost", func(s *testHolder) { s.faults.LoseNext(1) }, 5 * second, nil},
		{
			"one call hangs", func(s *testHolder) {
				s.faults.Delay(time.Minute)
				time.AfterFunc(second, func() { s.faults.Delay(0) })
			}, 5 * second, nil,
		},
		{"slow store", func(s *testHolder) { s.faults.Delay(second) }, 5 * second, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newTestHolder(t)
				start := time.Now()
				time.Sleep(second)
				c.fault(s)
				time.Sleep(c.valid - time.Since(start))
				is.True(s.holder.Valid())
				for _, age := range c.invalid {
					time.Sleep(age - time.Since(start))
					is.True(!s.holder.Valid())
				}
			})
		})
	}
}

// A process that was paused for longer than its lease must not act on it.
// Its first renewal after the pause reaches the store after the lease has expired. The holder learns that, gets a lease
// with another ID, and is never valid in between.
func TestHolderTakesNewLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestHolder(t)
		old := s.holder.ID()
		s.pauseBefore.Store(int64(time.Minute))
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		is.True(!s.validAfterPause.Load())
		is.Equal(s.lost, []int64{old})
		is.True(s.holder.ID() != old)
		is.True(s.holder.Valid())
		is.True(time.Until(s.holder.Deadline()) <= DefaultTTL-DefaultClockDrift)
	})
}

// The monotonic clock of a suspended VM may stand still while the store's wall clock runs on.
func TestBothClocks(t *testing.T) {
	now := time.Now()
	early, late := now.Add(-time.Second), now.Add(time.Second)
	cases := map[string]struct {
		deadline, wall time.Time
		want           bool
	}{
		"both before":    {late, late, true},
		"monotonic over": {early, late, false},
		"wall over":      {late, early, false},
		"both over":      {early, early, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(beforeBothClocks(now, c.deadline, c.wall.Round(0)), c.want) })
	}
}

// A message that waited while its sender's lease expired must not be sent.
func TestGuard(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	got := make(chan byte, 2)
	go func() {
		b := make([]byte, 1)
		for {
			if _, err := far.Read(b); err != nil {
				close(got)
				return
			}
			got <- b[0]
		}
	}()
	valid := true
	conn := Guard(near, func() bool { return valid })
	_, err := conn.Write([]byte{1})
	is.NoErr(err)
	valid = false
	n, err := conn.Write([]byte{2})
	is.True(errors.Is(err, ErrExpired))
	is.Equal(n, 0)
	near.Close()
	is.Equal(<-got, byte(1))
	_, more := <-got
	is.True(!more)
}

func TestClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New().Store()
		h := New(s, TTL(10*time.Second), ClockDrift(time.Second), RenewInterval(2*time.Second))
		id, err := h.Wait(context.Background())
		is.NoErr(err)
		is.NoErr(h.Close(context.Background()))
		is.True(!h.Valid())
		_, err = s.KeepAlive(context.Background(), id)
		is.True(errors.Is(err, store.ErrLeaseGone))
	})
}
