package main

import (
	"cmp"
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
	"turmericgap/account"
	"turmericgap/configuration"
	"turmericgap/connection"
	"turmericgap/dispatch"
	"turmericgap/feature"
	"turmericgap/front"
	"turmericgap/job"
	"turmericgap/logger"
	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/permit"
	"turmericgap/platform"
	"turmericgap/relay"
	"turmericgap/rpc"
	_ "turmericgap/rule/standard" // Registers the standard rule actions.
	"turmericgap/store"
	"turmericgap/store/health"
)

const (
	// rotationDelay is how long the platform may still send new connections after this VM reports that it is not
	// ready: two readiness probes at one per second.
	rotationDelay = 2200 * time.Millisecond
	// headerBytes, headerTimeout and idleTimeout limit callers' requests unless the configuration does.
	headerBytes   = 16 << 10
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// readinessConnections and readinessMemoryBytes limit the readiness port.
	readinessConnections = 32
	readinessMemoryBytes = 4 << 20
	// workMemoryDivisor divides the memory of a VM to get what the works that have not ended may hold of its owner.
	workMemoryDivisor = 8
	// minCellHold is the shortest hold of the watches of the configuration and of the owner, configMargin the time that is
	// left to learn of a new configuration after a dead connection was noticed.
	minCellHold  = 2 * time.Second
	configMargin = 2 * time.Second
	// changeDivisor divides the time for which a VM may still serve by an older version, to leave time for the way of a
	// request to a busy VM.
	changeDivisor = 2
	// membersHold is how long the store holds the watch of the other VMs, of which the calls to them tell as well.
	membersHold = 5 * time.Second
)

// program holds the components that live as long as the process.
type program struct {
	settings        *platform.Settings
	log             *zap.Logger
	metrics         *metric.Registry
	client          *platform.Client
	peers           *rpc.Pool
	server          *rpc.Server
	config          *configuration.Watcher
	rules           *configuration.Rules
	group           *owner.Group
	dispatch        *dispatch.Dispatcher
	relays          *relay.Relays
	relay           *relay.Server
	front           *front.Front
	callerServer    *http.Server
	readinessServer *http.Server
	stopping        atomic.Bool
	// droppedLines returns the number of log lines that were not written.
	droppedLines func() int64
}

// wire creates and connects all components.
func wire(service *turmericgap.Service, s *platform.Settings, features *feature.Set, path string, dropped func() int64) error {
	p := &program{droppedLines: dropped, settings: s, log: service.Logger(), peers: rpc.NewPool(), server: rpc.NewServer()}
	p.metrics = service.Metrics()
	p.reloadOnSIGHUP(path)
	p.client = platform.NewClient(func(name string, n int64) { p.metrics.Counter("platform." + name).Inc(n) })
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	monitor, kv := health.New(p.client.Store(s.Store, platform.HoldWatch(owner.NodePrefix, membersHold),
		platform.HoldWatch(owner.CellPrefix, cellHold(s)), platform.HoldWatch(platform.ConfigKey, cellHold(s))))
	requestPermit := p.client.Permits(s.Permits)
	p.rules = configuration.NewRules(logger.Part(p.log, "configuration"))
	p.relay = relay.NewServer(p.client.Agent)
	p.relays = relay.New(relay.Options{
		Self: s.ID, MaxDirect: maxDirectWorkers(s), DirectAgent: p.client.Agent, Nodes: func() []owner.Node { return p.group.Nodes() },
		Logger: logger.Part(p.log, "relay"), Metrics: service.Metrics(),
	})
	p.dispatch = dispatch.New(
		dispatch.Store(kv), dispatch.StoreFailing(monitor.Failing), dispatch.StoreContact(monitor.Contact), dispatch.StoreAhead(monitor.Ahead), dispatch.DrainWithin(s.DrainWithin), dispatch.Workers(platform.WorkersPrefix, platform.DecodeWorker, p.relays.Agent),
		dispatch.Config(func() *job.Config { return p.config.Current() }), dispatch.Rules(p.rules.Current),
		dispatch.Permits(func() []owner.Node { return p.group.Nodes() }, p.requestPermitFrom(requestPermit)),
		dispatch.Maintenance(maintenanceWaves(p.client, s)),
		dispatch.CapOverrun(s.CapOverrun), dispatch.Features(features, s.Pressure), dispatch.Checkpoints(s.CheckpointEvery, s.RestoreTakes),
		dispatch.Limits(s.MostHold, s.StopWithin, s.KeepEnded), dispatch.MaxRecordBytes(cmp.Or(s.MaxRecordBytes, store.MaxValueBytes)),
		dispatch.MaxWorkBytes(int64(cmp.Or(s.MemoryMB, connection.DefaultMemoryMB))<<20/workMemoryDivisor),
		dispatch.Logger(logger.Part(p.log, "dispatch")), dispatch.Metrics(service.Metrics()))
	p.config = configuration.New(kv, platform.ConfigKey, platform.DecodeConfig, configuration.Peers(s.Peers, p.listPeers, p.askPeerConfig), configuration.ListsPart(func() bool { return p.group.IsLarge() }), configuration.ExchangeRules(p.rules),
		configuration.ApplyWithin(s.ConfigWithin), configuration.StoreLastAnswer(monitor.LastAnswer),
		configuration.Logger(logger.Part(p.log, "configuration")), configuration.Metrics(p.metrics))
	p.group = owner.New(kv, owner.Node{ID: s.ID, Zone: s.Zone, Address: s.Peers, Strength: capacityScore(s)},
		owner.Logger(logger.Part(p.log, "owner")), owner.RunTenure(p.dispatch.RunTenure), owner.Rules(p.rules.Apply),
		owner.StoreFailing(monitor.Failing), owner.Overloaded(p.dispatch.Overloaded))
	p.front = front.New(front.Options{
		Store: kv, Dispatcher: p.dispatch, Group: p.group, Peers: p.peers, RequestPermit: requestPermit,
		EvaluateRules: p.rules.Decide, StoreLastAnswer: monitor.LastAnswer, StoreFailing: monitor.Failing, StoreSilent: monitor.Silent, MaxRecordBytes: s.MaxRecordBytes, Logger: logger.Part(p.log, "front"), Metrics: service.Metrics(),
	})
	p.config.Start()
	p.group.Start()
	p.front.Register(p.server)
	p.group.Register(p.server)
	p.relay.Register(p.server)
	rpc.Handle(p.server, methodConfig, p.serveConfig)
	p.serve(listeners)
	service.Init(turmericgap.Ready(p.checkReady), turmericgap.Stop(p.stop),
		turmericgap.AddPage(accountsPath, servePage(p.log, p.front.Accounts)), turmericgap.AddPage(featuresPath, servePage(p.log, p.front.Features)))
	return nil
}

