package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/owner"
	"turmericgap/rpc"
)

const (
	// exchangeInterval is the time between two exchanges with a relay. It delays a relayed call by up to twice its
	// length; each exchange costs the owner as much as a call to a worker.
	exchangeInterval = 25 * time.Millisecond
	// connectTimeout bounds the connection setup to a relay and exchangeTimeout an exchange; a slower relay is given
	// up. exchangeTimeout is long because an owner that was paused finds all answers late, and giving up all relays
	// would add their calls to its load. Calls are not delayed by it, as each has its own timeout.
	connectTimeout  = 100 * time.Millisecond
	exchangeTimeout = time.Second
)

var (
	// errRelayDown means that a call has no answer because its relay failed; the worker may have received the call.
	errRelayDown = errors.New("relay does not answer")
	// errNoRelay is an errRelayDown of a call that no relay has received.
	errNoRelay = fmt.Errorf("no relay has the call: %w", errRelayDown)
)

// link is the connection to one relay. Each exchange sends the queued orders and fetches the available results.
type link struct {
	id     uint64
	node   owner.Node
	client *rpc.Client
	log    *zap.Logger
	// onFailure is called once when the link is given up.
	onFailure func(*link)
	wake      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc

	mu        sync.Mutex
	next      uint64
	queued    []order
	pending   map[uint64]chan result
	processID uint64
	closed    bool

	// workerCount is the number of workers assigned to the link. blameCount is how many of them answered the owner but
	// not the relay since lastAnswer, when a worker last answered through it. Relays guards these fields.
	workerCount, blameCount int
	lastAnswer              time.Time
}

func newLink(node owner.Node, client *rpc.Client, log *zap.Logger, onFailure func(*link)) *link {
	k := &link{
		id: rand.Uint64(), node: node, client: client, log: log, onFailure: onFailure,
		wake: make(chan struct{}, 1), pending: make(map[uint64]chan result),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// do makes the relay execute an order. It returns errRelayDown once the relay is given up.
func (k *link) do(ctx context.Context, o order) (*result, error) {
	if deadline, ok := ctx.Deadline(); ok {
		o.Timeout = time.Until(deadline)
	}
	done, ok := k.enqueue(&o)
	if !ok {
		return nil, errNoRelay
	}
	select {
	case r, ok := <-done:
		if !ok {
			return nil, errRelayDown
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
	k.queued = append(k.queued, *o)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return done, true
}

// run makes one exchange after another while any order is in flight.
func (k *link) run() {
	defer k.client.Close()
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		orders, awaited := k.takeOrders()
		if !awaited {
			select {
			case <-k.ctx.Done():
				return
			case <-k.wake:
			}
			continue
		}
		if err := k.exchange(orders); err != nil {
			k.fail(err)
			return
		}
		pause.Reset(exchangeInterval)
		select {
		case <-k.ctx.Done():
			return
		case <-pause.C:
		}
	}
}

// takeOrders returns the orders that were not sent yet, and whether any result is awaited.
func (k *link) takeOrders() (orders []order, awaited bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	orders, k.queued = k.queued, nil
	return orders, len(k.pending) > 0 || len(orders) > 0
}

func (k *link) connect() error {
	ctx, cancel := context.WithTimeout(k.ctx, connectTimeout)
	defer cancel()
	return k.client.Connect(ctx)
}

func (k *link) exchange(orders []order) error {
	if err := k.connect(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(k.ctx, exchangeTimeout)
	defer cancel()
	reply, err := rpc.Call[exchangeRequest, exchangeReply](ctx, k.client, methodExchange,
		&exchangeRequest{Link: k.id, Orders: orders})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.processID == 0 {
		k.processID = reply.ProcessID
	}
	if k.processID != reply.ProcessID {
		return errors.New("relay was restarted")
	}
	for _, r := range reply.Results {
		// A result without a pending order is dropped: its caller has given up, and later calls return newer state.
		if done := k.pending[r.Number]; done != nil {
			delete(k.pending, r.Number)
			done <- r
		}
	}
	return nil
}

// fail fails all pending orders because the relay does not answer.
func (k *link) fail(cause error) {
	if k.close() && cause != nil && k.ctx.Err() == nil {
		k.log.Warn("relay: a relay does not answer", zap.String("relay", k.node.ID), zap.Error(cause))
		k.onFailure(k)
	}
}

// close closes the link and reports whether it was open.
func (k *link) close() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return false
	}
	k.closed, k.queued = true, nil
	for n, done := range k.pending {
		delete(k.pending, n)
		close(done)
	}
	return true
}

func (k *link) isClosed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}
