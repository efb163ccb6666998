// Command gate serves the callers of one entry VM: jobs, checks and sessions.
package main

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"turmericgap"
	"turmericgap/cmd/internal/process"
	"turmericgap/connection"
	"turmericgap/finding"
	"turmericgap/gate"
	"turmericgap/gate/target"
	"turmericgap/gate/target/web"
	"turmericgap/job"
	"turmericgap/logger"
	"turmericgap/member"
	"turmericgap/route"
	"turmericgap/rpc"
	"turmericgap/rule"
	"turmericgap/session"
	"turmericgap/setting"
	"turmericgap/share"
	"turmericgap/view"
	"turmericgap/webcall"
)

const (
	cancelReason = "cancelled by its caller"
)

type settings struct {
	setting.Process
	// CallerAddress is the HTTP address for callers.
	CallerAddress string `json:"callerAddress"`
	// Scheduler is the RPC address of the scheduler on this VM, Seeds holds those of schedulers on other VMs.
	Scheduler string   `json:"scheduler"`
	Seeds     []string `json:"seeds"`
	// SessionKeys are the keys of session tokens: the first one signs, all are accepted. All gates of a cell need the
	// same keys.
	SessionKeys []string `json:"sessionKeys"`
}

func (s *settings) check(l *finding.List) {
	s.Check(l)
	setting.CheckAddress(l, "callerAddress", s.CallerAddress)
	setting.CheckAddress(l, "scheduler", s.Scheduler)
	session.CheckKeys(l, "sessionKeys", s.keys()...)
	for i, a := range s.Seeds {
		setting.CheckAddress(l, fmt.Sprintf("seeds[%d]", i), a)
	}
}

func (s *settings) keys() [][]byte {
	out := make([][]byte, len(s.SessionKeys))
	for i, key := range s.SessionKeys {
		out[i] = []byte(key)
	}
	return out
}

func main() {
	s := settings{Process: setting.DefaultProcess()}
	process.Main("gate", &s.Process, &s, s.check, func(service *turmericgap.Service) error { return wire(service, &s) })
}

// program holds the components of the gate's process.
type program struct {
	follower *view.Follower
	group    *member.Group
	pool     *rpc.Pool
	calls    *webcall.Pool
	server   *rpc.Server
	gate     *gate.Gate
}

func wire(service *turmericgap.Service, s *settings) error {
	peers, err := net.Listen("tcp", s.RPCAddress)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return err
	}
	kv, err := process.OpenStore(service, &s.Process)
	if err != nil {
		return err
	}
	log := service.Logger()
	p := &program{pool: rpc.NewPool(), calls: webcall.New(), server: rpc.NewServer()}
	p.group = process.NewGroup(service, kv, &s.Process, member.RoleGate, process.ViewHooks{
		View:           func() *view.View { return p.follower.View() },
		OnRulesVersion: func(m member.Member, v int64) { p.follower.NotifyNewerRules(m, v) },
	}, member.OnChange(func(t member.Table) { p.gate.SetTable(shareTable(t)) }))
	p.follower = view.NewFollower(s.Scheduler, view.Self(p.group.Self()), view.Groups(p.group),
		view.Seeds(s.Seeds...), view.Logger(logger.Part(log, "view")), view.Metrics(service.Metrics()))
	rules := &process.RuleFollower{View: p.follower.View, Logger: log}
	p.gate = gate.New(gate.ID(incarnationID(p.group.Self())), gate.Zone(s.Zone), gate.Dial(web.New(p.calls)),
		gate.Targets(func() []target.Info { return p.follower.View().Targets }),
		gate.Member(p.group.Valid, p.group.JoinedVersion), gate.OverRPC(p.pool, p.gateAddress, p.gateAddresses),
		gate.SessionKeys(s.keys()...), gate.JobOwner(p.jobClient(s)),
		gate.Rules(func(c *gate.Check) gate.Decision { return applyRules(rules.List(), s.Zone, c) }),
		gate.Limit(limitConnections), gate.Logger(logger.Part(log, "gate")), gate.Metrics(service.Metrics()))
	p.register()
	service.Init(
		turmericgap.Ready(p.gate.Ready), turmericgap.AddPage("/gate", p.gate.ServeStatus),
		turmericgap.Start(func() error {
			go func() { _ = p.server.Serve(process.ListenPeers(service, peers)) }()
			go func() { _ = p.gate.Serve(callers) }()
			p.follower.Start(context.Background())
			return p.group.Start(context.Background())
		}),
		turmericgap.Stop(func(deadline time.Time) { p.stop(deadline, log) }))
	return nil
}

