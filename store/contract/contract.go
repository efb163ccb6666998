package contract

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
)

// caseTimeout ends a case that hangs; no result depends on it.
const caseTimeout = 30 * time.Second

// Run runs all test cases; open returns an empty store for each of them.
func Run(t *testing.T, open func(t *testing.T) *store.Store) {
	cases := map[string]func(ctx context.Context, is *is.I, s *store.Store){
		"a put is read back with its revisions":                   readBack,
		"a failed compare applies nothing":                        failedCompare,
		"a compare with zero succeeds only for a missing key":     compareMissing,
		"a range delete excludes its end":                         deleteRange,
		"a limit truncates the result and sets More":              limit,
		"a read of changes omits the keys that have not changed":  changedSince,
		"a value that is too large is rejected without effect":    tooLarge,
		"a duplicate key in one transaction is rejected":          duplicateKey,
		"a renewal of a revoked lease fails with ErrLeaseGone":    renewRevoked,
		"revoking a lease deletes its keys":                       revoke,
		"a put with a missing lease applies nothing":              putMissingLease,
		"a key rewritten without a lease outlives the lease":      detachLease,
		"a watch resumes in order and without a gap":              watch,
		"a watch reports deletes, and one transaction as a batch": watchDelete,
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			run(ctx, is.New(t), open(t))
		})
	}
}

func put(key, value string) store.Op { return store.Op{Key: key, Value: []byte(value)} }

func write(ctx context.Context, is *is.I, s *store.Store, ops ...store.Op) int64 {
	is.Helper()
	res, err := s.Txn(ctx, store.Txn{Then: ops})
	is.NoErr(err)
	is.True(res.Succeeded)
	return res.Revision
}

func keysOf(ctx context.Context, is *is.I, s *store.Store, prefix string) []string {
	is.Helper()
	res, err := s.Range(ctx, store.Range{Key: prefix, End: store.PrefixEnd(prefix)})
	is.NoErr(err)
	keys := []string{}
	for _, p := range res.Pairs {
		keys = append(keys, p.Key)
	}
	return keys
}

func readBack(ctx context.Context, is *is.I, s *store.Store) {
	first := write(ctx, is, s, put("a", "1"))
	second := write(ctx, is, s, put("a", "2"))
	is.True(second > first)
	res, err := s.Range(ctx, store.Range{Key: "a"})
	is.NoErr(err)
	is.Equal(res.Pairs,
		[]store.Pair{{Key: "a", Value: []byte("2"), CreateRevision: first, ModRevision: second, Version: 2}})
	is.Equal(res.Revision, second)
}

func failedCompare(ctx context.Context, is *is.I, s *store.Store) {
	first := write(ctx, is, s, put("a", "1"))
	write(ctx, is, s, put("a", "2"))
	res, err := s.Txn(ctx, store.Txn{
		Compares: []store.Compare{{Key: "a", Target: store.CreateRevision, Revision: first}, {Key: "a", Target: store.ModRevision, Revision: first}},
		Then:     []store.Op{put("b", "1")},
	})
	is.NoErr(err)
	is.True(!res.Succeeded)
	is.Equal(keysOf(ctx, is, s, "b"), []string{})
}

func compareMissing(ctx context.Context, is *is.I, s *store.Store) {
	t := store.Txn{Compares: []store.Compare{{Key: "a", Target: store.CreateRevision}}, Then: []store.Op{put("a", "1")}}
	for _, want := range []bool{true, false} {
		res, err := s.Txn(ctx, t)
		is.NoErr(err)
		is.Equal(res.Succeeded, want)
	}
}

func deleteRange(ctx context.Context, is *is.I, s *store.Store) {
	write(ctx, is, s, put("k/1", ""), put("k/2", ""), put("k/3", ""), put("l", ""))
	write(ctx, is, s, store.Op{Delete: true, Key: "k/1", End: "k/3"})
	is.Equal(keysOf(ctx, is, s, "k/"), []string{"k/3"})
	write(ctx, is, s, store.Op{Delete: true, Key: "k/", End: store.PrefixEnd("k/")})
	is.Equal(keysOf(ctx, is, s, "k/"), []string{})
	is.Equal(keysOf(ctx, is, s, "l"), []string{"l"})
}

func changedSince(ctx context.Context, is *is.I, s *store.Store) {
	first := write(ctx, is, s, put("a", "1"))
	for _, c := range []struct {
		since int64
		pairs int
	}{{0, 1}, {first - 1, 1}, {first, 0}} {
		res, err := s.Range(ctx, store.Range{Key: "a", ChangedSince: c.since})
		is.NoErr(err)
		is.Equal(len(res.Pairs), c.pairs)
		is.True(res.Revision >= first)
	}
	second := write(ctx, is, s, put("a", "2"))
	res, err := s.Range(ctx, store.Range{Key: "a", ChangedSince: first})
	is.NoErr(err)
	is.Equal(len(res.Pairs), 1)
	is.Equal(res.Pairs[0].ModRevision, second)
}

