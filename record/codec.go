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

// ErrCorrupt means that a stored value fails its checksum or cannot be decoded.
var ErrCorrupt = errors.New("journal value damaged")

// Record is one change of the owner's state, or one item of a snapshot of that state.
type Record struct {
	// Kind selects how the owner decodes Data.
	Kind string `msgpack:"k"`
	// Key identifies the object that the record describes.
	Key string `msgpack:"n"`
	// Data is opaque to the journal.
	Data []byte `msgpack:"d"`
}

// A stored value consists of a magic number, the checksum of the body, and the body in msgpack.
const (
	magic               = "tgj1"
	checksumHeaderBytes = len(magic) + 8
	// blockOverheadBytes is the upper bound of the size of the checksum header and the blockHeader.
	blockOverheadBytes = 128
	// recordOverheadBytes is the upper bound of the bytes that msgpack adds to the fields of a Record.
	recordOverheadBytes = 32
)

// head is the stored pointer to the newest snapshot and to the first segment after it; recovery starts there.
type head struct {
	Writer string `msgpack:"w"`
	// Generation is the key prefix of the snapshot's parts; it is empty if there is no snapshot.
	Generation string `msgpack:"g"`
	// Number is the sequence number of the snapshot.
	Number uint64 `msgpack:"n"`
	Parts  uint64 `msgpack:"p"`
	// First is the number of the first segment that the snapshot does not cover.
	First uint64 `msgpack:"f"`
}

// blockHeader precedes the records in a segment or a snapshot part.
type blockHeader struct {
	Writer string `msgpack:"w"`
	Number uint64 `msgpack:"n"`
	Count  int    `msgpack:"c"`
}

// block is a segment or snapshot part with a decoded header and records that are still encoded.
type block struct {
	blockHeader
	records []byte
}

func addChecksum(body []byte) []byte {
	out := make([]byte, 0, checksumHeaderBytes+len(body))
	out = append(out, magic...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...)
}

func verifyChecksum(raw []byte) ([]byte, error) {
	if len(raw) < checksumHeaderBytes || string(raw[:len(magic)]) != magic {
		return nil, fmt.Errorf("missing checksum header: %w", ErrCorrupt)
	}
	body := raw[checksumHeaderBytes:]
	if binary.BigEndian.Uint64(raw[len(magic):]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("checksum mismatch: %w", ErrCorrupt)
	}
	return body, nil
}

func encodeHead(h head) ([]byte, error) {
	body, err := msgpack.Marshal(&h)
	return addChecksum(body), err
}

func decodeHead(raw []byte) (head, error) {
	var h head
	body, err := verifyChecksum(raw)
	if err != nil {
		return h, err
	}
	if err := msgpack.Unmarshal(body, &h); err != nil {
		return h, errors.Join(ErrCorrupt, err)
	}
	if h.First == 0 || (h.Generation == "") != (h.Parts == 0) {
		return h, fmt.Errorf("journal head has inconsistent fields: %w", ErrCorrupt)
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
	return addChecksum(body), err
}

func decodeBlock(raw []byte) (block, error) {
	var b block
	body, err := verifyChecksum(raw)
	if err != nil {
		return b, err
	}
	r := bytes.NewReader(body)
	if err := msgpack.NewDecoder(r).Decode(&b.blockHeader); err != nil {
		return b, errors.Join(ErrCorrupt, err)
	}
	if b.Count < 0 {
		return b, fmt.Errorf("negative record count: %w", ErrCorrupt)
	}
	b.records = body[len(body)-r.Len():]
	return b, nil
}

// forEach decodes the records in order and calls do for each of them.
func (b block) forEach(do func(Record) error) error {
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
		return fmt.Errorf("data after the last record: %w", ErrCorrupt)
	}
	return nil
}
