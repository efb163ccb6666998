package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"turmericgap/job"
	"turmericgap/store"
	"turmericgap/store/follow"
	"turmericgap/worker"
)

// runKey names a run on a worker.
type runKey struct {
	task   worker.Task
	number int64
}

// node is one lifetime of a worker.
type node struct {
	id      string
	listing worker.ListedWorker
	// listed says that the worker's entry is in the store now.
	listed bool
	// unreadable says that the entry is there and cannot be read: it names no worker for new tasks, and
	// what was proved of the worker before holds on.
	unreadable bool
	agent      *worker.Agent
	stop       context.CancelFunc
	holdOrders chan holdOrder
	// roomWantedPass is the latest pass after which work waited for room here; hurry ends the pause before a hold.
	roomWantedPass int64
	wake           chan struct{}
	// usablePart is the part of a pass for which usableNow holds, sortedPart that for which runsByEnd is in order.
	usablePart, sortedPart int64
	usableNow              bool
	runsByEnd              []*run
	position               indexPosition
	// ownerLag is the owner's.
	ownerLag *lag
	// free is the capacity less what is charged; held is the part of free kept for a stage that waits
	// for its permits.
	free     job.Resources
	setAside job.Resources
	// reserved is room that the present pass keeps for gangs, reservedUntil when the first of them
	// is expected to start.
	reserved      job.Resources
	reservedUntil time.Time
	// claimed is what the pass before has kept, until claimedUntil. What is more urgent than those gangs
	// leaves it alone as long as there is room elsewhere.
	claimed      job.Resources
	claimedUntil time.Time
	runs         map[runKey]*run
	// unknownRuns counts runs on the worker that this term does not know; their size is unknown, so that
	// nothing new is placed beside them.
	unknownRuns int
	// synced says that the worker has answered a hold of this term: older starts are void there.
	synced bool
	// clock is the worker's clock as it was at clockAt.
	clock   time.Duration
	clockAt time.Time
	heardAt time.Time
	// silentAt is when an order to the worker last had no answer; until it is heard again it gets
	// nothing new. holdDue is when the hold under way should have been answered.
	silentAt, holdDue time.Time
	// lastEndSeen is the highest number of an end that was taken in, lastEndObserved the highest that is durable.
	lastEndSeen, lastEndObserved int64
	// unsaved counts the ends that were taken in and are not durable yet.
	unsaved int
	// holding says that a hold is under way, waiting numbers the waits for durable ends.
	holding     bool
	observeWait int
	// holdSentAt is when the latest hold was sent, probedAt when the worker was asked beside one.
	holdSentAt, probedAt time.Time
	misses               int
	// leaseEnd is when all that ran there has surely ended if the worker stays silent.
	leaseEnd    time.Time
	unwellUntil time.Time
	// draining says that the VM under the worker is to have its upkeep: nothing new is placed there.
	draining bool
	health
}

// clockNow estimates the worker's clock; it errs to the early side by the way of the last answer.
func (n *node) clockNow(now time.Time) time.Duration { return n.clock + now.Sub(n.clockAt) }

// usable reports whether new runs may be placed on the worker.
func (n *node) usable(now time.Time) bool {
	return n.listed && !n.unreadable && n.synced && !n.listing.Leaving && n.unknownRuns == 0 && n.misses == 0 &&
		now.After(n.unwellUntil) && n.heardAt.After(n.silentAt) && (!n.holding || now.Before(n.holdDue.Add(n.slack()))) && !n.isQuarantined(now) && !n.draining
}

// slack is by how much the owner's own lag makes an answer late; a worker that no owner has met has none.
func (n *node) slack() time.Duration {
	if n.ownerLag == nil {
		return 0
	}
	return n.ownerLag.slack()
}

// usable is n.usable, worked out once for each pass.
func (t *term) usable(n *node, now time.Time) bool {
	if n.usablePart != t.pass.part {
		n.usablePart, n.usableNow = t.pass.part, n.usable(now)
	}
	return n.usableNow
}

