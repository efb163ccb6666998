package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"turmericgap/account"
	"turmericgap/job"
	"turmericgap/metric"
	"turmericgap/store"
	"turmericgap/store/follow"
)

// Document is a configuration in the form written by the operators.
type Document struct {
	Version int64  `msgpack:"v"`
	Raw     []byte `msgpack:"r"`
}

// Watcher holds the newest configuration that this process has seen, and the time as of which it was the newest.
type Watcher struct {
	store  *store.Store
	key    string
	decode func(raw []byte) (*job.Config, error)
	// self is the address of this VM for the others. listPeers returns the addresses of the other VMs, ask asks one of
	// them, and order chooses whom to ask.
	self      string
	listPeers func() []string
	// listsPart reports whether listPeers returns only some of the other VMs.
	listsPart func() bool
	ask       func(ctx context.Context, address string, req *PeerRequest) (*PeerReply, error)
	order     peerOrder
	rules     *Rules
	log       *zap.Logger
	metrics   *metric.Registry
	// within is how long after its acknowledgement a version may come into force on the last VM.
	within time.Duration
	// applied signals a new version that other VMs have to be told of. hints holds the addresses of VMs with a newer version.
	applied chan struct{}
	hints   chan string
	// transferring has an element while another VM sends a document, which is added to download.
	transferring chan struct{}
	download     download
	// waitingTransfers counts the VMs that wait to send a document.
	waitingTransfers atomic.Int64
	// parts holds what this VM sends to others.
	parts    parts
	follower *follow.Follower
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	// storeLastAnswer returns when the store last answered this VM; lastAnswer is when it last answered the follower.
	storeLastAnswer func() time.Time
	lastAnswer      atomic.Int64
	declined        atomic.Bool
	// delivered is the revision of the store up to which the follower has delivered all changes.
	delivered atomic.Int64
	current   atomic.Pointer[inForce]

	mu          sync.Mutex
	doc         Document
	confirmedAt time.Time
	// firstKnown is when the first VM on the way of the document received it.
	firstKnown time.Time

	refreshMu   sync.Mutex
	refreshing  chan struct{}
	refreshedAt time.Time
	// reading is the read of the store that is under way for callers.
	reading *storeRead
}

// inForce is a configuration with the index of its accounts.
type inForce struct {
	config   *job.Config
	accounts *account.Directory
	at       time.Time
}

// New returns a Watcher of the document under key.
func New(kv *store.Store, key string, decode func([]byte) (*job.Config, error), opts ...Option) *Watcher {
	w := &Watcher{
		store: kv, key: key, decode: decode, log: zap.NewNop(), metrics: metric.New(), within: DefaultApplyWithin,
		listPeers: func() []string { return nil }, listsPart: func() bool { return false }, cancel: func() {},
		rules: NewRules(zap.NewNop()), applied: make(chan struct{}, 1), hints: make(chan string, maxHints),
		transferring: make(chan struct{}, 1),
	}
	w.lastAnswer.Store(time.Now().UnixNano())
	w.storeLastAnswer = func() time.Time { return time.Unix(0, w.lastAnswer.Load()) }
	for _, o := range opts {
		o(w)
	}
	w.follower = &follow.Follower{
		Store: kv, Prefix: key, Logger: w.log,
		OnReset:   func(pairs []store.Pair, _ int64) { w.applyPairs(pairs) },
		OnChange:  func(events []store.Event, _ int64) { w.applyPairs(follow.Puts(events)) },
		OnContact: w.onContact,
		OnCurrent: func(asOf time.Time, revision int64) {
			w.delivered.Store(revision)
			w.confirm(asOf)
		},
	}
	return w
}

// Start starts to follow the store.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.follower.Run(ctx) })
	w.wg.Go(func() { w.pollPeers(ctx) })
	w.wg.Go(func() { w.announceVersions(ctx) })
	w.wg.Go(func() { w.followHints(ctx) })
}

// Current returns the configuration in force, or nil.
func (w *Watcher) Current() *job.Config {
	if c := w.current.Load(); c != nil {
		return c.config
	}
	return nil
}

