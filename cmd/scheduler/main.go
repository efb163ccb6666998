// Command scheduler accepts, queues, places, owns and recovers the jobs of one availability zone.
package main

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"turmericgap"
	"turmericgap/cmd/internal/process"
	"turmericgap/logger"
	"turmericgap/member"
	"turmericgap/operate"
	"turmericgap/planner"
	"turmericgap/record"
	"turmericgap/rpc"
	"turmericgap/scheduler"
	"turmericgap/setting"
	"turmericgap/status"
	"turmericgap/view"
	"turmericgap/webcall"
	"turmericgap/worker"
	"turmericgap/worker/web"
)

// cellWritesPerSecond limits the commits of all zones' journals together; each zone gets an equal share. journalBurst
// is the number of commits that one journal may send at once.
const (
	cellWritesPerSecond = 60.0
	journalBurst        = 5
)

func main() {
	p := setting.DefaultProcess()
	process.Main("scheduler", &p, &p, p.Check, func(s *turmericgap.Service) error { return wire(s, &p) })
}

// wire creates and connects all components. It listens on the RPC address first, because holding the address proves to
// other members that an earlier process on it has ended.
func wire(service *turmericgap.Service, p *setting.Process) error {
	listener, err := net.Listen("tcp", p.RPCAddress)
	if err != nil {
		return err
	}
	kv, err := process.OpenStore(service, p)
	if err != nil {
		return err
	}
	calls := webcall.New()
	var keeper *view.Keeper
	group := process.NewGroup(service, kv, p, member.RoleScheduler, process.ViewHooks{
		View:           func() *view.View { return keeper.View() },
		OnRulesVersion: func(m member.Member, v int64) { keeper.NotifyNewerRules(m, v) },
	})
	log := service.Logger()
	keeper = view.New(kv, view.Self(group.Self()), view.Groups(group), view.Logger(logger.Part(log, "view")),
		view.Metrics(service.Metrics()), view.List(process.VMListReader(calls, p.ListAddress)))
	rules := process.RuleFollower{View: keeper.View, Logger: log}
	sched := scheduler.New(
		scheduler.Zone(p.Zone), scheduler.Store(kv), scheduler.Owns(group.Owns), scheduler.Dial(web.New(calls)),
		scheduler.Workers(func() []worker.Info { return keeper.View().Workers }),
		scheduler.Logger(logger.Part(log, "scheduler")), scheduler.Metrics(service.Metrics()),
		scheduler.Journal(record.Metrics(service.Metrics()), record.Rate(cellWritesPerSecond/float64(len(p.Zones)), journalBurst)),
		scheduler.Planner(func() *planner.Planner { return planner.New(planner.Rules(rules.List())) }),
		scheduler.Rules(func(pl *planner.Planner) {
			if l, newer := rules.Refresh(); newer {
				pl.SetRules(l)
			}
		}))
	server := rpc.NewServer()
	sched.Register(server)
	keeper.Register(server)
	rpc.Handle(server, member.HeartbeatMethod, group.HandleHeartbeat)
	operators := &operate.Source{Members: group.Status, InForce: keeper.RulesByProcess, Zone: sched.State, View: keeper.View}
	operators.Register(server)
	pool := rpc.NewPool()
	service.Init(
		turmericgap.AddPage("/status", status.NewServer(p.ID, operators.Collector(pool)).ServeHTTP),
		turmericgap.Ready(func() error { return process.CheckMembership(group) }),
		turmericgap.Start(func() error {
			go func() { _ = server.Serve(process.ListenPeers(service, listener)) }()
			keeper.Start(context.Background())
			return group.Start(context.Background())
		}),
		turmericgap.Stop(func(deadline time.Time) {
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			sched.Stop(ctx)
			if err := group.Leave(ctx, true); err != nil {
				log.Warn("scheduler: leaving without handing over the zone", zap.Error(err))
			}
			keeper.Close()
			pool.Close()
			listener.Close()
			server.Close()
		}))
	return nil
}
