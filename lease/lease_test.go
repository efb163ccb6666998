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

// scene is a holder whose calls go through faults.
type scene struct {
	faults *memory.Faults
	holder *Holder
	lost   []int64
	// before and after are pauses of the process, once, before a renewal leaves and with its answer in hand.
	before, after atomic.Int64
	// wokeValid says that the holder trusted its lease right after such a pause.
	wokeValid atomic.Bool
}

func (s *scene) pause(d *atomic.Int64) {
	if n := d.Swap(0); n > 0 {
		time.Sleep(time.Duration(n))
		s.wokeValid.Store(s.holder.Valid())
	}
}

func newScene(t *testing.T, opts ...Option) *scene {
	s := &scene{faults: &memory.Faults{}}
	client := memory.New().Client(s.faults)
	renew := client.KeepAlive
	client.KeepAlive = func(ctx context.Context, id int64) (time.Duration, error) {
		s.pause(&s.before)
		ttl, err := renew(ctx, id)
		s.pause(&s.after)
		return ttl, err
	}
	s.holder = New(client, append(opts, OnLost(func(id int64) { s.lost = append(s.lost, id) }))...)
	t.Cleanup(func() { _ = s.holder.Close(context.Background()) })
	if _, err := s.holder.Wait(context.Background()); err != nil {
		t.Fatal(err)
	}
	return s
}

// A holder must stop trusting its lease before the service ends it, whatever happens to its calls.
// The fault starts one second after the grant, at a renewal's moment or between two; valid and
// invalid are ages of the lease at which the holder still trusts it and does not any more.
func TestHolderFaults(t *testing.T) {
	const (
		second    = time.Second
		lastValid = 4400 * time.Millisecond
	)
	lapsed := []time.Duration{4500 * time.Millisecond}
	cases := []struct {
		name    string
		fault   func(s *scene)
		valid   time.Duration
		invalid []time.Duration
	}{
		{"store down", func(s *scene) { s.faults.Down(true) }, lastValid, lapsed},
		{"cut off", func(s *scene) { s.faults.Cut(true) }, lastValid, lapsed},
		{"answers of renewals lost", func(s *scene) { s.faults.LoseAnswer(true) }, lastValid, lapsed},
		{"frozen before the renewal leaves", func(s *scene) { s.before.Store(int64(10 * second)) }, lastValid, lapsed},
		{
			// The renewal left at 1.67 s; the answer counts from then, not from when it is read.
			"frozen with the answer in hand", func(s *scene) { s.after.Store(int64(10 * second)) },
			lastValid, append(lapsed, 12*second),
		},
		{"one answer lost", func(s *scene) { s.faults.LoseNext(1) }, 5 * second, nil},
		{
			"one call hangs", func(s *scene) {
				s.faults.Delay(time.Minute)
				time.AfterFunc(second, func() { s.faults.Delay(0) })
			}, 5 * second, nil,
		},
		{"slow", func(s *scene) { s.faults.Delay(second) }, 5 * second, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newScene(t)
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

// A process that was paused past its lease wakes and must not act on it.
// Its first renewal after the pause reaches the service after the lease has lapsed; the holder is
// told, takes a new lease with another ID, and is never valid in between.
func TestHolderTakesNewLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScene(t)
		old := s.holder.ID()
		s.before.Store(int64(time.Minute))
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		is.True(!s.wokeValid.Load())
		is.Equal(s.lost, []int64{old})
		is.True(s.holder.ID() != old)
		is.True(s.holder.Valid())
		is.True(time.Until(s.holder.Deadline()) <= DefaultTTL-DefaultClockDrift)
	})
}

// A suspended VM's monotonic clock may stand still while the wall clock of the service goes on.
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
		t.Run(name, func(t *testing.T) { is.New(t).Equal(before(now, c.deadline, c.wall.Round(0)), c.want) })
	}
}

// A message that waited while its sender's lease lapsed must not leave.
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
