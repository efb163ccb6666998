package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/owner"
	"turmericgap/rpc"
)

const (
	// exchangeEvery is the pause between two exchanges with a relay: what a call by way of it takes longer, at most
	// twice. Each of them costs the owner as much as a call to a worker.
	exchangeEvery = 25 * time.Millisecond
	// reachWithin is how long the opening of a connection to a relay may take, exchangeWithin an exchange. A relay that
	// is later is given up. An owner that stands still for a moment finds all answers late: were it to give all its
	// relays up for that, it would have their calls to make besides. Calls do not wait as long, but for their own time.
	reachWithin    = 100 * time.Millisecond
	exchangeWithin = time.Second
)

// errBroken means that a call by way of a relay has no answer because of the relay; the worker may have got it.
var errBroken = errors.New("the relay does not answer")

// link is the way to one relay. Its orders are sent together, and the results fetched, in one exchange after the other.
type link struct {
	id     uint64
	node   owner.Node
	client *rpc.Client
	log    *zap.Logger
	// broke is called once when the link is given up.
	broke func(*link)
	wake  chan struct{}
	ctx   context.Context
	stop  context.CancelFunc

	mu      sync.Mutex
	next    uint64
	queue   []order
	pending map[uint64]chan result
	process uint64
	closed  bool

	// workers is how many workers are reached by it, blames how many of them have answered the owner and not the relay
	// since one has answered that, at heard; they belong to Relays.
	workers, blames int
	heard           time.Time
}

func newLink(node owner.Node, client *rpc.Client, log *zap.Logger, broke func(*link)) *link {
	k := &link{
		id: rand.Uint64(), node: node, client: client, log: log, broke: broke,
		wake: make(chan struct{}, 1), pending: make(map[uint64]chan result),
	}
	k.ctx, k.stop = context.WithCancel(context.Background())
	return k
}

// do has the relay carry out an order. It returns errBroken once the relay is given up.
func (k *link) do(ctx context.Context, o order) (*result, error) {
	if deadline, ok := ctx.Deadline(); ok {
		o.Within = time.Until(deadline)
	}
	done, ok := k.enqueue(&o)
	if !ok {
		return nil, errBroken
	}
	select {
	case r, ok := <-done:
		if !ok {
			return nil, errBroken
		}
		return &r, nil
	case <-ctx.Done():
		k.mu.Lock()
		delete(k.pending, o.Number)
		k.mu.Unlock()
		return nil, ctx.Err()
	}
}

func (k *link) enqueue(o *order) (done chan result, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, false
	}
	k.next++
	o.Number = k.next
	done = make(chan result, 1)
	k.pending[o.Number] = done
	k.queue = append(k.queue, *o)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return done, true
}

// run makes one exchange after the other while anything is under way.
func (k *link) run() {
	defer k.client.Close()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		orders, waits := k.take()
		if !waits {
			select {
			case <-k.ctx.Done():
				return
			case <-k.wake:
			}
			continue
		}
		if err := k.exchange(orders); err != nil {
			k.giveUp(err)
			return
		}
		pause.Reset(exchangeEvery)
		select {
		case <-k.ctx.Done():
			return
		case <-pause.C:
		}
	}
}

// take gives the orders that were not sent yet, and whether any result is waited for.
func (k *link) take() (orders []order, waits bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	orders, k.queue = k.queue, nil
	return orders, len(k.pending) > 0 || len(orders) > 0
}

func (k *link) connect() error {
	ctx, cancel := context.WithTimeout(k.ctx, reachWithin)
	defer cancel()
	return k.client.Connect(ctx)
}

func (k *link) exchange(orders []order) error {
	if err := k.connect(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(k.ctx, exchangeWithin)
	defer cancel()
	reply, err := rpc.Call[exchangeRequest, exchangeReply](ctx, k.client, methodExchange, &exchangeRequest{Link: k.id, Orders: orders})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.process == 0 {
		k.process = reply.Process
	}
	if k.process != reply.Process {
		return errors.New("the relay was restarted")
	}
	for _, r := range reply.Results {
		// What has no taker was given up, and what is asked now says more.
		if done := k.pending[r.Number]; done != nil {
			delete(k.pending, r.Number)
			done <- r
		}
	}
	return nil
}

// giveUp tells all that wait that the relay does not answer.
func (k *link) giveUp(cause error) {
	if k.end() && cause != nil && k.ctx.Err() == nil {
		k.log.Warn("relay: a relay does not answer", zap.String("relay", k.node.ID), zap.Error(cause))
		k.broke(k)
	}
}

// end closes the link; false means that it was closed before.
func (k *link) end() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	k.closed, k.queue = true, nil
	for n, done := range k.pending {
		delete(k.pending, n)
		close(done)
	}
	return true
}

func (k *link) broken() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}
