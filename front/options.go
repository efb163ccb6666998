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

// Defaults.
const (
	// acceptRing bounds the submissions that wait for a transaction; a full one refuses.
	acceptRing = 256
	// acceptsAtOnce bounds the transactions under way, so that a slow store does not put submissions
	// in a line, and a dead one is not flooded.
	acceptsAtOnce = 4
	// acceptsEach is how many submissions fit into a transaction of 32 entries, three for each.
	acceptsEach = 10
	// storeWithin bounds one call of the store.
	storeWithin = 900 * time.Millisecond
	// openWithin is how long an accept of unknown outcome is followed up before its caller is told so;
	// a repeat of the same ID, here or on another VM, then resolves it.
	openWithin = 1200 * time.Millisecond
	// refusedAgain is the pause before the second and last try of a call that the store declined.
	refusedAgain = 60 * time.Millisecond
	// probeAfter is how long the store may not have answered before it is asked for something harmless
	// first: ten times its usual answer. probeWithin bounds that: above the answer of a slow store.
	probeAfter  = 50 * time.Millisecond
	probeWithin = 500 * time.Millisecond
	// ownerWithin bounds a question to the owner of the cell; the store is asked after it.
	ownerWithin = 500 * time.Millisecond
	// ownerRest is how long an owner that did not answer is not asked for states.
	ownerRest = 800 * time.Millisecond
	// acceptWithin bounds the acceptance by the owner, which waits for a commit: several answers of a
	// slow store.
	acceptWithin = 800 * time.Millisecond
	// offerWithin bounds the message that tells the owner of new work.
	offerWithin = 600 * time.Millisecond
	// retryStore and retryOwner are when a refused caller may come again. The store's outages last some
	// seconds, a take-over less than two: a caller who comes each second is served within a second of
	// the end, and one who comes later may have given up by then.
	retryStore = time.Second
	retryOwner = time.Second
	retryBusy  = time.Second
)

// Options are what a Front is made of.
type Options struct {
	Store      *store.Store
	Dispatcher *dispatch.Dispatcher
	Group      *owner.Group
	Peers      *rpc.Pool
	// AskPermit puts a question to the policy service from this VM.
	AskPermit permit.AskFunc
	// EvaluateRules gives what the operators' rules decide for a work; nil decides nothing.
	EvaluateRules func(w *job.Work) rule.Effect
	// StoreLastAnswer gives when the store last answered. StoreFailing tells since when it gives no answers of
	// use, StoreSilent since when calls have an open outcome, and both whether it is so now.
	StoreLastAnswer func() time.Time
	StoreFailing    func() (since time.Time, failing bool)
	StoreSilent     func() (since time.Time, silent bool)
	Logger          *zap.Logger
	Metrics         *metric.Registry
}
