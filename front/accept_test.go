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

// acceptorFixture is an acceptor on an in-memory store with injected faults.
type acceptorFixture struct {
	*acceptor
	faults memory.Faults
}

func newAcceptorFixture(t *testing.T) *acceptorFixture {
	a := &acceptorFixture{}
	monitor, kv := health.New(memory.New().Client(&a.faults))
	ctx, cancel := context.WithCancel(t.Context())
	a.acceptor = newAcceptor(ctx, &Options{
		Store: kv, Logger: zap.NewNop(), Metrics: metric.New(), StoreLastAnswer: monitor.LastAnswer, StoreFailing: monitor.Failing, StoreSilent: monitor.Silent,
	})
	t.Cleanup(func() {
		cancel()
		a.wg.Wait()
	})
	return a
}

func (a *acceptorFixture) submitWork(t *testing.T, id string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	receivedAt := time.Now()
	_, err := a.submit(ctx, &submission{work: &job.Work{ID: id}, receivedAt: receivedAt})
	return time.Since(receivedAt), err
}

func codeOf(err error) rpc.Code {
	if f := rpc.AsFault(err); f != nil {
		return f.Code
	}
	return ""
}

// The store stops answering. A caller whose work was already sent must get an unknown outcome, not a refusal; later
// callers must be refused at once without a call to the store. Once any call to the store succeeds again, callers
// must be accepted, although no transaction was sent meanwhile.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAcceptorFixture(t)
		_, err := a.submitWork(t, "before")
		is.NoErr(err)
		a.faults.Cut(true)
		took, err := a.submitWork(t, "sent")
		is.Equal(codeOf(err), rpc.CodeUnknown)
		is.True(took < 2*time.Second)
		took, err = a.submitWork(t, "unsent")
		is.Equal(codeOf(err), rpc.CodeRefused)
		is.Equal(took, time.Duration(0))
		a.faults.Cut(false)
		time.Sleep(10 * time.Second)
		_, err = a.opts.Store.Range(t.Context(), store.Range{Key: "any"})
		is.NoErr(err)
		for _, id := range []string{"unsent", "sent", "before"} {
			_, err = a.submitWork(t, id)
			is.NoErr(err)
		}
	})
}

// The store stopped answering while this VM was idle, so the outage is not known yet. The probe must fail first, so
// that the caller is refused for certain; a work sent during the outage might still run after it.
func TestOutageNobodyNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAcceptorFixture(t)
		time.Sleep(time.Second)
		a.faults.Cut(true)
		took, err := a.submitWork(t, "work")
		is.Equal(codeOf(err), rpc.CodeRefused)
		is.True(took <= probeTimeout)
		a.faults.Cut(false)
		time.Sleep(10 * time.Second)
		res, err := a.opts.Store.Range(t.Context(), store.Range{Key: "turmericgap/", End: store.PrefixEnd("turmericgap/")})
		is.NoErr(err)
		is.Equal(len(res.Pairs), 0)
	})
}

// The store declines calls, which then have no effect. The caller must be refused quickly and for certain, with a
// retry time.
func TestDecliningStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newAcceptorFixture(t)
		a.faults.Down(true)
		took, err := a.submitWork(t, "work")
		is.Equal(codeOf(err), rpc.CodeRefused)
		is.True(took < 200*time.Millisecond)
		is.Equal(rpc.AsFault(err).RetryAfter, storeRetryAfter)
		a.faults.Down(false)
		_, err = a.submitWork(t, "work")
		is.NoErr(err)
	})
}

// The answer to a transaction is lost after the work was created. The next attempt must find the work and count it
// as accepted.
func TestLostCommitReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAcceptorFixture(t)
		a.faults.LoseNext(1)
		_, err := a.submitWork(t, "work")
		is.New(t).NoErr(err)
	})
}
