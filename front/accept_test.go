package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/store/health"
	"turmericgap/store/memory"
)

// desk is an acceptor over a store whose faults the test sets.
type desk struct {
	*acceptor
	faults memory.Faults
}

func newDesk(t *testing.T) *desk {
	d := &desk{}
	monitor, kv := health.New(memory.New().Client(&d.faults))
	ctx, cancel := context.WithCancel(t.Context())
	d.acceptor = newAcceptor(ctx, &Options{
		Store: kv, Logger: zap.NewNop(), Metrics: metric.New(), StoreLastAnswer: monitor.LastAnswer, StoreFailing: monitor.Failing, StoreSilent: monitor.Silent,
	})
	t.Cleanup(func() {
		cancel()
		d.wg.Wait()
	})
	return d
}

func (d *desk) hand(t *testing.T, id string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	begun := time.Now()
	_, err := d.submit(ctx, &submission{work: &job.Work{ID: id}, begun: begun})
	return time.Since(begun), err
}

func code(err error) rpc.Code {
	if f := rpc.AsFault(err); f != nil {
		return f.Code
	}
	return ""
}

// The store falls silent. The caller whose work was sent already hears that its outcome is open, not that
// it never runs; those who come later are refused at once and unsent; and as soon as a watch has told of
// the store's return, callers are accepted again, though no transaction was sent meanwhile.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t)
		_, err := d.hand(t, "before")
		is.NoErr(err)
		d.faults.Cut(true)
		took, err := d.hand(t, "sent")
		is.Equal(code(err), rpc.CodeUnknown)
		is.True(took < 2*time.Second)
		took, err = d.hand(t, "unsent")
		is.Equal(code(err), rpc.CodeRefused)
		is.Equal(took, time.Duration(0))
		d.faults.Cut(false)
		time.Sleep(10 * time.Second)
		_, err = d.o.Store.Range(t.Context(), store.Range{Key: "any"})
		is.NoErr(err)
		for _, id := range []string{"unsent", "sent", "before"} {
			_, err = d.hand(t, id)
			is.NoErr(err)
		}
	})
}

// The store fell silent while this VM had nothing to ask of it. The caller is refused for certain, since
// something harmless was asked first; a work that had been sent might still run after the outage.
func TestOutageNobodyNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t)
		time.Sleep(time.Second)
		d.faults.Cut(true)
		took, err := d.hand(t, "work")
		is.Equal(code(err), rpc.CodeRefused)
		is.True(took <= probeWithin)
		d.faults.Cut(false)
		time.Sleep(10 * time.Second)
		res, err := d.o.Store.Range(t.Context(), store.Range{Key: "turmericgap/", End: store.PrefixEnd("turmericgap/")})
		is.NoErr(err)
		is.Equal(len(res.Pairs), 0)
	})
}

// The store declines calls, which did nothing: the caller is refused for certain within a moment, with a
// time to come again.
func TestDecliningStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t)
		d.faults.Down(true)
		took, err := d.hand(t, "work")
		is.Equal(code(err), rpc.CodeRefused)
		is.True(took < 200*time.Millisecond)
		is.Equal(rpc.AsFault(err).RetryAfter, retryStore)
		d.faults.Down(false)
		_, err = d.hand(t, "work")
		is.NoErr(err)
	})
}

// An answer is lost after the work was created: the next try finds it, and it counts as accepted.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDesk(t)
		d.faults.LoseNext(1)
		_, err := d.hand(t, "work")
		is.New(t).NoErr(err)
	})
}
