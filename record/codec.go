package record

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrCorrupt means that a stored value is not what a journal wrote.
var ErrCorrupt = errors.New("journal value damaged")

// Record is one change of the owner's state, or one item of a snapshot of it.
type Record struct {
	// Kind tells the owner how to read Data.
	Kind string `msgpack:"k"`
	// Key names what the record is about.
	Key string `msgpack:"n"`
	// Data is the owner's own.
	Data []byte `msgpack:"d"`
}

// A stored value is a magic number, the checksum of the rest, and msgpack.
const (
	magic     = "tgj1"
	sealBytes = len(magic) + 8
	// blockBytes is room for a seal and a blockHeader.
	blockBytes = 128
	// recordBytes is room for what msgpack adds to the three parts of a record.
	recordBytes = 32
)

// head says where recovery starts.
type head struct {
	Writer string `msgpack:"w"`
	// Generation names the snapshot's folder; empty means that there is no snapshot.
	Generation string `msgpack:"g"`
	// Number counts the snapshots.
	Number uint64 `msgpack:"n"`
	Parts  uint64 `msgpack:"p"`
	// First is the first segment that the snapshot does not cover.
	First uint64 `msgpack:"f"`
}

// blockHeader stands before the records of a segment or of a snapshot's part.
type blockHeader struct {
	Writer string `msgpack:"w"`
	Number uint64 `msgpack:"n"`
	Count  int    `msgpack:"c"`
}

// block is a decoded value whose records are still encoded.
type block struct {
	blockHeader
	records []byte
}

func seal(body []byte) []byte {
	out := make([]byte, 0, sealBytes+len(body))
	out = append(out, magic...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...)
}

func unseal(raw []byte) ([]byte, error) {
	if len(raw) < sealBytes || string(raw[:len(magic)]) != magic {
		return nil, fmt.Errorf("no seal: %w", ErrCorrupt)
	}
	body := raw[sealBytes:]
	if binary.BigEndian.Uint64(raw[len(magic):]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("wrong checksum: %w", ErrCorrupt)
	}
	return body, nil
}

func encodeHead(h head) ([]byte, error) {
	body, err := msgpack.Marshal(&h)
	return seal(body), err
}

func decodeHead(raw []byte) (head, error) {
	var h head
	body, err := unseal(raw)
	if err != nil {
		return h, err
	}
	if err := msgpack.Unmarshal(body, &h); err != nil {
		return h, errors.Join(ErrCorrupt, err)
	}
	if h.First == 0 || (h.Generation == "") != (h.Parts == 0) {
		return h, fmt.Errorf("head: %w", ErrCorrupt)
	}
	return h, nil
}

func encodeRecords(recs []Record) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	for i := range recs {
		if err := enc.Encode(&recs[i]); err != nil {
			return nil, err
		}
	}
	return buf.Bytes(), nil
}

func encodeBlock(h blockHeader, records ...[]byte) ([]byte, error) {
	body, err := msgpack.Marshal(&h)
	for _, r := range records {
		body = append(body, r...)
	}
	return seal(body), err
}

func decodeBlock(raw []byte) (block, error) {
	var b block
	body, err := unseal(raw)
	if err != nil {
		return b, err
	}
	r := bytes.NewReader(body)
	if err := msgpack.NewDecoder(r).Decode(&b.blockHeader); err != nil {
		return b, errors.Join(ErrCorrupt, err)
	}
	if b.Count < 0 {
		return b, fmt.Errorf("negative count: %w", ErrCorrupt)
	}
	b.records = body[len(body)-r.Len():]
	return b, nil
}

// each decodes the records one after the other.
func (b block) each(do func(Record) error) error {
	r := bytes.NewReader(b.records)
	dec := msgpack.NewDecoder(r)
	for range b.Count {
		var rec Record
		if err := dec.Decode(&rec); err != nil {
			return errors.Join(ErrCorrupt, err)
		}
		if err := do(rec); err != nil {
			return err
		}
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("more records than counted: %w", ErrCorrupt)
	}
	return nil
}
