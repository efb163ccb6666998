package record

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"turmericgap/store"
	"turmericgap/store/retry"
)

// recover reads the head, the snapshot and the segments. This owner wrote the epoch before the first read, so no older
// owner can change the journal meanwhile. A newer owner can, so the epoch is checked again after the reads.
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
	prefix := j.keys.parts(j.head.Generation)
	next := uint64(0)
	err := j.readBlocks(ctx, prefix, next, func(b block, size int) error {
		if b.Writer != j.head.Writer || b.Number != next {
			return fmt.Errorf("part %d of snapshot %s: %w", next, j.head.Generation, ErrCorrupt)
		}
		next++
		j.stats.SnapshotBytes += size
		return nil
	})
	if err == nil && next != j.head.Parts {
		err = fmt.Errorf("snapshot %s has %d of %d parts: %w", j.head.Generation, next, j.head.Parts, ErrCorrupt)
	}
	return err
}

func (j *Journal) readSegments(ctx context.Context) error {
	j.nextSegment = j.head.First
	err := j.readBlocks(ctx, j.keys.segments(), j.nextSegment, func(b block, size int) error {
		if b.Number != j.nextSegment {
			return fmt.Errorf("segment %d is followed by segment %d: %w", j.nextSegment-1, b.Number, ErrCorrupt)
		}
		j.nextSegment++
		j.addSegment(size)
		return nil
	})
	return err
}

// readBlocks reads the values under prefix page by page, starting at number first, and calls each for every block.
func (j *Journal) readBlocks(ctx context.Context, prefix string, first uint64, each func(b block, size int) error) error {
	r := store.Range{Key: prefix + number(first), End: store.PrefixEnd(prefix), Limit: pageLimit}
	for {
		res, err := j.read(ctx, r)
		if err != nil {
			return err
		}
		for _, p := range res.Pairs {
			b, err := decodeBlock(p.Value)
			if n, parseErr := parseNumber(strings.TrimPrefix(p.Key, prefix)); parseErr != nil || n != b.Number {
				err = errors.Join(err, ErrCorrupt)
			}
			if err == nil {
				err = each(b, len(p.Value))
			}
			if err != nil {
				return fmt.Errorf("%s: %w", p.Key, err)
			}
			j.recovered = append(j.recovered, b)
		}
		if !res.More || len(res.Pairs) == 0 {
			return nil
		}
		r.Key = res.Pairs[len(res.Pairs)-1].Key + "\x00"
	}
}

// readKey returns the pair stored under key, or the zero Pair if the key does not exist.
func (j *Journal) readKey(ctx context.Context, key string) (store.Pair, error) {
	res, err := j.read(ctx, store.Range{Key: key})
	if err != nil || len(res.Pairs) == 0 {
		return store.Pair{}, err
	}
	return res.Pairs[0], nil
}

// read retries a read until it succeeds or ctx ends.
func (j *Journal) read(ctx context.Context, r store.Range) (store.RangeResult, error) {
	return retry.Read(ctx, func(ctx context.Context) (store.RangeResult, error) {
		j.updateStats(func(s *Stats) { s.Calls++ })
		ctx, cancel := context.WithTimeout(ctx, j.callTimeout)
		defer cancel()
		return j.store.Range(ctx, r)
	})
}

// Replay calls each with the records of the snapshot and then with those of the segments, in order, as read by Open.
// It then releases them; a second call replays nothing.
func (j *Journal) Replay(each func(Record) error) error {
	j.mu.Lock()
	blocks := j.recovered
	j.recovered = nil
	j.mu.Unlock()
	for i, b := range blocks {
		if err := b.forEach(each); err != nil {
			return err
		}
		blocks[i] = block{}
	}
	return nil
}
