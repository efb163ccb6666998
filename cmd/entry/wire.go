package main

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"turmericgap"
	"turmericgap/configuration"
	"turmericgap/dispatch"
	"turmericgap/front"
	"turmericgap/job"
	"turmericgap/logger"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/platform"
	"turmericgap/relay"
	"turmericgap/rpc"
	_ "turmericgap/rule/standard" // Registers the actions of rules.
	"turmericgap/store/health"
)

const (
	// outOfRotation is how long after the first refusal the platform still sends new connections:
	// two probes, one a second.
	outOfRotation = 2200 * time.Millisecond
	// usualHeaderBytes and the following bound what a caller may send before the configuration is known.
	usualHeaderBytes   = 16 << 10
	usualHeaderTimeout = 3 * time.Second
	usualIdleTimeout   = 60 * time.Second
)

// parts are the parts of the program that live as long as it does.
type parts struct {
	settings *platform.Settings
	log      *zap.Logger
	metrics  *metric.Registry
	client   *platform.Client
	peers    *rpc.Pool
	server   *rpc.Server
	config   *configuration.Watcher
	rules    *configuration.Rules
	group    *owner.Group
	dispatch *dispatch.Dispatcher
	relays   *relay.Relays
	relay    *relay.Server
	front    *front.Front
	callers  *http.Server
	ready    *http.Server
	stopping atomic.Bool
	// dropped counts the log lines that were not written.
	dropped func() int64
}

// wire joins the parts.
func wire(service *turmericgap.Service, s *platform.Settings, path string, dropped func() int64) error {
	p := &parts{dropped: dropped, settings: s, log: service.Logger(), peers: rpc.NewPool(), server: rpc.NewServer()}
	p.metrics = service.Metrics()
	p.reloadOn(path)
	p.client = platform.NewClient(func(kind string) { p.metrics.Counter("platform.calls." + kind).Inc(1) })
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	monitor, kv := health.New(p.client.Store(s.Store))
	ask := p.client.Permits(s.Permits)
	p.rules = configuration.NewRules(logger.Part(p.log, "configuration"))
	p.relay = relay.NewServer(p.client.Agent)
	p.relays = relay.New(relay.Options{
		Self: s.ID, MaxDirect: ownWorkers(s), DirectAgent: p.client.Agent, Nodes: func() []owner.Node { return p.group.Nodes() },
		Logger: logger.Part(p.log, "relay"), Metrics: service.Metrics(),
	})
	p.dispatch = dispatch.New(
		dispatch.Store(kv), dispatch.StoreFailing(monitor.Failing), dispatch.Workers(platform.WorkersPrefix, platform.DecodeWorker, p.relays.Agent),
		dispatch.Config(func() *job.Config { return p.config.Current() }), dispatch.Rules(p.rules.Current),
		dispatch.Permits(func() []owner.Node { return p.group.Nodes() }, p.requestPermitFrom(ask)),
		dispatch.Upkeep(waves(p.client, s)),
		dispatch.Limits(s.MostHold, s.StopWithin, s.KeepEnded),
		dispatch.Logger(logger.Part(p.log, "dispatch")), dispatch.Metrics(service.Metrics()))
	p.config = configuration.New(kv, platform.ConfigKey, platform.DecodeConfig, p.askConfig, logger.Part(p.log, "configuration"))
	p.group = owner.New(kv, owner.Node{ID: s.ID, Zone: s.Zone, Address: s.Peers, Strength: strength(s)},
		owner.Logger(logger.Part(p.log, "owner")), owner.Lead(p.dispatch.Lead), owner.Rules(p.rules.Apply),
		owner.StoreFailing(monitor.Failing), owner.Overloaded(p.dispatch.Overloaded))
	p.front = front.New(front.Options{
		Store: kv, Dispatcher: p.dispatch, Group: p.group, Peers: p.peers, AskPermit: ask,
		EvaluateRules: p.rules.Decide, StoreLastAnswer: monitor.LastAnswer, StoreFailing: monitor.Failing, StoreSilent: monitor.Silent, Logger: logger.Part(p.log, "front"), Metrics: service.Metrics(),
	})
	p.config.Start()
	p.group.Start()
	p.front.Register(p.server)
	p.group.Register(p.server)
	p.relay.Register(p.server)
	rpc.Handle(p.server, methodConfig, p.serveConfig)
	p.serve(listeners)
	service.Init(turmericgap.Ready(p.check), turmericgap.Stop(p.stop))
	return nil
}

// waves tells the dispatcher of the waves of upkeep that operators may ask for, or nil.
func waves(client *platform.Client, s *platform.Settings) *dispatch.Waves {
	if !s.Waves {
		return nil
	}
	return &dispatch.Waves{
		Prefix: platform.WavesPrefix, Decode: platform.DecodeWave, Status: platform.WaveStatus, Cloud: client.Cloud(s.Cloud),
		Self: s.ID, Lease: s.HolderLease, UpkeepDuration: s.UpkeepTakes, SinceBoot: sinceBoot,
	}
}