// maintenanceWaves returns the dispatcher's settings for maintenance waves, or nil if waves are disabled.
// cellHold returns how long the store holds the watches of the configuration and of the owner. A dead connection must be
// noticed well within the time in which a new configuration has to be in force; a longer hold would only cost fewer calls.
func cellHold(s *platform.Settings) time.Duration {
	return max(minCellHold, s.ConfigWithin-configMargin)
}

func maintenanceWaves(client *platform.Client, s *platform.Settings) *dispatch.Waves {
	if !s.Waves {
		return nil
	}
	return &dispatch.Waves{
		Prefix: platform.WavesPrefix, Decode: platform.DecodeWave, Status: platform.WaveStatus, Cloud: client.Cloud(s.Cloud),
		Self: s.ID, Lease: s.HolderLease, MaintenanceDuration: s.UpkeepTakes, SinceBoot: sinceBoot,
	}
}

// sinceBoot returns the time since boot. This clock advances while the VM is suspended, unlike Go's monotonic clock.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(math.MaxInt64) // Every order then counts as stale.
	}
	return time.Duration(now.Nano())
}

// unconstrainedLinkMbps is a link that does not limit an owner: held calls and orders to 350 workers at 500 starts per
// second take about a tenth of it.
const unconstrainedLinkMbps = 100

// capacityScore returns the VM's CPU in millicores, scaled down if its network link is slow.
func capacityScore(s *platform.Settings) int {
	if s.LinkMbps <= 0 || s.LinkMbps >= unconstrainedLinkMbps {
		return s.Millicores
	}
	return s.Millicores * s.LinkMbps / unconstrainedLinkMbps
}

const (
	// workersPerCore is how many workers one core can serve while tasks start and end on all of them.
	workersPerCore = 1500
	// directReachDivisor is the inverse of the CPU share that an owner spends on direct calls to workers.
	directReachDivisor = 10
)

// maxDirectWorkers returns how many workers this VM calls directly, without a relay, while it owns the cell.
func maxDirectWorkers(s *platform.Settings) int {
	return max(s.Millicores*workersPerCore/1000/directReachDivisor, 1)
}

// listeners holds the open ports.
type listeners struct{ callers, ready, peers net.Listener }

