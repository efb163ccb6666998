package record

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
)

// Option configures a Journal.
type Option func(*Journal)

// Logger sets the logger; the default discards all messages.
func Logger(l *zap.Logger) Option { return func(j *Journal) { j.log = l } }

// Metrics sets the registry for the journal's metrics.
func Metrics(r *metric.Registry) Option { return func(j *Journal) { j.metrics = r } }

// Rate limits the commits per second and their burst. Snapshot writes have a separate limit.
func Rate(perSecond float64, burst int) Option {
	return func(j *Journal) { j.rate, j.burst = perSecond, burst }
}

// Queue limits the records and bytes that are accepted but not yet durable.
func Queue(records, valueBytes int) Option {
	return func(j *Journal) { j.queueRecords, j.queueBytes = records, valueBytes }
}

// GroupBytes limits the size of a segment and of a snapshot part.
func GroupBytes(n int) Option { return func(j *Journal) { j.groupBytes = n } }

// SnapshotAfter sets the number of segments, and the bytes in them, after which a snapshot is due.
func SnapshotAfter(segments, valueBytes int) Option {
	return func(j *Journal) { j.maxSegments, j.maxSegmentBytes = segments, valueBytes }
}

// CallTimeout limits the duration of one store call.
func CallTimeout(d time.Duration) Option { return func(j *Journal) { j.callTimeout = d } }
