package front

import (
	"time"

	"go.uber.org/zap"

	"turmericgap/dispatch"
	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/rpc"
	"turmericgap/rule"
	"turmericgap/store"
)

const (
	// acceptQueueSize limits the submissions that wait for a transaction; a full queue refuses more.
	acceptQueueSize = 256
	// maxConcurrentTxns limits the concurrent transactions: more than one, so that a slow store does not
	// serialize submissions, and few, so that an unavailable store is not flooded.
	maxConcurrentTxns = 4
	// maxConcurrentRefusals limits the calls that establish whether a submission that was not read may be refused.
	maxConcurrentRefusals = 4
	// submissionsPerTxn is how many submissions fit into a transaction of 32 entries; each takes four.
	submissionsPerTxn = 8
	// storeTimeout limits one call to the store.
	storeTimeout = 900 * time.Millisecond
	// unknownOutcomeTimeout is how long a submission with an unknown outcome is retried before its caller is told.
	// The caller can then resolve it by repeating the ID, on this or another VM.
	unknownOutcomeTimeout = 1200 * time.Millisecond
	// declinedRetryDelay is the delay before the second and last attempt of a call that the store declined.
	declinedRetryDelay = 60 * time.Millisecond
	// probeIdleThreshold is the time since the store's last answer after which it is probed by a read before a
	// write: ten times its usual response time. probeTimeout limits the probe; it is longer than the response time
	// of a slow store.
	probeIdleThreshold = 50 * time.Millisecond
	probeTimeout       = 500 * time.Millisecond
	// ownerTimeout limits a call to the owner of the cell; the store is asked afterwards.
	ownerTimeout = 500 * time.Millisecond
	// ownerBackoff is how long an owner that did not answer is not called again.
	ownerBackoff = 800 * time.Millisecond
	// acceptTimeout limits the acceptance by the owner, which waits for a commit: several response times of a slow
	// store.
	acceptTimeout = 800 * time.Millisecond
	// offerTimeout limits the call that notifies the owner of new work.
	offerTimeout = 600 * time.Millisecond
	// storeRetryAfter, ownerRetryAfter and busyRetryAfter are when a refused caller may retry. Outages of the store
	// last some seconds, a change of the owner less than two. A caller that retries every second is served within a
	// second of the recovery; with a longer delay it may have given up by then.
	storeRetryAfter = time.Second
	ownerRetryAfter = time.Second
	busyRetryAfter  = time.Second
)

// Options configures a Front.
type Options struct {
	Store      *store.Store
	Dispatcher *dispatch.Dispatcher
	Group      *owner.Group
	Peers      *rpc.Pool
	// RequestPermit sends a permit request to the policy service from this VM.
	RequestPermit permit.RequestFunc
	// EvaluateRules returns the effect of the operators' rules on a work; nil means that there are no rules.
	EvaluateRules func(w *job.Work) rule.Effect
	// StoreLastAnswer returns when the store last answered. StoreFailing reports whether, and since when, the store
	// returns no useful answers; StoreSilent whether, and since when, calls to it end with an unknown outcome.
	StoreLastAnswer func() time.Time
	StoreFailing    func() (since time.Time, failing bool)
	StoreSilent     func() (since time.Time, silent bool)
	// MaxRecordBytes is the size of the largest value that the store takes; zero means store.MaxValueBytes.
	MaxRecordBytes int
	Logger         *zap.Logger
	Metrics        *metric.Registry
}
