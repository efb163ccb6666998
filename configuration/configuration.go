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
	// askAfter is how long the store may be silent before other VMs are asked; its watches answer
	// every two seconds.
	askAfter = 2300 * time.Millisecond
	askEvery = 300 * time.Millisecond
	askWait  = 300 * time.Millisecond
)

// Document is a configuration as the operators wrote it.
type Document struct {
	Version int64  `msgpack:"v"`
	Raw     []byte `msgpack:"r"`
}

// Watcher holds the newest configuration that this process has seen.
type Watcher struct {
	key    string
	decode func(raw []byte) (*job.Config, error)
	ask    func(ctx context.Context, known int64) (*Document, error)
	log    *zap.Logger
	follow *follow.Follower
	cancel context.CancelFunc
	wg     sync.WaitGroup
	heard  atomic.Int64
	now    atomic.Pointer[job.Config]

	mu  sync.Mutex
	doc Document
}

// New returns a Keeper of the document under key. ask gets a newer one from another VM, or nil.
func New(kv *store.Store, key string, decode func([]byte) (*job.Config, error),
	ask func(ctx context.Context, known int64) (*Document, error), log *zap.Logger,
) *Watcher {
	k := &Watcher{key: key, decode: decode, ask: ask, log: log, cancel: func() {}}
	k.heard.Store(time.Now().UnixNano())
	k.follow = &follow.Follower{
		Store: kv, Prefix: key, Logger: log,
		OnReset:   func(pairs []store.Pair, _ int64) { k.takePairs(pairs) },
		OnChange:  func(events []store.Event, _ int64) { k.takePairs(follow.Puts(events)) },
		OnContact: k.alive,
	}
	return k
}

// Start begins to follow the store.
func (k *Watcher) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.wg.Go(func() { k.follow.Run(ctx) })
	k.wg.Go(func() { k.askOthers(ctx) })
}

// Current gives the configuration in force, or nil.
func (k *Watcher) Current() *job.Config { return k.now.Load() }

// LastAnswer gives when the store last answered this VM.
func (k *Watcher) LastAnswer() time.Time { return time.Unix(0, k.heard.Load()) }

// Document gives the configuration in force as it was written.
func (k *Watcher) Document() Document {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.doc
}

// Close stops following.
func (k *Watcher) Close() {
	k.cancel()
	k.wg.Wait()
}

func (k *Watcher) alive(err error) {
	if err == nil {
		k.heard.Store(time.Now().UnixNano())
	}
}

func (k *Watcher) takePairs(pairs []store.Pair) {
	for i := range pairs {
		if pairs[i].Key == k.key && len(pairs[i].Value) > 0 {
			k.Apply(pairs[i].Value, "store")
		}
	}
}

// Apply puts a document in force if it is newer than the present one. One that cannot be read leaves
// the present one in force.
func (k *Watcher) Apply(raw []byte, from string) {
	c, err := k.decode(raw)
	if err != nil {
		k.log.Error("configuration: a document cannot be read", zap.String("from", from), zap.Error(err))
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.now.Load(); now != nil && c.Version <= now.Version {
		return
	}
	k.doc = Document{Version: c.Version, Raw: raw}
	k.now.Store(c)
	k.log.Info("configuration: in force", zap.Int64("version", c.Version), zap.String("from", from), zap.Int("queues", len(c.Queues)))
}

// askOthers asks other VMs while the store is silent towards this one.
func (k *Watcher) askOthers(ctx context.Context) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(k.LastAnswer()) < askAfter {
			continue
		}
		within, cancel := context.WithTimeout(ctx, askWait)
		doc, err := k.ask(within, k.Document().Version)
		cancel()
		if err == nil && doc != nil && len(doc.Raw) > 0 {
			k.Apply(doc.Raw, "another VM")
		}
	}
}
