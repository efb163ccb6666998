package record

import (
	"context"
	"fmt"
	"strings"

	"turmericgap/finding"
	"turmericgap/store"
)

// maxInspectAttempts limits how often an inspection restarts because the owner wrote a snapshot while it ran.
const maxInspectAttempts = 3

// Report describes the stored state of one journal for an operator.
type Report struct {
	Zone string `json:"zone"`
	// Writer is the identity of the owner that wrote the newest snapshot.
	Writer        string `json:"writer"`
	Generation    string `json:"generation"`
	Parts         int    `json:"parts"`
	SnapshotBytes int    `json:"snapshotBytes"`
	// First is the first segment after the snapshot.
	First        uint64 `json:"first"`
	Segments     int    `json:"segments"`
	SegmentBytes int    `json:"segmentBytes"`
	// Records is the number of records that a recovery would replay.
	Records int `json:"records"`
	// Unused is the number of keys that recovery does not read; the next snapshot deletes them.
	Unused int `json:"unused"`
	// Findings lists the faults that would make recovery fail.
	Findings finding.List `json:"findings"`
}

// Inspect reads a zone's journal without taking ownership and without changing it. Unlike Open, which stops at the
// first fault, it collects all of them.
func Inspect(ctx context.Context, s *store.Store, name string) (Report, error) {
	in := inspection{store: s, keys: keys{root: Prefix + name + "/"}}
	for try := 1; ; try++ {
		in.report = Report{Zone: name, Findings: finding.List{}}
		before, err := in.readHead(ctx)
		if err != nil {
			return in.report, err
		}
		if err := in.readAll(ctx); err != nil {
			return in.report, err
		}
		after, err := in.revision(ctx)
		if err != nil {
			return in.report, err
		}
		if before == after || try == maxInspectAttempts {
			if before != after {
				in.report.Findings.Add("head", "changed during the inspection; try again")
			}
			return in.report, nil
		}
	}
}

type inspection struct {
	store       *store.Store
	keys        keys
	head        head
	nextSegment uint64 // the expected number of the next segment
	nextPart    uint64 // the expected number of the next part
	report      Report
}

func (in *inspection) revision(ctx context.Context) (int64, error) {
	res, err := in.store.Range(ctx, store.Range{Key: in.keys.head()})
	if err != nil || len(res.Pairs) == 0 {
		return 0, err
	}
	return res.Pairs[0].ModRevision, nil
}

func (in *inspection) readHead(ctx context.Context) (int64, error) {
	in.head = head{First: 1}
	res, err := in.store.Range(ctx, store.Range{Key: in.keys.head()})
	if err != nil {
		return 0, err
	}
	revision := int64(0)
	for _, p := range res.Pairs {
		revision = p.ModRevision
		if in.head, err = decodeHead(p.Value); err != nil {
			in.report.Findings.Add("head", "%s", err.Error())
		}
	}
	in.nextSegment, in.nextPart = in.head.First, 0
	in.report.Writer, in.report.Generation, in.report.First = in.head.Writer, in.head.Generation, in.head.First
	return revision, nil
}

func (in *inspection) readAll(ctx context.Context) error {
	for _, prefix := range []string{in.keys.segments(), in.keys.snapshots()} {
		r := store.Range{Key: prefix, End: store.PrefixEnd(prefix), Limit: pageLimit}
		for more := true; more; {
			res, err := in.store.Range(ctx, r)
			if err != nil {
				return err
			}
			for _, p := range res.Pairs {
				in.examine(p)
				r.Key = p.Key + "\x00"
			}
			more = res.More && len(res.Pairs) > 0
		}
	}
	if in.nextPart != in.head.Parts {
		in.report.Findings.Add("snap/"+in.head.Generation, "has %d parts of %d", in.nextPart, in.head.Parts)
	}
	return nil
}

// examine checks one key, which is a segment, a part of the current snapshot, or unused.
func (in *inspection) examine(p store.Pair) {
	place := strings.TrimPrefix(p.Key, in.keys.root)
	if rest, ok := strings.CutPrefix(p.Key, in.keys.segments()); ok {
		if n, err := parseNumber(rest); err == nil && n >= in.head.First {
			in.checkOrder(place, n, &in.nextSegment)
			in.count(place, p, n, &in.report.Segments, &in.report.SegmentBytes)
			return
		}
	}
	if rest, ok := strings.CutPrefix(p.Key, in.keys.parts(in.head.Generation)); ok && in.head.Generation != "" {
		if n, err := parseNumber(rest); err == nil && n < in.head.Parts {
			in.checkOrder(place, n, &in.nextPart)
			in.count(place, p, n, &in.report.Parts, &in.report.SnapshotBytes)
			return
		}
	}
	in.report.Unused++
}

func (in *inspection) checkOrder(place string, n uint64, next *uint64) {
	if n != *next {
		in.report.Findings.Add(place, "comes where %d is missing", *next)
	}
	*next = n + 1
}

func (in *inspection) count(place string, p store.Pair, n uint64, keys, size *int) {
	*keys++
	*size += len(p.Value)
	b, err := decodeBlock(p.Value)
	if err == nil {
		err = b.forEach(func(Record) error { in.report.Records++; return nil })
	}
	if err == nil && b.Number != n {
		err = fmt.Errorf("contains a block with number %d: %w", b.Number, ErrCorrupt)
	}
	if err != nil {
		in.report.Findings.Add(place, "%s", err.Error())
	}
}
