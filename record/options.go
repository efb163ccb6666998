package record

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
)

// Option sets up a Journal.
type Option func(*Journal)

// Logger sets where the journal logs.
func Logger(l *zap.Logger) Option { return func(j *Journal) { j.log = l } }

// Metrics sets where the journal counts.
func Metrics(r *metric.Registry) Option { return func(j *Journal) { j.metrics = r } }

// Rate bounds the commits, a second and at once; a snapshot has its own allowance.
func Rate(perSecond float64, burst int) Option {
	return func(j *Journal) { j.rate, j.burst = perSecond, burst }
}

// Queue bounds what is accepted and not yet durable.
func Queue(records, valueBytes int) Option {
	return func(j *Journal) { j.queueRecords, j.queueBytes = records, valueBytes }
}

// GroupBytes bounds one segment and one part of a snapshot.
func GroupBytes(n int) Option { return func(j *Journal) { j.groupBytes = n } }

// SnapshotAfter makes a snapshot due after so many segments, or so many bytes in them.
func SnapshotAfter(segments, valueBytes int) Option {
	return func(j *Journal) { j.maxSegments, j.maxSegmentBytes = segments, valueBytes }
}

// CallTimeout bounds one call of the store.
func CallTimeout(d time.Duration) Option { return func(j *Journal) { j.callTimeout = d } }
