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
	// CallTimeout limits one call to the store, which may be slow, or one read of the VM list.
	CallTimeout = 5 * time.Second
	// PeerTimeout limits one call to another process, excluding the time spent waiting for a
	// change.
	PeerTimeout = time.Second
	// DefaultRefreshInterval is the default interval at which all keys are read from the store
	// again.
	DefaultRefreshInterval = 30 * time.Second
	// RulesKey is the store key of the rule document.
	RulesKey = member.CellPrefix + "rules"

	minBackoff = 200 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Keeper watches the store for its VM and keeps the newest view.
type Keeper struct {
	opts   Options
	store  *store.Store
	log    *zap.Logger
	state  *viewState
	gossip *gossip
	pool   *rpc.Pool
	id     string
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Keeper; Start starts it.
func New(s *store.Store, opts ...Option) *Keeper {
	o, pool := buildOptions(opts)
	b := newViewState(&o)
	return &Keeper{
		opts: o, store: s, log: o.Logger, state: b, gossip: newGossip(o, b), pool: pool,
		id: newID(), cancel: func() {},
	}
}

func buildOptions(opts []Option) (Options, *rpc.Pool) {
	o := Options{
		ListInterval: DefaultListInterval, SpreadInterval: DefaultSpreadInterval,
		MaxSilence: DefaultMaxSilence, RefreshInterval: DefaultRefreshInterval,
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

// Start starts the store watch, the polling of the VM list and the exchange of rules.
func (k *Keeper) Start(ctx context.Context) {
	ctx, k.cancel = context.WithCancel(ctx)
	k.wg.Go(func() { k.watch(ctx) })
	k.wg.Go(func() { k.gossip.run(ctx, k.pool) })
	if k.opts.List != nil {
		k.wg.Go(func() { k.pollList(ctx) })
	}
}

// Close stops the background work.
func (k *Keeper) Close() {
	k.cancel()
	k.wg.Wait()
	k.pool.Close()
}

// View returns the newest view.
func (k *Keeper) View() *View { return k.state.view.Load() }

// OfferRules accepts rules from a peer if they are newer than the known ones.
func (k *Keeper) OfferRules(r Rules) {
	if k.state.updateRules(r) {
		k.gossip.wake()
	}
}

// WaitNext waits for a view newer than the given version. It returns the current view when ctx is
// done.
func (k *Keeper) WaitNext(ctx context.Context, after uint64) *View { return k.state.next(ctx, after) }

// Changed returns a channel that is closed at the next change of the view.
func (k *Keeper) Changed() <-chan struct{} { return k.state.changes() }

// RulesByProcess returns the newest rules version known of each process.
func (k *Keeper) RulesByProcess() []Process { return k.gossip.rulesByProcess() }

// NotifyNewerRules records that a process has newer rules, which are then fetched at once.
func (k *Keeper) NotifyNewerRules(m member.Member, v int64) { k.gossip.recordVersion(m, v) }

// Register registers the rpc handlers of the Keeper.
func (k *Keeper) Register(s *rpc.Server) {
	rpc.Handle(s, RulesMethod, k.ServeRules)
	rpc.Handle(s, NextMethod, k.ServeNext)
}

// ServeRules handles rpc "view.rules".
func (k *Keeper) ServeRules(_ context.Context, c *RulesRequest) (*RulesReply, error) {
	return k.gossip.serve(c), nil
}

// ServeNext handles rpc "view.next".
func (k *Keeper) ServeNext(ctx context.Context, c *NextRequest) (*NextReply, error) {
	after := c.After
	if c.Keeper != k.id {
		after = 0 // The caller's version counts the changes of another Keeper.
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	v := *k.state.next(ctx, after)
	if !c.Workers {
		v.Workers = nil
	}
	return &NextReply{Keeper: k.id, View: v}, nil
}

// errRefresh ends a watch so that all keys are read again.
var errRefresh = errors.New("periodic refresh is due")

// watch reads the cell's keys and then follows their changes without a gap.
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
		revision, err := k.readAll(ctx)
		if err != nil {
			return err
		}
		*from = revision + 1
	}
	// Without the periodic refresh, a watch that stays open without delivering events would freeze
	// the tables.
	ctx, cancel := context.WithTimeoutCause(ctx, retry.Jitter(k.opts.RefreshInterval), errRefresh)
	defer cancel()
	err := k.store.Watch(ctx, member.CellPrefix, *from, func(batch store.Batch) {
		for _, e := range batch.Events {
			k.applyEvent(e)
		}
		*from = batch.Revision + 1
		b.Reset()
	})
	if errors.Is(context.Cause(ctx), errRefresh) {
		return errRefresh
	}
	return err
}

func (k *Keeper) readAll(ctx context.Context) (revision int64, err error) {
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
		k.applyEvent(store.Event{Pair: p})
	}
	k.state.setPresence(present)
	return got.Revision, nil
}

// applyEvent applies the change of one key. Data that is not newer is ignored.
func (k *Keeper) applyEvent(e store.Event) {
	key := e.Pair.Key
	switch {
	case key == RulesKey && !e.Deleted:
		doc, err := decodeDocument(e.Pair.Value)
		if err != nil {
			k.log.Error("view: decoding the rule document failed", zap.Error(err))
			return
		}
		k.OfferRules(doc.rules())
	case strings.HasPrefix(key, member.TablePrefix) && !e.Deleted:
		t, err := member.DecodeTable(e.Pair)
		if err != nil {
			k.log.Error("view: decoding a member table failed", zap.String("key", key), zap.Error(err))
			return
		}
		k.state.updateTables(t)
	case strings.HasPrefix(key, member.PresencePrefix):
		k.state.updatePresence(key, !e.Deleted)
	}
}

func (k *Keeper) pollList(ctx context.Context) {
	for wait := time.Duration(0); retry.Sleep(ctx, wait); wait = retry.Jitter(k.opts.ListInterval) {
		l, err := k.readList(ctx)
		if err != nil {
			k.opts.Metrics.Counter("view_listFailed_total").Inc(1)
			k.log.Warn("view: reading the VM list failed", zap.Error(err))
			continue
		}
		k.state.updateList(l)
	}
}

func (k *Keeper) readList(ctx context.Context) (VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return k.opts.List(ctx)
}

func newBackoff() *retry.Backoff { return retry.New(retry.Bounds(minBackoff, maxBackoff)) }
