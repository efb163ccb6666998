package record_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"turmericgap/record"
	standin "turmericgap/standin/store"
	"turmericgap/store"
	"turmericgap/store/etcd"
	"turmericgap/store/memory"
)

// Guards against wrong outcomes when the journal uses the HTTP gateway instead of the in-memory store.
// Responses are cut after the writes took effect, at commits and at a snapshot.
func TestOverGateway(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server := standin.New(memory.New())
	web := httptest.NewServer(server)
	defer web.Close()
	s := etcd.New(web.URL)
	const epoch = record.Prefix + "bangsar-dc/epoch"
	open := func() *record.Journal {
		res, err := s.Txn(ctx, store.Txn{Then: []store.Op{{Key: epoch}}})
		is.NoErr(err)
		j, err := record.Open(ctx, s, "bangsar-dc", epoch, res.Revision, record.Rate(1000, 1000))
		is.NoErr(err)
		return j
	}
	j := open()
	var state []record.Record
	var want []string
	for n := range 30 {
		if n%5 == 0 {
			server.Faults().LoseNext(2)
		}
		if n == 12 {
			is.NoErr(j.Snapshot(append([]record.Record(nil), state...)))
		}
		r := record.Record{Kind: "test", Key: fmt.Sprint(n), Data: []byte{0, 255, byte(n)}}
		state, want = append(state, r), append(want, r.Key)
		is.NoErr(j.Append([]record.Record{r}, func(err error) { is.NoErr(err) }))
		is.NoErr(j.Flush(ctx))
	}
	is.NoErr(j.Close(ctx))
	is.True(j.Stats().Lost > 0)
	next := open()
	var got []string
	is.NoErr(next.Replay(func(r record.Record) error { got = append(got, r.Key); return nil }))
	is.Equal(got, want)
	is.NoErr(next.Close(ctx))
}
