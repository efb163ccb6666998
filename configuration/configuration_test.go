package configuration

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/store"
	"turmericgap/store/memory"
)

const key = "conf"

func decode(raw []byte) (*job.Config, error) {
	v, err := strconv.ParseInt(string(raw), 10, 64)
	return &job.Config{Version: v}, err
}

func write(t *testing.T, s *memory.Service, text string) {
	t.Helper()
	if _, err := s.Store().Txn(t.Context(), store.Txn{Then: []store.Op{{Key: key, Value: []byte(text)}}}); err != nil {
		t.Fatal(err)
	}
}

func noPeer(context.Context, int64) (*Document, error) { return nil, errors.New("no peer") }

// A version must stay in force when an older or unreadable one arrives later, from the store or a peer.
func TestNeverBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		w := New(s.Store(), key, decode, noPeer, zap.NewNop())
		is.True(w.Current() == nil)
		write(t, s, "7")
		w.Start()
		defer w.Close()
		synctest.Wait()
		is.Equal(w.Current().Version, int64(7))
		for _, text := range []string{"6", "not a version", "7"} {
			write(t, s, text)
			w.Apply([]byte("5"), "peer")
			synctest.Wait()
			is.Equal(w.Current().Version, int64(7))
		}
		write(t, s, "9")
		synctest.Wait()
		is.Equal(w.Current().Version, int64(9))
		is.Equal(w.Document(), Document{Version: 9, Raw: []byte("9")})
	})
}

// The store does not answer this VM but serves the others. A new version must arrive from a peer within
// seconds.
func TestFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		var faults memory.Faults
		write(t, s, "7")
		w := New(s.Client(&faults), key, decode, func(_ context.Context, known int64) (*Document, error) {
			is.True(known >= 7)
			return &Document{Version: 8, Raw: []byte("8")}, nil
		}, zap.NewNop())
		w.Start()
		defer w.Close()
		synctest.Wait()
		faults.Down(true)
		write(t, s, "8")
		time.Sleep(peerPollAfter + 2*peerPollInterval)
		is.Equal(w.Current().Version, int64(8))
	})
}
