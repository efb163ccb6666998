package record

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

func sealedSeeds(f *testing.F) {
	h, err := encodeHead(head{Writer: "w", Generation: "g", Number: 1, Parts: 2, First: 3})
	if err != nil {
		f.Fatal(err)
	}
	raw, err := encodeRecords([]Record{{Kind: "k", Key: "n", Data: []byte("d")}, {}})
	if err != nil {
		f.Fatal(err)
	}
	b, err := encodeBlock(blockHeader{Writer: "w", Number: 1, Count: 2}, raw)
	if err != nil {
		f.Fatal(err)
	}
	lie, err := encodeBlock(blockHeader{Writer: "w", Count: math.MaxInt}, raw)
	if err != nil {
		f.Fatal(err)
	}
	for _, v := range [][]byte{h, b, lie, nil, []byte(magic)} {
		f.Add(v)
		if len(v) > sealBytes {
			f.Add(v[sealBytes:]) // a body, which the target seals itself
		}
	}
}

// A stored value may be anything. It is refused as damaged or read, and nothing else happens.
func FuzzDecodeBlock(f *testing.F) {
	sealedSeeds(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, value := range [][]byte{raw, seal(raw)} {
			b, err := decodeBlock(value)
			if err == nil {
				records := 0
				err = b.each(func(Record) error { records++; return nil })
				if err == nil && records != b.Count {
					t.Fatalf("%d records of %d", records, b.Count)
				}
			}
			if err != nil && !errors.Is(err, ErrCorrupt) {
				t.Fatalf("not told as damaged: %v", err)
			}
		}
	})
}

func FuzzDecodeHead(f *testing.F) {
	sealedSeeds(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, value := range [][]byte{raw, seal(raw)} {
			h, err := decodeHead(value)
			if err != nil {
				if !errors.Is(err, ErrCorrupt) {
					t.Fatalf("not told as damaged: %v", err)
				}
				continue
			}
			again, err := encodeHead(h)
			if err != nil {
				t.Fatal(err)
			}
			if back, err := decodeHead(again); err != nil || back != h {
				t.Fatalf("%+v comes back as %+v, %v", h, back, err)
			}
		}
	})
}

// One wrong byte anywhere is noticed.
func TestDamage(t *testing.T) {
	is := is.New(t)
	raw, err := encodeRecords([]Record{record(1), record(2)})
	is.NoErr(err)
	value, err := encodeBlock(blockHeader{Writer: "w", Number: 1, Count: 2}, raw)
	is.NoErr(err)
	for at := range value {
		broken := bytes.Clone(value)
		broken[at] ^= 0x40
		_, err := decodeBlock(broken)
		is.True(errors.Is(err, ErrCorrupt))
		_, err = decodeBlock(value[:at])
		is.True(errors.Is(err, ErrCorrupt))
	}
}

// The room that is reckoned for a record covers what msgpack makes of it; else a group could exceed
// its bound.
func TestRecordSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 31, 32, 255, 256, 65535, 65536, 1 << 20} {
		r := Record{Kind: string(make([]byte, n)), Key: string(make([]byte, n)), Data: make([]byte, n)}
		raw, err := msgpack.Marshal(&r)
		is.NoErr(err)
		is.True(len(raw) <= recordSize(&r))
	}
}