// sinceBoot is a clock that goes on while the VM is suspended, which Go's own clock does not.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(math.MaxInt64) // no order counts as fresh
	}
	return time.Duration(now.Nano())
}

// fullLink is the link in Mbit/s that does not bind: the holds and orders of 350 workers at 500 starts a
// second take about a tenth of it.
const fullLink = 100

// strength is the VM's processor in thousandths of a core, less where its link is thin.
func strength(s *platform.Settings) int {
	if s.LinkMbps <= 0 || s.LinkMbps >= fullLink {
		return s.Millicores
	}
	return s.Millicores * s.LinkMbps / fullLink
}

const (
	// workersPerCore is how many workers one core reaches, with starts and ends on all of them.
	workersPerCore = 1500
	// ownShare is the part of its processor, one of so many, that an owner spends on reaching workers by itself.
	ownShare = 10
)

// ownWorkers is how many workers this VM reaches by itself while it owns the cell.
func ownWorkers(s *platform.Settings) int {
	return max(s.Millicores*workersPerCore/1000/ownShare, 1)
}

// listeners are the open ports.
type listeners struct{ callers, ready, peers net.Listener }

func (p *parts) listen() (l listeners, err error) {
	for _, one := range []struct {
		into    *net.Listener
		address string
	}{{&l.peers, p.settings.Peers}, {&l.callers, p.settings.Callers}, {&l.ready, p.settings.Ready}} {
		if *one.into, err = net.Listen("tcp", one.address); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (p *parts) serve(l listeners) {
	handler := platform.IngressHandler(&platform.IngressBackend{
		Config: p.config.Current, Submit: p.front.Submit, Status: p.front.Status, Cancel: p.front.Cancel,
		Waiting: p.front.Waiting, OnAnswered: p.decided,
	})
	p.callers = &http.Server{
		Handler: handler, MaxHeaderBytes: usualHeaderBytes, ReadHeaderTimeout: usualHeaderTimeout, IdleTimeout: usualIdleTimeout,
	}
	p.ready = &http.Server{Handler: platform.ReadinessHandler(p.check), ReadHeaderTimeout: usualHeaderTimeout}
	go p.run("callers", func() error { return p.callers.Serve(l.callers) })
	go p.run("readiness", func() error { return p.ready.Serve(l.ready) })
	go p.report()
	go p.run("peers", func() error { return p.server.Serve(l.peers) })
}

func (p *parts) run(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("entry: a port is no longer served", zap.String("port", name), zap.Error(err))
	}
}

// reportEvery is the pause between two lines with the counters, for those who have only the logs.
const reportEvery = 10 * time.Second

// report logs the counters from time to time.
func (p *parts) report() {
	for range time.Tick(reportEvery) {
		p.log.Info("entry: counters", zap.Any("counters", p.metrics.Counters()), zap.Int64("linesDropped", p.dropped()))
	}
}

// check tells why this VM should get no new connections, or nil.
func (p *parts) check() error {
	switch {
	case p.stopping.Load():
		return errors.New("stopping")
	case p.config.Current() == nil:
		return errors.New("no configuration yet")
	}
	return nil
}

// decided logs an answer to a caller; states that were read are counted only.
func (p *parts) decided(r *http.Request, id string, status int, took time.Duration, err error) {
	if r.Method == http.MethodGet && err == nil {
		return
	}
	p.log.Info("entry: answered", zap.String("method", r.Method), zap.String("id", id), zap.Int("status", status),
		zap.Duration("took", took), zap.Error(err))
}

// requestPermitFrom returns a function that sends a permit request to the policy service from a VM of the cell.
func (p *parts) requestPermitFrom(local permit.AskFunc) func(context.Context, owner.Node, *permit.Request) (*permit.Response, error) {
	return func(ctx context.Context, from owner.Node, q *permit.Request) (*permit.Response, error) {
		if from.ID == p.settings.ID {
			return local(ctx, q)
		}
		return rpc.Call[permit.Request, permit.Response](ctx, p.peers.Get(from.Address), front.MethodAskPermit, q)
	}
}

// stop drains the VM: another one takes over the cell at once, callers are served until the platform
// has taken this VM out of rotation, and what is under way is answered.
func (p *parts) stop(deadline time.Time) {
	p.stopping.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.callers.SetKeepAlivesEnabled(false)
	p.group.Resign(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(outOfRotation):
	}
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.Warn("entry: requests were cut", zap.Error(err))
	}
	p.front.Close()
	if err := p.group.Leave(ctx); err != nil {
		p.log.Warn("entry: the lease lapses by itself", zap.Error(err))
	}
	p.config.Close()
	p.peers.Close()
	p.relays.Close()
	p.relay.Close()
	p.server.Close()
	p.client.Close()
}
