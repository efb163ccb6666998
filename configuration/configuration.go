package configuration

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/store"
	"turmericgap/store/follow"
)

const (
	// peerPollAfter is how long the store may be silent before this VM polls other VMs. The
	// watches of a store that answers report at least every two seconds.
	peerPollAfter    = 2300 * time.Millisecond
	peerPollInterval = 300 * time.Millisecond
	peerTimeout      = 300 * time.Millisecond
)

// Document is a configuration in the form written by the operators.
type Document struct {
	Version int64  `msgpack:"v"`
	Raw     []byte `msgpack:"r"`
}

// Watcher holds the newest configuration that this process has seen.
type Watcher struct {
	key        string
	decode     func(raw []byte) (*job.Config, error)
	askPeer    func(ctx context.Context, known int64) (*Document, error)
	log        *zap.Logger
	follower   *follow.Follower
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	lastAnswer atomic.Int64
	current    atomic.Pointer[job.Config]

	mu  sync.Mutex
	doc Document
}

// New returns a Watcher of the document under key. askPeer gets a document that is newer than the known
// version from another VM, or nil if there is none.
func New(kv *store.Store, key string, decode func([]byte) (*job.Config, error),
	askPeer func(ctx context.Context, known int64) (*Document, error), log *zap.Logger,
) *Watcher {
	w := &Watcher{key: key, decode: decode, askPeer: askPeer, log: log, cancel: func() {}}
	w.lastAnswer.Store(time.Now().UnixNano())
	w.follower = &follow.Follower{
		Store: kv, Prefix: key, Logger: log,
		OnReset:   func(pairs []store.Pair, _ int64) { w.applyPairs(pairs) },
		OnChange:  func(events []store.Event, _ int64) { w.applyPairs(follow.Puts(events)) },
		OnContact: w.onContact,
	}
	return w
}

// Start starts to follow the store.
func (w *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.wg.Go(func() { w.follower.Run(ctx) })
	w.wg.Go(func() { w.pollPeers(ctx) })
}

// Current returns the configuration in force, or nil.
func (w *Watcher) Current() *job.Config { return w.current.Load() }

// LastAnswer returns when the store last answered this VM, or when the Watcher was created.
func (w *Watcher) LastAnswer() time.Time { return time.Unix(0, w.lastAnswer.Load()) }

// Document returns the configuration in force in the form written by the operators.
func (w *Watcher) Document() Document {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doc
}

// Close stops following.
func (w *Watcher) Close() {
	w.cancel()
	w.wg.Wait()
}

func (w *Watcher) onContact(err error) {
	if err == nil {
		w.lastAnswer.Store(time.Now().UnixNano())
	}
}

func (w *Watcher) applyPairs(pairs []store.Pair) {
	for i := range pairs {
		if pairs[i].Key == w.key && len(pairs[i].Value) > 0 {
			w.Apply(pairs[i].Value, "store")
		}
	}
}

// Apply puts a document in force if it is newer than the current one. A document that cannot be
// decoded is ignored.
func (w *Watcher) Apply(raw []byte, from string) {
	c, err := w.decode(raw)
	if err != nil {
		w.log.Error("configuration: document cannot be decoded", zap.String("from", from), zap.Error(err))
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if current := w.current.Load(); current != nil && c.Version <= current.Version {
		return
	}
	w.doc = Document{Version: c.Version, Raw: raw}
	w.current.Store(c)
	w.log.Info("configuration: in force", zap.Int64("version", c.Version), zap.String("from", from), zap.Int("queues", len(c.Queues)))
}

// pollPeers polls other VMs for a newer document while the store does not answer this VM.
func (w *Watcher) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(w.LastAnswer()) < peerPollAfter {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		doc, err := w.askPeer(callCtx, w.Document().Version)
		cancel()
		if err == nil && doc != nil && len(doc.Raw) > 0 {
			w.Apply(doc.Raw, "another VM")
		}
	}
}
