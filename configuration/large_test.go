package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"turmericgap/account"
	"turmericgap/configuration"
	"turmericgap/job"
	"turmericgap/platform"
	"turmericgap/rpc"
	"turmericgap/standin/link"
	"turmericgap/store"
	"turmericgap/store/health"
)

const (
	storeAddress = "10.0.0.1:1"
	key          = "configuration"
	testSeeds    = 10
	// renewInterval is the interval at which an entry VM renews its lease, callTimeout the limit of a renewal.
	renewInterval = 300 * time.Millisecond
	callTimeout   = 900 * time.Millisecond
	// watchHold is how long a watch waits for a change.
	watchHold = 2 * time.Second
	// weakLink and strongLink are the speeds of the links of entry VMs, in bits per second, queueBytes is the size of a
	// queue in a document. All are a tenth of the platform's, so that transfers take as long and the test less.
	weakLink, strongLink = 1_000_000, 20_000_000
	queueBytes           = 21
	// confirmInterval is the interval at which callers ask a VM for a queue that does not exist.
	confirmInterval = 700 * time.Millisecond
	methodConfig    = "Entry.Config"
)

// fleet is a number of entry VMs with links of limited speed, which follow a store by the platform's protocol.
type fleet struct {
	t       *testing.T
	rand    *rand.Rand
	within  time.Duration
	network *link.Network
	standin *platform.Standin
	server  http.Server
	acked   map[int64]time.Time
	wg      sync.WaitGroup

	mu  sync.Mutex // guards vms while VMs start
	vms []*fleetVM
}

type fleetVM struct {
	address string
	link    *link.Link
	watcher *configuration.Watcher
	client  *platform.Client
	peers   *rpc.Pool
	server  *rpc.Server
	stop    context.CancelFunc
	// storeSilent is set while the store does not answer the VM, watchSilent while it does not answer its watch.
	storeSilent, watchSilent atomic.Bool

	mu      sync.Mutex
	inForce map[int64]time.Time
}

func newFleet(t *testing.T, seed uint64, within time.Duration) *fleet {
	f := &fleet{
		t: t, rand: rand.New(rand.NewPCG(seed, 0)), within: within,
		network: link.NewNetwork(), standin: platform.NewStandin(), acked: make(map[int64]time.Time),
	}
	f.server.Handler = f.standin.StoreHandler()
	l := f.network.Listen(link.New(0), storeAddress)
	f.wg.Go(func() {
		if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return f
}

// write makes the operators write a version with a number of queues.
func (f *fleet) write(version int64, queues int) {
	var b strings.Builder
	fmt.Fprintf(&b, "%d\n", version)
	r := rand.New(rand.NewPCG(1, 1))
	for b.Len() < queues*queueBytes {
		fmt.Fprintf(&b, `{"queue":"/%08x/"}`, r.Uint32())
	}
	_, err := f.standin.KV.Store().Txn(f.t.Context(), store.Txn{Then: []store.Op{{Key: key, Value: []byte(b.String())}}})
	if err != nil {
		f.t.Error(err)
	}
	f.acked[version] = time.Now()
}

// add starts a VM.
func (f *fleet) add(bitsPerSecond int) *fleetVM {
	v := &fleetVM{
		address: fmt.Sprintf("10.0.1.%d:1", len(f.vms)), link: link.New(bitsPerSecond), server: rpc.NewServer(), inForce: make(map[int64]time.Time),
	}
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	dial := f.network.Dialer(v.link)
	v.client = platform.NewClient(func(string, int64) {}, platform.Dial(dial))
	v.peers = rpc.NewPool(rpc.Dial(func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }))
	monitor, kv := health.New(v.silenceable(v.client.Store(storeAddress)))
	v.watcher = configuration.New(kv, key, v.decode, configuration.ApplyWithin(f.within), configuration.StoreLastAnswer(monitor.LastAnswer), configuration.Peers(v.address,
		func() []string { return f.others(v) },
		func(ctx context.Context, address string, req *configuration.PeerRequest) (*configuration.PeerReply, error) {
			return rpc.Call[configuration.PeerRequest, configuration.PeerReply](ctx, v.peers.Get(address), methodConfig, req)
		}))
	rpc.Handle(v.server, methodConfig, func(_ context.Context, req *configuration.PeerRequest) (*configuration.PeerReply, error) {
		return v.watcher.Reply(req), nil
	})
	l := f.network.Listen(v.link, v.address)
	ctx, cancel := context.WithCancel(f.t.Context())
	v.stop = func() { cancel(); l.Close() }
	f.wg.Go(func() { _ = v.server.Serve(l) })
	v.watcher.Start()
	f.wg.Go(func() { f.renew(ctx, kv) })
	f.wg.Go(func() { f.call(ctx, v) })
	return v
}

// silenceable returns the store as the VM sees it.
func (v *fleetVM) silenceable(kv *store.Store) *store.Store {
	readRange, watch, keepAlive := kv.Range, kv.Watch, kv.KeepAlive
	kv.Range = func(ctx context.Context, r store.Range) (store.RangeResult, error) {
		if v.storeSilent.Load() {
			return store.RangeResult{}, noAnswer(ctx, callTimeout)
		}
		return readRange(ctx, r)
	}
	kv.KeepAlive = func(ctx context.Context, id int64) (time.Duration, error) {
		if v.storeSilent.Load() {
			return 0, noAnswer(ctx, callTimeout)
		}
		return keepAlive(ctx, id)
	}
	kv.Watch = func(ctx context.Context, prefix string, from int64, each func(store.Batch)) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		silent := func() bool { return v.storeSilent.Load() || v.watchSilent.Load() }
		err := watch(ctx, prefix, from, func(b store.Batch) {
			if silent() {
				cancel()
				return
			}
			each(b)
		})
		if silent() {
			return noAnswer(context.Background(), watchHold)
		}
		return err
	}
	return kv
}

