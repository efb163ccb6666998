// Package process holds code shared by the main packages of the cell's programs: arguments, settings and wiring.
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"turmericgap"
	"turmericgap/connection"
	"turmericgap/finding"
	"turmericgap/logger"
	"turmericgap/member"
	"turmericgap/rule"
	"turmericgap/rule/standard"
	"turmericgap/setting"
	"turmericgap/store"
	"turmericgap/store/meter"
	"turmericgap/view"
	"turmericgap/vmlist/web"
	"turmericgap/webcall"

	// The plug-ins that settings may name.
	_ "turmericgap/store/etcd"
	_ "turmericgap/trace/otlp"
	_ "turmericgap/trace/stdout"
)

// Exit codes of every program.
const (
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Settings string `long:"settings" short:"s" description:"the JSON file of settings" required:"true"`
	Check    bool   `long:"check" description:"report all findings of the settings and end"`
}

// Main parses arguments, loads settings into the value given, wires the program and runs it until it is stopped.
func Main(name string, common *setting.Process, into any, check func(*finding.List), wire func(*turmericgap.Service) error) {
	var args arguments
	if _, err := flags.NewParser(&args, flags.Default).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := setting.Load(args.Settings, into, check); err != nil {
		fmt.Fprintf(os.Stderr, "%s: settings in %s:\n%s\n", name, args.Settings, err)
		os.Exit(exitUsage)
	}
	if args.Check {
		fmt.Println("settings: no findings")
		return
	}
	logger.Level.SetLevel(common.Level())
	service := turmericgap.New(turmericgap.Name(name), turmericgap.OpsAddress(common.OpsAddress),
		turmericgap.Trace(common.Trace.Exporter, common.Trace.Address),
		turmericgap.ShutdownTimeout(setting.Millis(common.ShutdownMillis)))
	err := wire(service)
	if err == nil {
		err = service.Run()
	}
	if err != nil {
		service.Logger().Error("service: ended with an error", zap.Error(err))
		os.Exit(exitFailed)
	}
}

// OpenStore opens the platform's key-value service and counts this process's calls to it.
func OpenStore(s *turmericgap.Service, p *setting.Process) (*store.Store, error) {
	kv, err := store.Open(p.Store.Kind, p.Store.Endpoint)
	if err != nil {
		return nil, err
	}
	return meter.New(kv, meter.Metrics(s.Metrics())), nil
}

// ListenPeers returns a listener that admits connections of the cell's processes up to half of the files that this one may
// open.
func ListenPeers(s *turmericgap.Service, l net.Listener) net.Listener {
	return connection.ListenPeers(l, connection.NewBudget("peers", connection.PeerLimits(connection.OpenFiles()), s.Metrics()))
}

// ViewHooks connects a member group with the view of its process.
type ViewHooks struct {
	View           func() *view.View
	OnRulesVersion func(from member.Member, version int64)
}

// NewGroup creates this process's membership in the table of its zone and role.
func NewGroup(s *turmericgap.Service, kv *store.Store, p *setting.Process, role string, v ViewHooks, opts ...member.Option) *member.Group {
	self := member.Member{ID: p.ID, Role: role, Zone: p.Zone, Address: p.RPCAddress, VM: p.VM}
	base := []member.Option{
		member.Logger(logger.Part(s.Logger(), "member")), member.Metrics(s.Metrics()),
		member.ListedVMs(func() (map[string]bool, bool) { return v.View().ListedVMs() }),
		member.Rules(func() int64 { return v.View().Rules.Version }, v.OnRulesVersion),
	}
	return member.New(kv, self, append(base, opts...)...)
}

// CheckMembership is a readiness check for a process that acts only while its membership is valid.
func CheckMembership(g *member.Group) error {
	if !g.Valid() {
		return errors.New("membership does not hold now")
	}
	return nil
}

// VMListReader returns a function that reads the platform's VM list.
func VMListReader(calls *webcall.Pool, address string) func(context.Context) (view.VMList, error) {
	source := web.New(calls, address)
	return func(ctx context.Context) (view.VMList, error) {
		l, err := source.Read(ctx)
		if err != nil {
			return view.VMList{}, err
		}
		out := view.VMList{Version: l.Version, Workers: l.Workers, Targets: l.Targets, Entries: make(map[string]bool, len(l.Entries))}
		for _, e := range l.Entries {
			out.Entries[e.ID] = true
		}
		return out, nil
	}
}

// RuleFollower provides the rules of the view's rule document. Before the first document, it provides the standard
// rules.
type RuleFollower struct {
	View   func() *view.View
	Logger *zap.Logger

	mu     sync.Mutex
	list   *rule.List
	parsed int64
}

// List returns the rules in force.
func (r *RuleFollower) List() *rule.List {
	l, _ := r.Refresh()
	return l
}

// Refresh returns the rules in force and whether they have changed since the last call.
func (r *RuleFollower) Refresh() (l *rule.List, newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil {
		r.list, newer = standard.List(), true
	}
	latest := r.View().Rules
	if latest.Version <= r.parsed {
		return r.list, newer
	}
	r.parsed = latest.Version
	parsed, err := rule.Parse(latest.Raw)
	if err != nil {
		// Documents are validated when they are accepted, but a newer version of the program may have accepted this one.
		r.Logger.Error("rules: document not understood, the last one stays", zap.Int64("version", latest.Version), zap.Error(err))
		return r.list, newer
	}
	r.list = parsed
	return r.list, true
}
