package connection

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"turmericgap/metric"
)

// open opens connections within a budget. An evicted one is closed as soon as the others wait for that.
func open(t *testing.T, b *Budget, n int) (out []*Holder, evicted *[]int) {
	t.Helper()
	evicted = new([]int)
	for i := range n {
		var h *Holder
		h = b.Open(func() {
			*evicted = append(*evicted, i)
			go func() { h.Close() }()
		})
		out = append(out, h)
	}
	return out, evicted
}

// Guards against callers whose connections stay open and keep others out, and against the loss of the newest ones.
func TestStillestConnectionIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget("test", Limits{Connections: 3, Bytes: 1 << 20}, metric.New())
		all, evicted := open(t, b, 3)
		all[2].Receiving()
		all[0].Idle()
		is.NoErr(all[1].Serve())
		_, first := open(t, b, 1)
		is.Equal(*evicted, []int{2}) // has received for longest
		_, second := open(t, b, 1)
		is.Equal(*evicted, []int{2, 0})
		_, _ = open(t, b, 1)
		is.Equal(*evicted, []int{2, 0}) // the other one is being served
		is.Equal(*first, []int{0})
		is.Equal(*second, []int(nil))
	})
}

// Guards against a request that is cut off while it is served.
func TestServedConnectionIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget("test", Limits{Connections: 1, Bytes: 1 << 20}, metric.New())
		all, evicted := open(t, b, 1)
		is.NoErr(all[0].Serve())
		opened := false
		go func() { b.Open(func() {}); opened = true }()
		synctest.Wait()
		is.True(!opened)
		all[0].Idle()
		synctest.Wait()
		is.True(opened)
		is.Equal(*evicted, []int{0})
	})
}

// Guards against requests that together hold more memory than the budget has, and against the loss of the newest one.
func TestStillestRequestIsEvicted(t *testing.T) {
	const part = 256 << 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget("test", Limits{Connections: 9, Bytes: 1 << 20}, metric.New())
		all, evicted := open(t, b, 4)
		for _, h := range all[:2] {
			h.Receiving()
			is.NoErr(h.Grow(part))
		}
		all[0].Receiving() // has made progress since
		all[2].Receiving()
		is.NoErr(all[2].Grow(part))
		is.Equal(*evicted, []int{1})
		is.True(errors.Is(all[1].Grow(1), ErrEvicted))
		is.True(errors.Is(all[1].Serve(), ErrEvicted))
		is.True(b.used <= b.limits.Bytes)
	})
}

// Guards against large requests that leave nothing for small ones.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget("test", Limits{Connections: 9, Bytes: 1 << 20}, metric.New())
		all, _ := open(t, b, 3)
		is.NoErr(all[0].Grow(700 << 10))
		is.NoErr(all[0].Serve())
		is.True(errors.Is(all[1].Grow(100<<10), ErrExhausted))
		is.NoErr(all[2].Grow(smallBytes))
		all[0].Idle()
		is.NoErr(all[1].Grow(100 << 10))
		for _, h := range all {
			h.Close()
			h.Close()
		}
		is.Equal(b.used, int64(0))
		is.Equal(b.count, 0)
	})
}