// noAnswer waits for an answer that does not come.
func noAnswer(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return ctx.Err()
}

func (f *fleet) others(v *fleetVM) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, other := range f.vms {
		if other != v {
			out = append(out, other.address)
		}
	}
	return out
}

// decode reads the version, and records when it came into force.
func (v *fleetVM) decode(raw []byte) (*job.Config, error) {
	line, _, _ := strings.Cut(string(raw), "\n")
	version, err := strconv.ParseInt(line, 10, 64)
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.inForce[version]; !known {
		v.inForce[version] = time.Now()
	}
	return &job.Config{Version: version}, err
}

// renew renews a lease, as an entry VM does.
func (f *fleet) renew(ctx context.Context, kv *store.Store) {
	id, err := kv.Grant(ctx, time.Hour)
	if err != nil {
		f.t.Error(err)
	}
	for ctx.Err() == nil {
		f.wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = kv.KeepAlive(ctx, id)
		})
		time.Sleep(renewInterval)
	}
}

// call asks a VM for a queue that does not exist, again and again.
func (f *fleet) call(ctx context.Context, v *fleetVM) {
	a := account.Authenticator{View: v.watcher.View, Refresh: v.watcher.Refresh}
	for ctx.Err() == nil {
		time.Sleep(confirmInterval)
		ctx, cancel := context.WithTimeout(ctx, f.within)
		_, _, _ = a.Queue(ctx, time.Now(), "a.example", "/unknown/")
		cancel()
	}
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.stop()
		v.watcher.Close()
		v.peers.Close()
		v.server.Close()
		v.client.Close()
	}
	f.server.Close()
	time.Sleep(f.within) // calls that are under way
	f.wg.Wait()
}

// grow makes the operators add 1,400 queues three times, and change one queue some seconds later.
func (f *fleet) grow() {
	for _, step := range []struct {
		queues int
		pause  time.Duration
	}{
		{1445, 4 * time.Second},
		{2845, 2500 * time.Millisecond},
		{2846, 10 * time.Second},
		{4245, 3700 * time.Millisecond},
		{4246, 10 * time.Second},
	} {
		f.write(int64(len(f.acked))+1, step.queues)
		time.Sleep(step.pause)
	}
}

