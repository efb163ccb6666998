package health

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
	"turmericgap/store/memory"
)

// Guards against late detection of an outage, and against detecting one when a response is lost or the store is slow.
// The process makes a call every 20 ms.
func TestFailing(t *testing.T) {
	const never = time.Duration(-1)
	for name, c := range map[string]struct {
		fault func(f *memory.Faults)
		// within is the maximum time until the fault is detected, or never if it must not be detected.
		within time.Duration
	}{
		"silent":           {func(f *memory.Faults) { f.Cut(true) }, 110 * time.Millisecond},
		"rejects calls":    {func(f *memory.Faults) { f.Down(true) }, 45 * time.Millisecond},
		"one answer lost":  {func(f *memory.Faults) { f.LoseNext(1) }, never},
		"a little slower":  {func(f *memory.Faults) { f.Delay(30 * time.Millisecond) }, never},
		"all answers lost": {func(f *memory.Faults) { f.LoseAnswer(true) }, 45 * time.Millisecond},
		"no fault":         {func(*memory.Faults) {}, never},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				faults := &memory.Faults{}
				m, s := New(memory.New().Client(faults))
				faults.Delay(4 * time.Millisecond)
				step := func() {
					go func() { _, _ = s.Txn(t.Context(), store.Txn{Then: []store.Op{{Key: "k"}}}) }()
					time.Sleep(20 * time.Millisecond)
				}
				for range 20 {
					step()
				}
				_, failing := m.Failing()
				is.True(!failing)
				start := time.Now()
				c.fault(faults)
				detected := never
				for time.Since(start) < 600*time.Millisecond {
					step()
					if _, failing := m.Failing(); failing && detected == never {
						detected = time.Since(start)
					}
				}
				is.True(detected <= c.within && (detected == never) == (c.within == never))
				faults.Down(false)
				faults.Cut(false)
				faults.LoseAnswer(false)
				faults.Delay(4 * time.Millisecond)
				for range 3 {
					step()
				}
				_, failing = m.Failing()
				is.True(!failing)
			})
		})
	}
}

// Guards against a slow store that counts as failing after its first slow response.
func TestSlowStoreIsNotFailing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		faults := &memory.Faults{}
		m, s := New(memory.New().Client(faults))
		faults.Delay(330 * time.Millisecond)
		failing := 0
		for range 200 {
			go func() { _, _ = s.Txn(t.Context(), store.Txn{Then: []store.Op{{Key: "k"}}}) }()
			time.Sleep(20 * time.Millisecond)
			if _, isFailing := m.Failing(); isFailing {
				failing++
			}
		}
		is.True(failing > 5 && failing < 20)
	})
}

// Guards against counting contact with the store as unbroken across a moment in which the store may have been away: a
// failed call, a late response, or a time without calls.
func TestContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		faults := &memory.Faults{}
		m, s := New(memory.New().Client(faults))
		renew := func() { _, _ = s.Txn(t.Context(), store.Txn{Then: []store.Op{{Key: "k"}}}) }
		for _, fault := range []func(){
			func() {},
			func() { faults.LoseAnswer(true); renew(); faults.LoseAnswer(false) },
			func() { faults.Down(true); renew(); faults.Down(false) },
			func() { faults.Delay(800 * time.Millisecond); renew(); faults.Delay(0) },
			func() { time.Sleep(time.Second) },
		} {
			fault()
			is.Equal(m.Contact(), time.Duration(0))
			for range 10 {
				renew()
				time.Sleep(300 * time.Millisecond)
			}
			is.Equal(m.Contact(), 3*time.Second)
		}
		time.Sleep(200 * time.Millisecond)
		is.Equal(m.Contact(), 3200*time.Millisecond)
		time.Sleep(time.Second)
		is.Equal(m.Contact(), time.Duration(0))
	})
}

// Guards against taking a store for failing because it rejects calls that are invalid: it has answered.
func TestRejectedCallIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, s := New(memory.New().Client(&memory.Faults{}))
		invalid := store.Txn{Then: []store.Op{{Key: "k", Value: make([]byte, store.MaxValueBytes+1)}}}
		for range 10 {
			_, err := s.Txn(t.Context(), invalid)
			is.True(errors.Is(err, store.ErrInvalid))
			time.Sleep(20 * time.Millisecond)
		}
		_, failing := m.Failing()
		is.True(!failing)
		is.True(m.Contact() > 0)
	})
}
