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
	// errRelayDown means that a call has no answer because its relay failed.
	errRelayDown = errors.New("relay does not answer")
	// errOrderLost means that the relay failed after the order was handed over: the worker may have received it, or may
	// still receive it.
	errOrderLost = fmt.Errorf("%w, and it may send the order", errRelayDown)
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
	pending   map[uint64]chan answer
	processID uint64
	closed    bool

	// workerCount is the number of workers assigned to the link. blameCount is how many of them answered the owner but
	// not the relay since lastAnswer, when a worker last answered through it. Relays guards these fields.
	workerCount, blameCount int
	lastAnswer              time.Time
}

// answer ends the wait for the result of an order.
type answer struct {
	result *result
	err    error
}

func newLink(node owner.Node, client *rpc.Client, log *zap.Logger, onFailure func(*link)) *link {
	k := &link{
		id: rand.Uint64(), node: node, client: client, log: log, onFailure: onFailure,
		wake: make(chan struct{}, 1), pending: make(map[uint64]chan answer),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// do makes the relay execute an order. Once the relay is given up, it returns errOrderLost, or errRelayDown if the order
// was not handed over.
func (k *link) do(ctx context.Context, o order) (*result, error) {
	if deadline, ok := ctx.Deadline(); ok {
		o.Timeout = time.Until(deadline)
	}
	done, ok := k.enqueue(&o)
	if !ok {
		return nil, errRelayDown
	}
	select {
	case a := <-done:
		return a.result, a.err
	case <-ctx.Done():
		k.mu.Lock()
		delete(k.pending, o.Number)
		k.mu.Unlock()
		return nil, ctx.Err()
	}
}

func (k *link) enqueue(o *order) (done chan answer, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, false
	}
	k.next++
	o.Number = k.next
	done = make(chan answer, 1)
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
		if !k.isAwaited() {
			select {
			case <-k.ctx.Done():
				return
			case <-k.wake:
			}
			continue
		}
		if err := k.exchange(); err != nil {
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

// isAwaited reports whether any order is to be sent or any result is awaited.
func (k *link) isAwaited() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.pending) > 0 || len(k.queued) > 0
}

// takeOrders returns the orders that were not sent yet, which count as handed over from now on.
func (k *link) takeOrders() []order {
	k.mu.Lock()
	defer k.mu.Unlock()
	orders := k.queued
	k.queued = nil
	return orders
}

func (k *link) connect() error {
	ctx, cancel := context.WithTimeout(k.ctx, connectTimeout)
	defer cancel()
	return k.client.Connect(ctx)
}

func (k *link) exchange() error {
	if err := k.connect(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(k.ctx, exchangeTimeout)
	defer cancel()
	reply, err := rpc.Call[exchangeRequest, exchangeReply](ctx, k.client, methodExchange,
		&exchangeRequest{Link: k.id, Orders: k.takeOrders()})
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
	for i := range reply.Results {
		k.answer(reply.Results[i].Number, answer{result: &reply.Results[i]})
	}
	return nil
}

// answer ends the wait for an order. Without a pending order it does nothing: the caller has given up, and later calls
// return newer state.
func (k *link) answer(number uint64, a answer) {
	if done := k.pending[number]; done != nil {
		delete(k.pending, number)
		done <- a
	}
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
	for i := range k.queued {
		k.answer(k.queued[i].Number, answer{err: errRelayDown})
	}
	for n := range k.pending {
		k.answer(n, answer{err: errOrderLost})
	}
	k.closed, k.queued = true, nil
	return true
}

func (k *link) isClosed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closed
}