// room gives the capacity for new runs.
func (n *node) room() job.Resources { return n.free.Minus(n.setAside).Minus(n.reserved) }

func (n *node) charge(r *run) {
	n.runs[runKey{r.task(), r.number}] = r
	n.free = n.free.Minus(r.need)
	n.sortedPart = 0
	n.updateIndex()
}

// release frees what a run held.
func (n *node) release(r *run) {
	delete(n.runs, runKey{r.task(), r.number})
	n.free = n.free.Plus(r.need)
	n.updateIndex()
}

// workersPause is kept between two answers of the watch over workers, each of which writes its entry
// every second or two. A worker that leaves must get nothing new after two seconds.
const workersPause = 300 * time.Millisecond

// followWorkers hears of the workers' entries.
func (t *term) followWorkers() {
	f := &follow.Follower{
		Store: t.o.Store, Prefix: t.o.WorkersPrefix, MinInterval: workersPause, Logger: t.log,
		OnReset:  func(pairs []store.Pair, _ int64) { t.post(func() { t.resetWorkers(pairs) }) },
		OnChange: func(events []store.Event, _ int64) { t.post(func() { t.changeWorkers(events) }) },
	}
	t.wg.Go(func() { f.Run(t.ctx) })
}

func (t *term) resetWorkers(pairs []store.Pair) {
	present := make(map[string]bool, len(pairs))
	for i := range pairs {
		present[idFromKey(pairs[i].Key, t.o.WorkersPrefix)] = true
		t.onListing(pairs[i].Key, pairs[i].Value)
	}
	for id, n := range t.nodes {
		if n.listed && !present[id] {
			t.onUnlisted(n)
		}
	}
	for id := range t.unreadable {
		if !present[id] {
			delete(t.unreadable, id)
		}
	}
}

func (t *term) changeWorkers(events []store.Event) {
	for i := range events {
		e := &events[i]
		if e.Deleted {
			id := idFromKey(e.Pair.Key, t.o.WorkersPrefix)
			delete(t.unreadable, id)
			if n := t.nodes[id]; n != nil {
				left := n.hasLeft(time.Now())
				t.onUnlisted(n)
				if left {
					t.endLifetime(n, worker.OutcomeLeaseExpired, "it has left")
				}
			}
			continue
		}
		t.onListing(e.Pair.Key, e.Pair.Value)
	}
}

// onListing takes in an entry of a worker, which another writer may have written. One that cannot be
// read names no worker, so that nothing new starts on a worker that was known; its runs, its lease and
// the ends that it lists are facts that the entry does not change. The log tells of it once, not each
// time that the entry is written.
func (t *term) onListing(key string, raw []byte) {
	id := idFromKey(key, t.o.WorkersPrefix)
	l, err := t.o.DecodeWorker(key, raw)
	n := t.nodes[id]
	if err != nil {
		if !t.unreadable[id] {
			t.log.Warn("dispatch: worker's entry cannot be read", zap.String("key", key), zap.Bool("known", n != nil), zap.Error(err))
		}
		t.unreadable[id] = true
		if n != nil {
			n.unreadable = true
		}
		return
	}
	if t.unreadable[id] {
		t.log.Info("dispatch: worker's entry can be read again", zap.String("key", key))
		delete(t.unreadable, id)
	}
	t.updateListing(l)
	t.nodes[l.ID].unreadable = false
}

// maxLeavingEntryAge is how old the last entry of a leaving worker may be when it is removed. Entries of silent
// workers are removed only after three intervals of a second and a half.
const maxLeavingEntryAge = 2500 * time.Millisecond