func (p *program) listen() (l listeners, err error) {
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

func (p *program) serve(l listeners) {
	handler := platform.IngressHandler(&platform.IngressBackend{
		Authenticator: &account.Authenticator{View: p.config.View, Refresh: p.config.Refresh, ChangeWithin: p.settings.DowngradeWithin / changeDivisor, MaxAge: p.settings.KeyMaxAge},
		Submit:        p.front.Submit, Refuse: p.front.Refuse, Status: p.front.Status, Cancel: p.front.Cancel,
		Waiting: p.front.Waiting, CutOff: p.group.IsCutOff, OnAnswered: p.logAnswer,
	})
	budget := connection.NewBudget("callers", connection.LimitsFor(p.settings.MemoryMB, p.settings.MaxFiles), p.metrics)
	p.callerServer = connection.NewServer(handler)
	p.readinessServer = connection.NewServer(platform.ReadinessHandler(p.checkReady))
	readiness := connection.NewBudget("readiness", connection.Limits{Connections: readinessConnections, Bytes: readinessMemoryBytes}, p.metrics)
	peers := connection.NewBudget("peers", connection.PeerLimits(p.settings.MaxFiles), p.metrics)
	go p.serveListener("callers", func() error { return p.callerServer.Serve(connection.Listen(l.callers, budget, p.requestLimits)) })
	go p.serveListener("readiness", func() error { return p.readinessServer.Serve(connection.Listen(l.ready, readiness, readinessLimits)) })
	go p.logCounters()
	go p.serveListener("peers", func() error { return p.server.Serve(connection.ListenPeers(l.peers, peers)) })
}

// requestLimits returns the limits of the configuration for callers' requests.
func (p *program) requestLimits() connection.RequestLimits {
	var l job.Limits
	if c := p.config.Current(); c != nil {
		l = c.Limits
	}
	return connection.RequestLimits{
		HeaderBytes: cmp.Or(l.HeaderBytes, headerBytes), HeaderTimeout: cmp.Or(l.HeaderTimeout, headerTimeout),
		IdleTimeout: cmp.Or(l.IdleTimeout, idleTimeout),
	}
}

// readinessLimits returns the limits of single readiness checks.
func readinessLimits() connection.RequestLimits {
	return connection.RequestLimits{HeaderBytes: headerBytes, HeaderTimeout: headerTimeout, BodyTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func (p *program) serveListener(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("entry: listener stopped serving", zap.String("port", name), zap.Error(err))
	}
}

// counterLogInterval is the time between two log lines with the counters, for operators who have only the logs.
const counterLogInterval = 10 * time.Second

// logCounters logs the counters periodically.
func (p *program) logCounters() {
	for range time.Tick(counterLogInterval) {
		p.log.Info("entry: counters", zap.Any("counters", p.metrics.Counters()), zap.Int64("linesDropped", p.droppedLines()))
	}
}

// checkReady returns the reason why this VM must not get new connections, or nil if it is ready.
func (p *program) checkReady() error {
	switch {
	case p.stopping.Load():
		return errors.New("this VM is stopping")
	case p.config.Current() == nil:
		return errors.New("no configuration yet")
	case p.group.IsCutOff():
		return errors.New("neither the store nor any VM of another availability zone answers")
	}
	return nil
}

// logAnswer logs the answer to a caller. Successful reads are not logged, unless the configuration by which they were
// answered may have been replaced for longer than it should be in force.
func (p *program) logAnswer(r *http.Request, a *platform.Answer) {
	if r.Method == http.MethodGet && a.Err == nil && a.ViewAge <= p.settings.ConfigWithin {
		return
	}
	p.log.Info("entry: answered", zap.String("method", r.Method), zap.String("id", a.ID), zap.Int("status", a.Status),
		zap.Duration("took", a.Took), zap.Int64("version", a.Version), zap.Duration("viewAge", a.ViewAge), zap.Error(a.Err))
}

// requestPermitFrom returns a function that sends a permit request to the policy service from a given VM of the cell.
func (p *program) requestPermitFrom(local permit.RequestFunc) func(context.Context, owner.Node, *permit.Request) (*permit.Response, error) {
	return func(ctx context.Context, from owner.Node, req *permit.Request) (*permit.Response, error) {
		if from.ID == p.settings.ID {
			return local(ctx, req)
		}
		return rpc.Call[permit.Request, permit.Response](ctx, p.peers.Get(from.Address), front.MethodRequestPermit, req)
	}
}

// stop drains the VM: it hands over the cell immediately, serves callers until the platform has taken this VM out of
// rotation, and answers the open requests.
func (p *program) stop(deadline time.Time) {
	p.stopping.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.callerServer.SetKeepAlivesEnabled(false)
	p.group.Resign(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(rotationDelay):
	}
	if err := p.callerServer.Shutdown(ctx); err != nil {
		p.log.Warn("entry: shutdown interrupted open requests", zap.Error(err))
	}
	p.front.Close()
	if err := p.group.Leave(ctx); err != nil {
		p.log.Warn("entry: leaving the cell failed; the lease will expire", zap.Error(err))
	}
	p.config.Close()
	p.peers.Close()
	p.relays.Close()
	p.relay.Close()
	p.server.Close()
	p.client.Close()
}
