package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/metric"
	"turmericgap/owner"
	"turmericgap/rpc"
	"turmericgap/worker"
)

const (
	// DefaultMaxDirect is how many workers a VM reaches by itself where nothing is said.
	DefaultMaxDirect = 128
	// workersMost is how many workers are reached by way of one relay: about a third of a weak VM's processor.
	workersMost = 100
	// restFor is how long a relay that was given up gets no worker.
	restFor = 5 * time.Second
	// directFor is how long a worker is asked by the owner itself after a call by way of a relay had no answer.
	directFor = 5 * time.Second
	// blamesMost is how many workers must have answered the owner, and not the relay, and blameAfter how long ago the
	// last one has answered that, before it is given up: one that is slow for a moment is not.
	blamesMost = 5
	blameAfter = time.Second
)

// Options are what Relays are made of.
type Options struct {
	// Self is this VM's ID, Own how many workers it reaches by itself.
	Self      string
	MaxDirect int
	// DirectAgent gives this VM's own calls to a worker.
	DirectAgent func(worker.Info) *worker.Agent
	// Nodes lists the VMs that may relay, Client opens a connection to one of them.
	Nodes     func() []owner.Node
	NewClient func(address string) *rpc.Client
	Logger    *zap.Logger
	Metrics   *metric.Registry
}

// Relays shares the workers of a cell out between the owner and relays.
type Relays struct {
	o     Options
	wg    sync.WaitGroup
	mu    sync.Mutex
	links map[string]*link
	// rests holds until when VMs that were given up get no worker, own counts the workers without a relay.
	rests map[string]time.Time
	own   int
}

// New returns Relays without links. Without Nodes the VM reaches all workers by itself.
func New(o Options) *Relays {
	if o.MaxDirect == 0 {
		o.MaxDirect = DefaultMaxDirect
	}
	if o.Nodes == nil {
		o.Nodes = func() []owner.Node { return nil }
	}
	if o.NewClient == nil {
		o.NewClient = func(address string) *rpc.Client { return rpc.NewClient(address) }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metric.New()
	}
	return &Relays{o: o, links: make(map[string]*link), rests: make(map[string]time.Time)}
}

// Agent gives the calls to one lifetime of a worker, by this VM or by way of a relay; Close ends them.
func (r *Relays) Agent(info worker.Info) *worker.Agent {
	a := &agent{relays: r, info: info, direct: r.o.DirectAgent(info)}
	return &worker.Agent{Launch: a.launch, Halt: a.halt, Hold: a.hold, Relayed: a.relayed, Close: a.close}
}

// Close gives up all links and waits for them; what is under way goes on directly.
func (r *Relays) Close() {
	r.mu.Lock()
	for id, k := range r.links {
		delete(r.links, id)
		k.stop()
		k.end()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// assign gives a worker a link, or none: own says that this VM keeps it, else there is no relay for it now.
func (r *Relays) assign(info worker.Info) (k *link, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own < r.o.MaxDirect {
		r.own++
		return nil, true
	}
	if k = r.choose(info.Zone, time.Now()); k != nil {
		k.workers++
	}
	return k, false
}

// choose gives the fullest link that may have one worker more, in the worker's availability zone if there is one; the
// fewer relays, the fewer exchanges.
func (r *Relays) choose(zone string, now time.Time) *link {
	if k := r.fullest(zone, true); k != nil {
		return k
	}
	if node, ok := r.fresh(zone, true, now); ok {
		return r.open(node)
	}
	if k := r.fullest(zone, false); k != nil {
		return k
	}
	if node, ok := r.fresh(zone, false, now); ok {
		return r.open(node)
	}
	return nil
}

func (r *Relays) fullest(zone string, inZone bool) *link {
	var best *link
	for _, k := range r.links {
		if k.workers >= workersMost || (k.node.Zone == zone) != inZone {
			continue
		}
		if best == nil || k.workers > best.workers || k.workers == best.workers && k.node.ID < best.node.ID {
			best = k
		}
	}
	return best
}

// fresh gives the strongest VM that is no relay yet.
func (r *Relays) fresh(zone string, inZone bool, now time.Time) (best owner.Node, found bool) {
	for _, n := range r.o.Nodes() {
		if n.ID == r.o.Self || (n.Zone == zone) != inZone || r.links[n.ID] != nil || now.Before(r.rests[n.ID]) {
			continue
		}
		if !found || n.Strength > best.Strength {
			best, found = n, true
		}
	}
	return best, found
}

func (r *Relays) open(node owner.Node) *link {
	k := newLink(node, r.o.NewClient(node.Address), r.o.Logger, r.broke)
	r.links[node.ID] = k
	r.wg.Go(k.run)
	r.o.Logger.Info("relay: workers are reached by way of another VM", zap.String("relay", node.ID), zap.Int("relays", len(r.links)))
	return k
}

// broke forgets a link that was given up, and lets its VM rest.
func (r *Relays) broke(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(k)
	r.rests[k.node.ID] = time.Now().Add(restFor)
	r.o.Metrics.Counter("relay.broken").Inc(1)
}

func (r *Relays) forget(k *link) {
	if r.links[k.node.ID] == k {
		delete(r.links, k.node.ID)
	}
}

// release gives back a worker's place; a link without workers is closed.
func (r *Relays) release(k *link, own bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own {
		r.own--
	}
	if k == nil {
		return
	}
	if k.workers--; k.workers == 0 {
		r.forget(k)
		k.stop()
		k.end()
	}
}

// clear notes that a worker has answered by way of a relay.
func (r *Relays) clear(k *link) {
	r.mu.Lock()
	k.blames, k.heard = 0, time.Now()
	r.mu.Unlock()
}

// blame notes that a worker has answered the owner after it had not answered the relay.
func (r *Relays) blame(k *link) {
	r.mu.Lock()
	k.blames++
	broken := k.blames >= blamesMost && time.Since(k.heard) > blameAfter
	r.mu.Unlock()
	if broken {
		k.giveUp(errBlamed)
		k.stop()
	}
}
