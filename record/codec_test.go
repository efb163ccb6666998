package record

import (
	"bytes"
	"errors"
	"math"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

func addSeeds(f *testing.F) {
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
	wrongCount, err := encodeBlock(blockHeader{Writer: "w", Count: math.MaxInt}, raw)
	if err != nil {
		f.Fatal(err)
	}
	for _, v := range [][]byte{h, b, wrongCount, nil, []byte(magic)} {
		f.Add(v)
		if len(v) > checksumHeaderBytes {
			f.Add(v[checksumHeaderBytes:]) // a body without the checksum header, which the fuzz target adds
		}
	}
}

// Guards against a panic or an unexpected error when a stored value holds arbitrary bytes.
func FuzzDecodeBlock(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, value := range [][]byte{raw, addChecksum(raw)} {
			b, err := decodeBlock(value)
			if err == nil {
				records := 0
				err = b.forEach(func(Record) error { records++; return nil })
				if err == nil && records != b.Count {
					t.Fatalf("decoded %d of %d records", records, b.Count)
				}
			}
			if err != nil && !errors.Is(err, ErrCorrupt) {
				t.Fatalf("error is not ErrCorrupt: %v", err)
			}
		}
	})
}

func FuzzDecodeHead(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, value := range [][]byte{raw, addChecksum(raw)} {
			h, err := decodeHead(value)
			if err != nil {
				if !errors.Is(err, ErrCorrupt) {
					t.Fatalf("error is not ErrCorrupt: %v", err)
				}
				continue
			}
			again, err := encodeHead(h)
			if err != nil {
				t.Fatal(err)
			}
			if back, err := decodeHead(again); err != nil || back != h {
				t.Fatalf("%+v was decoded as %+v, error %v", h, back, err)
			}
		}
	})
}

// Guards against decoding a value with one wrong byte or a truncated value.
func TestCorruptionDetected(t *testing.T) {
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

// Guards against a record whose encoding is larger than recordSize, which would let a group exceed its limit.
func TestRecordSize(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 31, 32, 255, 256, 65535, 65536, 1 << 20} {
		r := Record{Kind: string(make([]byte, n)), Key: string(make([]byte, n)), Data: make([]byte, n)}
		raw, err := msgpack.Marshal(&r)
		is.NoErr(err)
		is.True(len(raw) <= recordSize(&r))
	}
}
