package record

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"turmericgap/store"
)

// Guards against an inspection that misses a fault on which Open fails, or reports one on which it does not.
// The journal has a snapshot of two records and three segments; then some of its keys are changed or deleted.
func TestInspect(t *testing.T) {
	seg := func(n uint64) string { return keys{Prefix + zone + "/"}.segment(n) }
	cases := []struct {
		name       string
		ops        []store.Op
		wantPlaces []string
	}{
		{"intact", nil, nil},
		{"old keys", []store.Op{{Key: seg(0)}, {Key: Prefix + zone + "/snap/0-old/0"}}, nil},
		{"gap", []store.Op{{Delete: true, Key: seg(3)}}, []string{"seg/0000000000000004"}},
		{"corrupt segments", []store.Op{{Key: seg(2), Value: []byte("x")}, {Key: seg(4), Value: []byte("y")}}, []string{"seg/0000000000000002", "seg/0000000000000004"}},
		{"no head", []store.Op{{Delete: true, Key: Prefix + zone + "/head"}}, []string{"seg/0000000000000002"}},
		{"corrupt head", []store.Op{{Key: Prefix + zone + "/head", Value: []byte("z")}}, []string{"head", "seg/0000000000000002"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx := context.Background()
				s := newFixture(t)
				for n := range 4 {
					s.append(n)
					is.NoErr(s.journal.Flush(ctx))
					if n == 0 {
						is.NoErr(s.journal.Snapshot([]Record{record(0), record(9)}))
						time.Sleep(time.Minute)
					}
				}
				_, err := s.client.Txn(ctx, store.Txn{Then: c.ops})
				is.NoErr(err)
				got, err := Inspect(ctx, s.client, zone)
				is.NoErr(err)
				var places []string
				for _, f := range got.Findings {
					places = append(places, f.Path)
				}
				is.Equal(places, c.wantPlaces)
				if c.wantPlaces == nil {
					is.Equal([]int{got.Parts, got.Segments, got.Records, got.Unused}, []int{1, 3, 5, len(c.ops)})
				}
				_, err = tryTakeOwnership(t, s.service, s.client)
				is.Equal(err != nil, c.wantPlaces != nil)
			})
		})
	}
}
