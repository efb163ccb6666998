package record

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// recover reads head, snapshot and segments. The epoch was ours before the first read, so no older
// owner changes anything meanwhile; a newer one may, and then what was read is no use.
func (j *Journal) recover(ctx context.Context) error {
	if err := j.checkEpoch(ctx); err != nil {
		return err
	}
	err := j.readAll(ctx)
	if err != nil && ctx.Err() != nil {
		return err
	}
	if fenced := j.checkEpoch(ctx); fenced != nil {
		return fenced
	}
	return err
}

func (j *Journal) checkEpoch(ctx context.Context) error {
	p, err := j.readKey(ctx, j.epochKey)
	if err != nil {
		return err
	}
	if p.ModRevision != j.epochRevision {
		return ErrFenced
	}
	return nil
}

func (j *Journal) readAll(ctx context.Context) error {
	p, err := j.readKey(ctx, j.keys.head())
	if err != nil {
		return err
	}
	j.head = head{First: 1}
	if p.ModRevision != 0 {
		if j.head, err = decodeHead(p.Value); err != nil {
			return err
		}
		j.headRevision = p.ModRevision
	}
	if j.head.Generation != "" {
		if err := j.readSnapshot(ctx); err != nil {
			return err
		}
	}
	return j.readSegments(ctx)
}

func (j *Journal) readSnapshot(ctx context.Context) error {
	folder := j.keys.parts(j.head.Generation)
	next := uint64(0)
	err := j.readBlocks(ctx, folder, next, func(b block, size int) error {
		if b.Writer != j.head.Writer || b.Number != next {
			return fmt.Errorf("part %d of snapshot %s: %w", next, j.head.Generation, ErrCorrupt)
		}
		next++
		j.stats.SnapshotBytes += size
		return nil
	})
	if err == nil && next != j.head.Parts {
		err = fmt.Errorf("snapshot %s has %d parts of %d: %w", j.head.Generation, next, j.head.Parts, ErrCorrupt)
	}
	return err
}

func (j *Journal) readSegments(ctx context.Context) error {
	j.next = j.head.First
	err := j.readBlocks(ctx, j.keys.segments(), j.next, func(b block, size int) error {
		if b.Number != j.next {
			return fmt.Errorf("segment %d is followed by %d: %w", j.next-1, b.Number, ErrCorrupt)
		}
		j.next++
		j.addSegment(size)
		return nil
	})
	return err
}

// readBlocks reads the values in a folder from number first on, page by page.
func (j *Journal) readBlocks(ctx context.Context, folder string, first uint64, each func(b block, size int) error) error {
	r := store.Range{Key: folder + number(first), End: store.PrefixEnd(folder), Limit: pageLimit}
	for {
		res, err := j.read(ctx, r)
		if err != nil {
			return err
		}
		for _, p := range res.Pairs {
			b, err := decodeBlock(p.Value)
			if n, bad := parseNumber(strings.TrimPrefix(p.Key, folder)); bad != nil || n != b.Number {
				err = errors.Join(err, ErrCorrupt)
			}
			if err == nil {
				err = each(b, len(p.Value))
			}
			if err != nil {
				return fmt.Errorf("%s: %w", p.Key, err)
			}
			j.replay = append(j.replay, b)
		}
		if !res.More || len(res.Pairs) == 0 {
			return nil
		}
		r.Key = res.Pairs[len(res.Pairs)-1].Key + "\x00"
	}
}

// readKey gives the pair, or one without revisions when the key is not there.
func (j *Journal) readKey(ctx context.Context, key string) (store.Pair, error) {
	res, err := j.read(ctx, store.Range{Key: key})
	if err != nil || len(res.Pairs) == 0 {
		return store.Pair{}, err
	}
	return res.Pairs[0], nil
}

// read repeats a read until it has an answer or ctx ends.
func (j *Journal) read(ctx context.Context, r store.Range) (store.RangeResult, error) {
	return retry.Read(ctx, func(ctx context.Context) (store.RangeResult, error) {
		j.count(func(s *Stats) { s.Calls++ })
		ctx, cancel := context.WithTimeout(ctx, j.callTimeout)
		defer cancel()
		return j.store.Range(ctx, r)
	})
}

// Replay calls each with the records of the snapshot and then, in order, of the segments that Open
// read, and forgets them.
func (j *Journal) Replay(each func(Record) error) error {
	j.mu.Lock()
	blocks := j.replay
	j.replay = nil
	j.mu.Unlock()
	for i, b := range blocks {
		if err := b.each(each); err != nil {
			return err
		}
		blocks[i] = block{}
	}
	return nil
}
