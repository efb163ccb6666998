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

func nobody(context.Context, int64) (*Document, error) { return nil, errors.New("no peer") }

// A version that is in force stays so when an older one comes later, from the store or from a peer, and
// when one cannot be read.
func TestNeverBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		k := New(s.Store(), key, decode, nobody, zap.NewNop())
		is.True(k.Current() == nil)
		write(t, s, "7")
		k.Start()
		defer k.Close()
		synctest.Wait()
		is.Equal(k.Current().Version, int64(7))
		for _, text := range []string{"6", "not a version", "7"} {
			write(t, s, text)
			k.Apply([]byte("5"), "peer")
			synctest.Wait()
			is.Equal(k.Current().Version, int64(7))
		}
		write(t, s, "9")
		synctest.Wait()
		is.Equal(k.Current().Version, int64(9))
		is.Equal(k.Document(), Document{Version: 9, Raw: []byte("9")})
	})
}

// The store turns this VM away and serves the others. A new version comes from a peer within seconds.
func TestFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		var faults memory.Faults
		write(t, s, "7")
		k := New(s.Client(&faults), key, decode, func(_ context.Context, known int64) (*Document, error) {
			is.True(known >= 7)
			return &Document{Version: 8, Raw: []byte("8")}, nil
		}, zap.NewNop())
		k.Start()
		defer k.Close()
		synctest.Wait()
		faults.Down(true)
		write(t, s, "8")
		time.Sleep(askAfter + 2*askEvery)
		is.Equal(k.Current().Version, int64(8))
	})
}