// checkLags reports the versions that came into force on a VM later than allowed after they were written.
func (f *fleet) checkLags() {
	for _, v := range f.vms {
		v.mu.Lock()
		for version, at := range f.acked {
			if lag := v.lag(version, at); lag > f.within {
				f.t.Errorf("version %d is in force on %s after %v", version, v.address, lag)
			}
		}
		v.mu.Unlock()
	}
}

// lag returns how long after an ack the version or a newer one came into force. The caller holds mu.
func (v *fleetVM) lag(version int64, acked time.Time) time.Duration {
	first := time.Now()
	for known, at := range v.inForce {
		if known >= version && at.Before(first) {
			first = at
		}
	}
	return first.Sub(acked)
}

// Guards against a VM with a slow link that never receives all of a large configuration, because each transfer of it ends
// at a deadline or competes with the others, and begins again.
func TestLargeConfigurationIsLateOnSlowLink(t *testing.T) {
	for seed := range uint64(testSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 3*time.Second)
				defer f.close()
				f.write(1, 45)
				for i := range 8 {
					time.Sleep(time.Duration(f.rand.Int64N(int64(watchHold) / 8)))
					f.add([]int{strongLink, weakLink, weakLink, weakLink}[i%4])
				}
				time.Sleep(watchHold + time.Duration(f.rand.Int64N(int64(watchHold))))
				f.grow()
				f.checkLags()
			})
		})
	}
}

// Guards against a VM with a slow link that starts with a large configuration, and never serves anybody.
func TestLargeConfigurationAtStart(t *testing.T) {
	for seed := range uint64(testSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 3*time.Second)
				defer f.close()
				f.write(1, 4246)
				for _, speed := range []int{strongLink, strongLink, weakLink, weakLink, weakLink, weakLink} {
					f.add(speed)
				}
				f.acked[1] = time.Now()
				time.Sleep(10 * time.Second)
				f.checkLags()
			})
		})
	}
}

// Guards against a VM with a slow link that the store does not answer, and that never receives all of a large
// configuration from other VMs, because their transfers compete and each begins again.
func TestLargeConfigurationFromOtherVMs(t *testing.T) {
	for seed := range uint64(testSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 3*time.Second)
				defer f.close()
				f.write(1, 45)
				for i := range 8 {
					time.Sleep(time.Duration(f.rand.Int64N(int64(watchHold) / 8)))
					f.add([]int{strongLink, weakLink, weakLink, weakLink}[i%4])
				}
				time.Sleep(watchHold + time.Duration(f.rand.Int64N(int64(watchHold))))
				for i, v := range f.vms {
					v.storeSilent.Store(i%4 != 0)
				}
				f.grow()
				f.checkLags()
			})
		})
	}
}

// Guards against a VM that reads all of a large configuration again for each caller with an unknown queue, so that its
// link has no room for its other calls.
func TestUnknownQueueReadsNoDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const queues = 2845
		f := newFleet(t, 0, 3*time.Second)
		defer f.close()
		f.write(1, queues)
		f.add(strongLink)
		v := f.add(weakLink)
		time.Sleep(10 * time.Second)
		before := v.link.Received()
		time.Sleep(10 * time.Second)
		if got := v.link.Received() - before; got > queues*queueBytes {
			t.Errorf("%d bytes received while nothing changed", got)
		}
	})
}

// Guards against a VM with a slow link that gives a read for its callers up while a large configuration arrives.
func TestReadForCallersGoesOn(t *testing.T) {
	for seed := range uint64(testSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 3*time.Second)
				defer f.close()
				f.write(1, 45)
				v := f.add(weakLink)
				time.Sleep(watchHold + time.Duration(f.rand.Int64N(int64(watchHold))))
				v.watchSilent.Store(true)
				f.write(2, 4246)
				time.Sleep(4 * time.Second)
				f.checkLags()
			})
		})
	}
}
