package record

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
	"turmericgap/store/memory"
)

const zone = "kochi-hall"

var epochKey = Prefix + zone + "/epoch"

// own makes the caller the journal's owner, as a takeover does.
func own(t *testing.T, s *memory.Service, client *store.Store, opts ...Option) *Journal {
	t.Helper()
	j, err := tryOwn(t, s, client, opts...)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func tryOwn(t *testing.T, s *memory.Service, client *store.Store, opts ...Option) (*Journal, error) {
	res, err := s.Store().Txn(context.Background(), store.Txn{Then: []store.Op{{Key: epochKey}}})
	if err != nil {
		return nil, err
	}
	j, err := Open(context.Background(), client, zone, epochKey, res.Revision, opts...)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = j.Close(ctx) // a journal that a test left open ends with it
	})
	return j, nil
}

func record(n int) Record {
	return Record{Kind: "test", Key: fmt.Sprint(n), Data: []byte("data")}
}

// contents gives the keys of all that recovery finds.
func contents(t *testing.T, j *Journal) []string {
	t.Helper()
	var got []string
	if err := j.Replay(func(r Record) error { got = append(got, r.Key); return nil }); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestRecover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := memory.New()
		j := own(t, s, s.Store(), SnapshotAfter(2, 1<<20))
		for i := range 5 {
			is.NoErr(j.Append([]Record{record(i)}, func(err error) { is.NoErr(err) }))
			is.NoErr(j.Flush(context.Background()))
			if j.SnapshotDue() {
				is.NoErr(j.Snapshot([]Record{{Key: fmt.Sprint("upTo", i)}}))
				time.Sleep(2 * time.Second)
			}
		}
		is.NoErr(j.Close(context.Background()))
		next := own(t, s, s.Store())
		is.Equal(contents(t, next), []string{"upTo3", "4"})
		is.NoErr(next.Close(context.Background()))
	})
}
