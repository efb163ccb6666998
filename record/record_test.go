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

// takeOwnership writes a new epoch and opens the journal, as a takeover does.
func takeOwnership(t *testing.T, s *memory.Service, client *store.Store, opts ...Option) *Journal {
	t.Helper()
	j, err := tryTakeOwnership(t, s, client, opts...)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func tryTakeOwnership(t *testing.T, s *memory.Service, client *store.Store, opts ...Option) (*Journal, error) {
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
		_ = j.Close(ctx) // stops the journal if the test has left it open
	})
	return j, nil
}

func record(n int) Record {
	return Record{Kind: "test", Key: fmt.Sprint(n), Data: []byte("data")}
}

// recoveredKeys returns the keys of all recovered records.
func recoveredKeys(t *testing.T, j *Journal) []string {
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
		j := takeOwnership(t, s, s.Store(), SnapshotAfter(2, 1<<20))
		for i := range 5 {
			is.NoErr(j.Append([]Record{record(i)}, func(err error) { is.NoErr(err) }))
			is.NoErr(j.Flush(context.Background()))
			if j.SnapshotDue() {
				is.NoErr(j.Snapshot([]Record{{Key: fmt.Sprint("upTo", i)}}))
				time.Sleep(2 * time.Second)
			}
		}
		is.NoErr(j.Close(context.Background()))
		next := takeOwnership(t, s, s.Store())
		is.Equal(recoveredKeys(t, next), []string{"upTo3", "4"})
		is.NoErr(next.Close(context.Background()))
	})
}
