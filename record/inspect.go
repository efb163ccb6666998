package record

import (
	"context"
	"fmt"
	"strings"

	"turmericgap/finding"
	"turmericgap/store"
)

// inspectTries bounds how often an inspection starts again because an owner cut a snapshot meanwhile.
const inspectTries = 3

// Report tells what the store holds of one journal, for an operator.
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
	// Records counts those that a recovery would replay.
	Records int `json:"records"`
	// Unused counts keys that no recovery reads; the next snapshot removes them.
	Unused int `json:"unused"`
	// Findings are the faults because of which a recovery would fail.
	Findings finding.List `json:"findings"`
}

// Inspect reads a zone's journal without owning it and changes nothing; it collects all findings,
// where Open stops at the first.
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
		if before == after || try == inspectTries {
			if before != after {
				in.report.Findings.Add("head", "changed while it was read; ask again")
			}
			return in.report, nil
		}
	}
}

type inspection struct {
	store  *store.Store
	keys   keys
	head   head
	next   uint64 // the segment that has to come next
	part   uint64 // the part that has to come next
	report Report
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
	in.next, in.part = in.head.First, 0
	in.report.Writer, in.report.Generation, in.report.First = in.head.Writer, in.head.Generation, in.head.First
	return revision, nil
}

func (in *inspection) readAll(ctx context.Context) error {
	for _, folder := range []string{in.keys.segments(), in.keys.snapshots()} {
		r := store.Range{Key: folder, End: store.PrefixEnd(folder), Limit: pageLimit}
		for more := true; more; {
			res, err := in.store.Range(ctx, r)
			if err != nil {
				return err
			}
			for _, p := range res.Pairs {
				in.look(p)
				r.Key = p.Key + "\x00"
			}
			more = res.More && len(res.Pairs) > 0
		}
	}
	if in.part != in.head.Parts {
		in.report.Findings.Add("snap/"+in.head.Generation, "has %d parts of %d", in.part, in.head.Parts)
	}
	return nil
}

// look takes one key, which is a segment, a part of the snapshot, or neither.
func (in *inspection) look(p store.Pair) {
	place := strings.TrimPrefix(p.Key, in.keys.root)
	if rest, ok := strings.CutPrefix(p.Key, in.keys.segments()); ok {
		if n, err := parseNumber(rest); err == nil && n >= in.head.First {
			in.expect(place, n, &in.next)
			in.count(place, p, n, &in.report.Segments, &in.report.SegmentBytes)
			return
		}
	}
	if rest, ok := strings.CutPrefix(p.Key, in.keys.parts(in.head.Generation)); ok && in.head.Generation != "" {
		if n, err := parseNumber(rest); err == nil && n < in.head.Parts {
			in.expect(place, n, &in.part)
			in.count(place, p, n, &in.report.Parts, &in.report.SnapshotBytes)
			return
		}
	}
	in.report.Unused++
}

func (in *inspection) expect(place string, n uint64, next *uint64) {
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
		err = b.each(func(Record) error { in.report.Records++; return nil })
	}
	if err == nil && b.Number != n {
		err = fmt.Errorf("bears the number %d: %w", b.Number, ErrCorrupt)
	}
	if err != nil {
		in.report.Findings.Add(place, "%s", err.Error())
	}
}
