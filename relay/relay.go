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
	// DefaultMaxDirect is the default number of workers that a VM reaches directly.
	DefaultMaxDirect = 128
	// maxWorkersPerRelay bounds the load of a relay to about a third of the processor of a small VM.
	maxWorkersPerRelay = 100
	// relayCooldown is how long a relay that was given up is not assigned any worker.
	relayCooldown = 5 * time.Second
	// directDuration is how long the owner calls a worker directly after a relayed call got no answer.
	directDuration = 5 * time.Second
	// A relay is given up when blameThreshold workers have answered the owner but not the relay, and no worker has
	// answered through it for blameDelay, so that a short slowdown is tolerated.
	blameThreshold = 5
	blameDelay     = time.Second
)

// Options configures Relays.
type Options struct {
	// Self is the ID of this VM, and MaxDirect the number of workers that it reaches directly.
	Self      string
	MaxDirect int
	// DirectAgent returns an agent that calls a worker from this VM.
	DirectAgent func(worker.Info) *worker.Agent
	// Nodes lists the VMs that may serve as relays; NewClient returns a client for one of them.
	Nodes     func() []owner.Node
	NewClient func(address string) *rpc.Client
	Logger    *zap.Logger
	Metrics   *metric.Registry
}

// Relays distributes the workers of a cell between the owner and its relays.
type Relays struct {
	opts  Options
	wg    sync.WaitGroup
	mu    sync.Mutex
	links map[string]*link
	// cooldowns holds the end of the cooldown of each VM that was given up; directCount counts the workers that this VM
	// keeps for itself.
	cooldowns   map[string]time.Time
	directCount int
}

// New returns Relays without links. Without Options.Nodes the VM reaches all workers directly.
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
	return &Relays{opts: o, links: make(map[string]*link), cooldowns: make(map[string]time.Time)}
}

// Agent returns an agent that calls one worker instance, directly or through a relay, until the agent is closed.
func (r *Relays) Agent(info worker.Info) *worker.Agent {
	a := &agent{relays: r, info: info, direct: r.opts.DirectAgent(info)}
	return &worker.Agent{Launch: a.launch, Halt: a.halt, Hold: a.hold, Relayed: a.isRelayed, Close: a.close}
}

// Close closes all links and waits for them; calls in flight are repeated directly.
func (r *Relays) Close() {
	r.mu.Lock()
	for id, k := range r.links {
		delete(r.links, id)
		k.cancel()
		k.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// assign assigns a worker to a link. Without a link, keepDirect reports whether this VM keeps the worker for itself;
// otherwise no relay is available now.
func (r *Relays) assign(info worker.Info) (k *link, keepDirect bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directCount < r.opts.MaxDirect {
		r.directCount++
		return nil, true
	}
	if k = r.chooseLink(info.Zone, time.Now()); k != nil {
		k.workerCount++
	}
	return k, false
}

// chooseLink returns the fullest link with capacity for another worker, preferably in the worker's availability zone:
// fewer relays need fewer exchanges.
func (r *Relays) chooseLink(zone string, now time.Time) *link {
	if k := r.fullestLink(zone, true); k != nil {
		return k
	}
	if node, ok := r.strongestUnusedNode(zone, true, now); ok {
		return r.openLink(node)
	}
	if k := r.fullestLink(zone, false); k != nil {
		return k
	}
	if node, ok := r.strongestUnusedNode(zone, false, now); ok {
		return r.openLink(node)
	}
	return nil
}

func (r *Relays) fullestLink(zone string, inZone bool) *link {
	var best *link
	for _, k := range r.links {
		if k.workerCount >= maxWorkersPerRelay || (k.node.Zone == zone) != inZone {
			continue
		}
		if best == nil || k.workerCount > best.workerCount || k.workerCount == best.workerCount && k.node.ID < best.node.ID {
			best = k
		}
	}
	return best
}

// strongestUnusedNode returns the strongest VM that is not a relay yet.
func (r *Relays) strongestUnusedNode(zone string, inZone bool, now time.Time) (best owner.Node, found bool) {
	for _, n := range r.opts.Nodes() {
		if n.ID == r.opts.Self || (n.Zone == zone) != inZone || r.links[n.ID] != nil || now.Before(r.cooldowns[n.ID]) {
			continue
		}
		if !found || n.Strength > best.Strength {
			best, found = n, true
		}
	}
	return best, found
}

func (r *Relays) openLink(node owner.Node) *link {
	k := newLink(node, r.opts.NewClient(node.Address), r.opts.Logger, r.handleLinkFailure)
	r.links[node.ID] = k
	r.wg.Go(k.run)
	r.opts.Logger.Info("relay: workers are reached by way of another VM",
		zap.String("relay", node.ID), zap.Int("relays", len(r.links)))
	return k
}

// handleLinkFailure removes a link that was given up, and starts the cooldown of its VM.
func (r *Relays) handleLinkFailure(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLink(k)
	r.cooldowns[k.node.ID] = time.Now().Add(relayCooldown)
	r.opts.Metrics.Counter("relay.broken").Inc(1)
}

func (r *Relays) removeLink(k *link) {
	if r.links[k.node.ID] == k {
		delete(r.links, k.node.ID)
	}
}

// release undoes the assignment of a worker; a link without workers is closed.
func (r *Relays) release(k *link, direct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if direct {
		r.directCount--
	}
	if k == nil {
		return
	}
	if k.workerCount--; k.workerCount == 0 {
		r.removeLink(k)
		k.cancel()
		k.close()
	}
}

// recordAnswer records that a worker has answered through a relay.
func (r *Relays) recordAnswer(k *link) {
	r.mu.Lock()
	k.blameCount, k.lastAnswer = 0, time.Now()
	r.mu.Unlock()
}

// recordBlame records that a worker answered the owner after it had not answered through the relay.
func (r *Relays) recordBlame(k *link) {
	r.mu.Lock()
	k.blameCount++
	unreliable := k.blameCount >= blameThreshold && time.Since(k.lastAnswer) > blameDelay
	r.mu.Unlock()
	if unreliable {
		k.fail(errRelayUnreliable)
		k.cancel()
	}
}