func limit(ctx context.Context, is *is.I, s *store.Store) {
	write(ctx, is, s, put("k/1", ""), put("k/2", ""), put("k/3", ""))
	for n, more := range map[int64]bool{2: true, 3: false, 0: false} {
		res, err := s.Range(ctx, store.Range{Key: "k/", End: store.PrefixEnd("k/"), Limit: n})
		is.NoErr(err)
		is.Equal(res.More, more)
	}
}

func tooLarge(ctx context.Context, is *is.I, s *store.Store) {
	large := store.Op{Key: "a", Value: bytes.Repeat([]byte{1}, store.MaxValueBytes+1)}
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{put("b", ""), large}})
	is.True(errors.Is(err, store.ErrInvalid))
	is.Equal(keysOf(ctx, is, s, ""), []string{})
}

func duplicateKey(ctx context.Context, is *is.I, s *store.Store) {
	for _, second := range []store.Op{put("a", "2"), {Delete: true, Key: "a"}, {Delete: true, Key: "A", End: "b"}} {
		_, err := s.Txn(ctx, store.Txn{Then: []store.Op{put("a", "1"), second}})
		is.True(errors.Is(err, store.ErrInvalid))
	}
}

func renewRevoked(ctx context.Context, is *is.I, s *store.Store) {
	lease, err := s.Grant(ctx, time.Minute)
	is.NoErr(err)
	ttl, err := s.KeepAlive(ctx, lease)
	is.NoErr(err)
	is.Equal(ttl, time.Minute)
	is.NoErr(s.Revoke(ctx, lease))
	_, err = s.KeepAlive(ctx, lease)
	is.True(errors.Is(err, store.ErrLeaseGone))
	is.True(errors.Is(s.Revoke(ctx, lease), store.ErrLeaseGone))
}

func revoke(ctx context.Context, is *is.I, s *store.Store) {
	lease, err := s.Grant(ctx, time.Minute)
	is.NoErr(err)
	write(ctx, is, s, store.Op{Key: "a", Lease: lease}, put("b", ""))
	is.NoErr(s.Revoke(ctx, lease))
	is.Equal(keysOf(ctx, is, s, ""), []string{"b"})
}

func putMissingLease(ctx context.Context, is *is.I, s *store.Store) {
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{put("a", ""), {Key: "b", Lease: 99}}})
	is.True(errors.Is(err, store.ErrLeaseGone))
	is.Equal(keysOf(ctx, is, s, ""), []string{})
}

func detachLease(ctx context.Context, is *is.I, s *store.Store) {
	lease, err := s.Grant(ctx, time.Minute)
	is.NoErr(err)
	write(ctx, is, s, store.Op{Key: "a", Lease: lease})
	write(ctx, is, s, put("a", "1"))
	is.NoErr(s.Revoke(ctx, lease))
	is.Equal(keysOf(ctx, is, s, ""), []string{"a"})
}

// collect watches until it has received n events. It returns the batches and the number of events.
func collect(ctx context.Context, s *store.Store, prefix string, from int64, n int) ([]store.Batch, int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var got []store.Batch
	events := 0
	// The watch ends with an error because of the cancel; the caller checks the collected batches.
	_ = s.Watch(ctx, prefix, from, func(b store.Batch) {
		got = append(got, b)
		if events += len(b.Events); events >= n {
			cancel()
		}
	})
	return got, events
}

func watch(ctx context.Context, is *is.I, s *store.Store) {
	const writes = 20
	start := write(ctx, is, s, put("k/0", "0"))
	go func() {
		for i := 1; i <= writes; i++ {
			_, _ = s.Txn(ctx, store.Txn{Then: []store.Op{put("k/a", strconv.Itoa(i))}})
			_, _ = s.Txn(ctx, store.Txn{Then: []store.Op{put("other", "")}})
		}
	}()
	first, n := collect(ctx, s, "k/", start, writes/2)
	last := first[len(first)-1].Revision
	second, _ := collect(ctx, s, "k/", last+1, writes+1-n)
	want := 0
	for _, b := range append(first, second...) {
		for _, e := range b.Events {
			is.Equal(string(e.Pair.Value), strconv.Itoa(want)) // no gaps, no duplicates, in order
			want++
		}
	}
	is.Equal(want, writes+1)
}

func watchDelete(ctx context.Context, is *is.I, s *store.Store) {
	start := write(ctx, is, s, put("k/1", "x"), put("k/2", "y"))
	end := write(ctx, is, s, store.Op{Delete: true, Key: "k/1"})
	got, _ := collect(ctx, s, "k/", start, 3)
	is.Equal(len(got), 2)
	is.Equal(len(got[0].Events), 2)
	is.Equal(got[1].Revision, end)
	is.True(got[1].Events[0].Deleted)
	is.Equal(got[1].Events[0].Pair.Key, "k/1")
}