// hasLeft reports whether a worker whose entry is being removed took it away itself as it left, and with
// it all that ran there. Without this its last tasks would wait for a lease that nobody holds. An entry
// that lapsed is older, by the worker's own clock, however late the watch tells of it.
func (n *node) hasLeft(now time.Time) bool {
	return n.listing.Leaving && !n.clockAt.IsZero() && n.listing.Clock > 0 && n.clockNow(now)-n.listing.Clock < maxLeavingEntryAge
}

// nodeFor gives the node of that ID, which may not be listed.
func (t *term) nodeFor(id string) *node {
	n := t.nodes[id]
	if n == nil {
		n = &node{id: id, runs: make(map[runKey]*run), holdOrders: make(chan holdOrder, 1), wake: make(chan struct{}, 1)}
		t.addNode(n)
	}
	return n
}

func (t *term) addNode(n *node) {
	t.nodes[n.id] = n
	n.position.index, n.ownerLag = &t.roomIndex, &t.lag
	n.updateIndex()
	at, _ := t.searchNodes(n)
	t.sortedNodes = slices.Insert(t.sortedNodes, at, n)
	t.nodesVersion++
}

func (t *term) removeNode(n *node) {
	delete(t.nodes, n.id)
	n.leaveIndex()
	n.position.index = nil
	if at, found := t.searchNodes(n); found {
		t.sortedNodes = slices.Delete(t.sortedNodes, at, at+1)
	}
	t.nodesVersion++
}

func (t *term) searchNodes(n *node) (at int, found bool) {
	return slices.BinarySearchFunc(t.sortedNodes, n, func(a, b *node) int { return strings.Compare(a.id, b.id) })
}

func (t *term) updateListing(l worker.ListedWorker) {
	n := t.nodeFor(l.ID)
	if !n.listed || n.listing.Leaving != l.Leaving {
		t.log.Info("dispatch: worker listed", zap.String("worker", l.ID), zap.String("pool", l.Pool),
			zap.Bool("leaving", l.Leaving), zap.String("rack", l.Rack))
	}
	if n.listing.Has != l.Has {
		t.nodesVersion++
	}
	n.free = n.free.Plus(l.Has).Minus(n.listing.Has)
	n.listing, n.listed = l, true
	n.updateIndex()
	if n.agent == nil {
		t.startHolds(n)
	}
	t.passNeeded = true
}

// onUnlisted notes that the worker's entry has gone. What runs there goes on as long as the worker answers.
func (t *term) onUnlisted(n *node) {
	n.listed = false
	t.unlistedAt = time.Now()
	t.log.Info("dispatch: worker no longer listed", zap.String("worker", n.id), zap.Int("runs", len(n.runs)))
	t.forgetIfIdle(n)
}

// forgetIfIdle forgets a worker that is not listed and holds nothing. One with ends that are not durable yet is kept:
// if its entry came back it would be met as a new one, tell of those ends again, and be told that they were
// taken note of, since nothing of its own waits to be saved.
func (t *term) forgetIfIdle(n *node) {
	if n.listed || len(n.runs) > 0 || n.unsaved > 0 {
		return
	}
	if n.stop != nil {
		n.stop()
	}
	n.agent.Release()
	t.removeNode(n)
}

// endLifetime ends all runs of a lifetime that is over.
func (t *term) endLifetime(n *node, how worker.RunOutcome, reason string) {
	t.log.Info("dispatch: worker's runs are over", zap.String("worker", n.id), zap.String("reason", reason), zap.Int("runs", len(n.runs)))
	for _, r := range n.runs {
		t.endRun(r, how, "")
	}
	t.forgetIfIdle(n)
}

// endLapsed ends what ran on workers that were silent for longer than any lease that they may hold.
func (t *term) endLapsed(now time.Time) {
	for _, n := range t.nodes {
		if len(n.runs) > 0 && (n.misses > 0 || !n.synced) && now.After(n.leaseEnd) {
			t.endLifetime(n, worker.OutcomeLeaseExpired, "silent until its lease had lapsed")
		}
	}
}