// limitConnections leaves most files that the process may open to its own connections.
func limitConnections(l *gate.Limits) {
	l.Connections = min(l.Connections, connection.LimitsFor(0, connection.OpenFiles()).Connections)
}

func (p *program) register() {
	p.follower.Register(p.server)
	rpc.Handle(p.server, member.HeartbeatMethod, p.group.HandleHeartbeat)
	p.gate.Register(p.server)
}

// stop drains open requests, then leaves the member table so that the other gates get its shares immediately.
func (p *program) stop(deadline time.Time, log *zap.Logger) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	p.gate.Drain(deadline)
	if err := p.group.Leave(ctx, false); err != nil {
		log.Warn("gate: leaving the member table failed; the lease will expire", zap.Error(err))
	}
	p.gate.Close()
	p.follower.Close()
	p.server.Close()
	p.pool.Close()
}

// gateAddresses returns the addresses of the zone's gates that accept new work.
func (p *program) gateAddresses(zone string) []string {
	t, _ := p.follower.View().Table(zone, member.RoleGate)
	out := make([]string, 0, len(t.Members))
	for _, m := range t.Members {
		if m.State != member.Leaving {
			out = append(out, m.Address)
		}
	}
	return out
}

// incarnationID returns an ID that is unique for each start of a gate, which shares of slots require.
func incarnationID(m member.Member) string { return m.ID + "#" + strconv.FormatInt(m.Incarnation, 36) }

func shareTable(t member.Table) share.Table {
	out := share.Table{Version: t.Version}
	for _, m := range t.Members {
		out.Gates = append(out.Gates, incarnationID(m))
	}
	return out
}

// gateAddress returns the address of a gate of this zone by its incarnation ID.
func (p *program) gateAddress(id string) (string, bool) {
	for _, m := range p.group.Table().Members {
		if incarnationID(m) == id {
			return m.Address, true
		}
	}
	return "", false
}

func (p *program) jobClient(s *settings) gate.JobClient {
	c := &route.Client{Zones: s.Zones, Pool: p.pool, Owner: func(zone string) (string, bool) {
		t, _ := p.follower.View().Table(zone, member.RoleScheduler)
		m, ok := t.Find(t.Owner)
		return m.Address, ok
	}}
	return gate.JobClient{
		Submit: c.Submit, Status: c.Status, Wait: c.Wait,
		Cancel: func(ctx context.Context, id string) (*job.Status, error) { return c.Cancel(ctx, id, cancelReason) },
	}
}

// applyRules evaluates the rules for a check.
func applyRules(l *rule.List, zone string, c *gate.Check) gate.Decision {
	var r rule.Request
	r.ForCheck(time.Now(), c.Service, c.Method, "", zone, c.Session != "")
	e := l.Decide(&r)
	if e == nil {
		return gate.Decision{}
	}
	d := gate.Decision{
		RefusalReason: e.Refuse, Service: e.Service, Retries: e.Retries, Queue: e.MaxPending,
		Timeout: time.Duration(e.TimeoutSeconds) * time.Second,
	}
	if len(e.Zones) > 0 {
		d.Zone = e.Zones[0]
	}
	return d
}
