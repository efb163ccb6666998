package configuration

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"turmericgap/job"
	"turmericgap/store"
	"turmericgap/store/memory"
)

const key = "conf"

func decode(raw []byte) (*job.Config, error) {
	v, err := strconv.ParseInt(string(raw), 10, 64)
	return &job.Config{Version: v}, err
}

func onePeer() []string { return []string{"10.0.0.2:1"} }

func write(t *testing.T, s *memory.Service, text string) {
	t.Helper()
	if _, err := s.Store().Txn(t.Context(), store.Txn{Then: []store.Op{{Key: key, Value: []byte(text)}}}); err != nil {
		t.Fatal(err)
	}
}

// A version must stay in force when an older or unreadable one arrives later, from the store or a peer.
func TestNeverBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		w := New(s.Store(), key, decode)
		is.True(w.Current() == nil)
		write(t, s, "7")
		w.Start()
		defer w.Close()
		synctest.Wait()
		is.Equal(w.Current().Version, int64(7))
		for _, text := range []string{"6", "not a version", "7"} {
			write(t, s, text)
			w.Apply([]byte("5"), "peer", time.Now())
			synctest.Wait()
			is.Equal(w.Current().Version, int64(7))
		}
		write(t, s, "9")
		synctest.Wait()
		is.Equal(w.Current().Version, int64(9))
		is.Equal(w.Document(), Document{Version: 9, Raw: []byte("9")})
	})
}

// The store does not answer this VM but serves the others. A new version must arrive from a peer in time.
func TestFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		var faults memory.Faults
		write(t, s, "7")
		w := New(s.Client(&faults), key, decode, Peers("10.0.0.1:1", onePeer, func(_ context.Context, _ string, req *PeerRequest) (*PeerReply, error) {
			is.True(req.KnownVersion >= 7)
			return &PeerReply{Document: Document{Version: 8, Raw: []byte("8")}}, nil
		}))
		w.Start()
		defer w.Close()
		synctest.Wait()
		faults.Down(true)
		write(t, s, "8")
		time.Sleep(DefaultApplyWithin)
		is.Equal(w.Current().Version, int64(8))
	})
}

// Guards against a VM that takes an old configuration for the newest one: its view ages while neither the store nor
// another VM confirms it, also if the other VM's own view is old or the other VM runs a build that reports no age.
func TestAgeOfTheView(t *testing.T) {
	replies := map[string]struct {
		reply   PeerReply
		version int64
		wantAge time.Duration
	}{
		"confirmed by a fresh peer":       {PeerReply{Confirmed: true}, 7, 0},
		"confirmed by an old peer":        {PeerReply{Confirmed: true, Age: 4 * time.Second}, 7, 4 * time.Second},
		"newer version":                   {PeerReply{Document: Document{Version: 8, Raw: []byte("8")}, Confirmed: true, Age: time.Second}, 8, time.Second},
		"newer version, no age":           {PeerReply{Document: Document{Version: 8, Raw: []byte("8")}}, 8, 10 * time.Second},
		"newer version, not readable":     {PeerReply{Document: Document{Version: 8, Raw: []byte("x")}, Confirmed: true}, 7, 10 * time.Second},
		"peer knows only an older one":    {PeerReply{}, 7, 10 * time.Second},
		"confirmed longer ago than known": {PeerReply{Confirmed: true, Age: time.Hour}, 7, 10 * time.Second},
	}
	for name, c := range replies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := memory.New()
				var faults memory.Faults
				write(t, s, "7")
				w := New(s.Client(&faults), key, decode, Peers("10.0.0.1:1", onePeer, func(context.Context, string, *PeerRequest) (*PeerReply, error) { return &c.reply, nil }))
				w.Start()
				synctest.Wait()
				w.Close()
				is.Equal(w.View().Config.Version, int64(7))
				is.Equal(time.Since(w.View().ConfirmedAt), time.Duration(0))
				faults.Down(true)
				time.Sleep(10 * time.Second)
				w.Refresh(t.Context())
				is.Equal(w.View().Config.Version, c.version)
				is.Equal(time.Since(w.View().ConfirmedAt), c.wantAge)
				faults.Down(false)
				time.Sleep(refreshInterval)
				w.Refresh(t.Context())
				is.Equal(time.Since(w.View().ConfirmedAt), time.Duration(0))
			})
		})
	}
}

// Guards against an answer to another VM that makes an old view look fresh.
func TestReplyTellsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		w := New(s.Store(), key, decode)
		is.Equal(w.Reply(&PeerRequest{KnownVersion: 0}), &PeerReply{Served: true})
		write(t, s, "7")
		w.Refresh(t.Context())
		time.Sleep(100 * time.Millisecond)
		is.Equal(w.Reply(&PeerRequest{KnownVersion: 8}), &PeerReply{Served: true})
		is.Equal(w.Reply(&PeerRequest{KnownVersion: 7}), &PeerReply{Confirmed: true, Age: 100 * time.Millisecond, Served: true})
		is.Equal(w.Reply(&PeerRequest{KnownVersion: 6}), &PeerReply{Document: Document{Version: 7, Raw: []byte("7")}, Confirmed: true, Age: 100 * time.Millisecond, KnownFor: 100 * time.Millisecond, Served: true})
		time.Sleep(time.Second)
		is.Equal(w.Reply(&PeerRequest{KnownVersion: 7}), &PeerReply{Confirmed: true, Age: 1100 * time.Millisecond})
	})
}

// Guards against callers with unknown keys that wait for other VMs twice while the store is known to be silent.
func TestRefreshAsksOthersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		var faults memory.Faults
		faults.Cut(true)
		asked := 0
		w := New(s.Client(&faults), key, decode, Peers("10.0.0.1:1", onePeer, func(ctx context.Context, _ string, _ *PeerRequest) (*PeerReply, error) {
			asked++
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		defer w.Close() // ends the read that goes on
		for range 2 {
			time.Sleep(DefaultApplyWithin)
			began := time.Now()
			w.Refresh(t.Context())
			is.Equal(time.Since(began), peerTimeout+refreshTimeout)
		}
		is.Equal(asked, 2)
	})
}

// Guards against a log from which nobody can tell how late a VM was with a version, and from whom it learned of it.
func TestLogTellsLagAndSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		var faults memory.Faults
		write(t, s, "7")
		core, logged := observer.New(zap.InfoLevel)
		w := New(s.Client(&faults), key, decode, Logger(zap.New(core)), Peers("10.0.0.1:1", onePeer, func(context.Context, string, *PeerRequest) (*PeerReply, error) {
			return &PeerReply{Document: Document{Version: 8, Raw: []byte("8")}, Confirmed: true, KnownFor: 2500 * time.Millisecond}, nil
		}))
		w.Start()
		defer w.Close()
		synctest.Wait()
		faults.Cut(true)
		time.Sleep(DefaultApplyWithin)
		lines := logged.FilterMessage("configuration: in force").All()
		is.Equal(len(lines), 2)
		fromStore, fromPeer := lines[0].ContextMap(), lines[1].ContextMap()
		is.Equal(fromStore["from"], "store")
		is.Equal(fromStore["behind"], time.Duration(0))
		is.Equal(fromPeer["from"], onePeer()[0])
		is.Equal(fromPeer["behind"], 2500*time.Millisecond)
		is.Equal(fromPeer["previous"], int64(7))
		is.Equal(w.metrics.Counters()["configuration.late"], int64(1))
	})
}
