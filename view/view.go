package view

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/member"
	"turmericgap/metric"
	"turmericgap/rpc"
	"turmericgap/store"
	"turmericgap/store/retry"
)

// Defaults.
const (
	DefaultListInterval   = 2 * time.Second
	DefaultSpreadInterval = 500 * time.Millisecond
	DefaultMaxSilence     = 10 * time.Second
	// CallTimeout bounds one call of the store, which may be slow, or of the VM list.
	CallTimeout = 5 * time.Second
	// PeerTimeout bounds one call of another process, but for one that waits for a change.
	PeerTimeout = time.Second
	// DefaultRefreshInterval is the interval at which everything is read again.
	DefaultRefreshInterval = 30 * time.Second
	// RulesKey is the store's key of the rule document.
	RulesKey = member.CellPrefix + "rules"

	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 4 * time.Second
)

// Keeper holds the watch of its VM and the newest view.
type Keeper struct {
	opts   Options
	store  *store.Store
	log    *zap.Logger
	board  *board
	spread *spread
	pool   *rpc.Pool
	name   string
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Keeper that is not yet started.
func New(s *store.Store, opts ...Option) *Keeper {
	o, pool := build(opts)
	b := newBoard(&o)
	return &Keeper{
		opts: o, store: s, log: o.Logger, board: b, spread: newSpread(o, b), pool: pool,
		name: newName(), cancel: func() {},
	}
}

func build(opts []Option) (Options, *rpc.Pool) {
	o := Options{
		ListInterval: DefaultListInterval, SpreadInterval: DefaultSpreadInterval, MaxSilence: DefaultMaxSilence, RefreshInterval: DefaultRefreshInterval,
		Logger: zap.NewNop(), Metrics: metric.New(),
	}
	for _, f := range opts {
		f(&o)
	}
	pool := rpc.NewPool()
	if o.CallRules == nil {
		o.CallRules = func(ctx context.Context, address string, c *RulesRequest) (*RulesReply, error) {
			return rpc.Call[RulesRequest, RulesReply](ctx, pool.Get(address), RulesMethod, c)
		}
	}
	if o.CallNext == nil {
		o.CallNext = func(ctx context.Context, address string, c *NextRequest) (*NextReply, error) {
			return rpc.Call[NextRequest, NextReply](ctx, pool.Get(address), NextMethod, c)
		}
	}
	return o, pool
}

// Start begins to watch the store, to read the VM list and to pass rules on.
func (k *Keeper) Start(ctx context.Context) {
	ctx, k.cancel = context.WithCancel(ctx)
	k.wg.Go(func() { k.watch(ctx) })
	k.wg.Go(func() { k.spread.run(ctx, k.pool) })
	if k.opts.List != nil {
		k.wg.Go(func() { k.pollList(ctx) })
	}
}

// Close ends all duties.
func (k *Keeper) Close() {
	k.cancel()
	k.wg.Wait()
	k.pool.Close()
}

// View gives the newest view.
func (k *Keeper) View() *View { return k.board.view.Load() }

// OfferRules takes rules from a peer if they are newer than those known.
func (k *Keeper) OfferRules(r Rules) {
	if k.board.offerRules(r) {
		k.spread.kick()
	}
}

// WaitNext waits for a view after a version; when ctx ends it gives the view as it is.
func (k *Keeper) WaitNext(ctx context.Context, after uint64) *View { return k.board.next(ctx, after) }

// Changed gives a channel that closes at the next change of the view.
func (k *Keeper) Changed() <-chan struct{} { return k.board.wait() }

// RulesByProcess gives, process by process, the newest rules that it is known to have.
func (k *Keeper) RulesByProcess() []Process { return k.spread.inForce() }

// NotifyNewerRules is told that a process has newer rules, so that they are fetched at once.
func (k *Keeper) NotifyNewerRules(from member.Member, version int64) { k.spread.heard(from, version) }

// Register serves the Keeper's calls.
func (k *Keeper) Register(s *rpc.Server) {
	rpc.Handle(s, RulesMethod, k.ServeRules)
	rpc.Handle(s, NextMethod, k.ServeNext)
}

// ServeRules serves rpc "view.rules".
func (k *Keeper) ServeRules(_ context.Context, c *RulesRequest) (*RulesReply, error) {
	return k.spread.serve(c), nil
}

// ServeNext serves rpc "view.next".
func (k *Keeper) ServeNext(ctx context.Context, c *NextRequest) (*NextReply, error) {
	after := c.After
	if c.Keeper != k.name {
		after = 0 // The caller's count is another Keeper's.
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	v := *k.board.next(ctx, after)
	if !c.Workers {
		v.Workers = nil
	}
	return &NextReply{Keeper: k.name, View: v}, nil
}

// errRefresh ends a watch so that everything is read again.
var errRefresh = errors.New("time to read again")

// watch reads the cell's keys once and then follows their changes without a gap.
func (k *Keeper) watch(ctx context.Context) {
	var from int64
	b := newBackoff()
	for ctx.Err() == nil {
		err := k.follow(ctx, &from, b)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, errRefresh) {
			from = 0
		}
		if errors.Is(err, errRefresh) {
			continue
		}
		k.opts.Metrics.Counter("view_watchEnded_total").Inc(1)
		k.log.Warn("view: watch ended", zap.Error(err))
		_ = b.Wait(ctx)
	}
}

func (k *Keeper) follow(ctx context.Context, from *int64, b *retry.Backoff) error {
	if *from == 0 {
		revision, err := k.read(ctx)
		if err != nil {
			return err
		}
		*from = revision + 1
	}
	// Without the refresh, a watch that is open but brings nothing would freeze the tables here.
	ctx, cancel := context.WithTimeoutCause(ctx, retry.Jitter(k.opts.RefreshInterval), errRefresh)
	defer cancel()
	err := k.store.Watch(ctx, member.CellPrefix, *from, func(batch store.Batch) {
		for _, e := range batch.Events {
			k.take(e)
		}
		*from = batch.Revision + 1
		b.Reset()
	})
	if errors.Is(context.Cause(ctx), errRefresh) {
		return errRefresh
	}
	return err
}

func (k *Keeper) read(ctx context.Context) (revision int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	got, err := k.store.Range(ctx, store.Range{Key: member.CellPrefix, End: store.PrefixEnd(member.CellPrefix)})
	if err != nil {
		return 0, err
	}
	present := make(map[string]bool)
	for _, p := range got.Pairs {
		if strings.HasPrefix(p.Key, member.PresencePrefix) {
			present[p.Key] = true
			continue
		}
		k.take(store.Event{Pair: p})
	}
	k.board.offerPresent(present)
	return got.Revision, nil
}

// take takes in one key; what is not newer than what is known changes nothing.
func (k *Keeper) take(e store.Event) {
	key := e.Pair.Key
	switch {
	case key == RulesKey && !e.Deleted:
		doc, err := decode(e.Pair.Value)
		if err != nil {
			k.log.Error("view: rule document not understood", zap.Error(err))
			return
		}
		k.OfferRules(doc.rules())
	case strings.HasPrefix(key, member.TablePrefix) && !e.Deleted:
		t, err := member.DecodeTable(e.Pair)
		if err != nil {
			k.log.Error("view: member table not understood", zap.String("key", key), zap.Error(err))
			return
		}
		k.board.offerTables(t)
	case strings.HasPrefix(key, member.PresencePrefix):
		k.board.offerPresence(key, !e.Deleted)
	}
}

func (k *Keeper) pollList(ctx context.Context) {
	for wait := time.Duration(0); retry.Sleep(ctx, wait); wait = retry.Jitter(k.opts.ListInterval) {
		l, err := k.list(ctx)
		if err != nil {
			k.opts.Metrics.Counter("view_listFailed_total").Inc(1)
			k.log.Warn("view: VM list not read", zap.Error(err))
			continue
		}
		k.board.offerList(l)
	}
}

func (k *Keeper) list(ctx context.Context) (VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return k.opts.List(ctx)
}

func newBackoff() *retry.Backoff { return retry.New(retry.Bounds(firstBackoff, lastBackoff)) }