// View returns the configuration in force with its accounts and its age. A view that is older than its bound is counted:
// whoever decides by it may decide as an older version does.
func (w *Watcher) View() account.View {
	// The time is read first: a version that is applied in between is newer than the time says.
	w.mu.Lock()
	confirmedAt := w.confirmedAt
	w.mu.Unlock()
	c := w.current.Load()
	if c == nil {
		return account.View{ConfirmedAt: confirmedAt}
	}
	if time.Since(confirmedAt) > w.within {
		w.metrics.Counter("configuration.oldViews").Inc(1)
	}
	return account.View{Config: c.config, Accounts: c.accounts, ConfirmedAt: confirmedAt, AppliedAt: c.at}
}

// Document returns the configuration in force in the form written by the operators.
func (w *Watcher) Document() Document {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc
}

// Close stops following.
func (w *Watcher) Close() {
	w.cancel()
	w.endRead()
	w.wg.Wait()
}

func (w *Watcher) onContact(err error) {
	if declined := w.declined.Swap(err != nil); err != nil && !declined {
		w.log.Warn("configuration: store could not be followed", zap.Int64("version", w.Document().Version), zap.Error(err))
	}
	if err == nil {
		w.lastAnswer.Store(time.Now().UnixNano())
	}
}

// confirm records that the configuration in force was the newest one at a time.
func (w *Watcher) confirm(asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if asOf.After(w.confirmedAt) {
		w.confirmedAt = asOf
	}
}

func (w *Watcher) applyPairs(pairs []store.Pair) {
	for i := range pairs {
		if pairs[i].Key == w.key && len(pairs[i].Value) > 0 {
			w.Apply(pairs[i].Value, "store", time.Now())
		}
	}
}

// Apply puts a document in force if it is newer than the current one. from is the address of the VM that has sent it, or
// "store"; firstKnown is when the first VM on its way received it. A document that cannot be decoded is ignored.
func (w *Watcher) Apply(raw []byte, from string, firstKnown time.Time) {
	c, err := w.decode(raw)
	if err != nil {
		w.log.Error("configuration: document cannot be decoded", zap.String("from", from), zap.Error(err))
		return
	}
	accounts := account.NewDirectory(c.Accounts)
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Version <= w.doc.Version && w.current.Load() != nil {
		return
	}
	w.logApplied(c, accounts, len(raw), from, firstKnown)
	w.doc, w.firstKnown = Document{Version: c.Version, Raw: raw}, firstKnown
	w.current.Store(&inForce{c, accounts, time.Now()})
	select {
	case w.applied <- struct{}{}:
	default:
	}
	if found := job.CheckAccounts(c.Accounts); len(found) > 0 {
		w.log.Error("configuration: accounts have findings", zap.Int64("version", c.Version), zap.Error(found))
	}
}

// logApplied logs a version that comes into force, with what tells why it comes late: how far this VM is behind the first
// one, how old its view was, and since when the store has not answered. The caller holds mu.
func (w *Watcher) logApplied(c *job.Config, accounts *account.Directory, bytes int, from string, firstKnown time.Time) {
	behind := time.Since(firstKnown)
	w.metrics.Histogram("configuration.behindMillis").Update(behind.Milliseconds())
	if behind > w.within {
		w.metrics.Counter("configuration.late").Inc(1)
	}
	var viewAge time.Duration
	if !w.confirmedAt.IsZero() {
		viewAge = time.Since(w.confirmedAt)
	}
	w.log.Info("configuration: in force", zap.Int64("version", c.Version), zap.Int64("previous", w.doc.Version), zap.String("from", from),
		zap.Int("bytes", bytes), zap.Int("queues", len(c.Queues)), zap.Int("accounts", accounts.Len()), zap.Duration("behind", behind),
		zap.Duration("within", w.within), zap.Duration("viewAge", viewAge),
		zap.Duration("storeSilent", time.Since(w.storeLastAnswer())), zap.Bool("declined", w.declined.Load()))
}
