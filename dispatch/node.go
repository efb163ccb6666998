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
	listing worker.Listing
	// listed says that the worker's entry is in the store now.
	listed bool
	// unreadable says that the entry is there and cannot be read: it names no worker for new tasks, and
	// what was proved of the worker before holds on.
	unreadable bool
	agent      *worker.Agent
	stop       context.CancelFunc
	orders     chan holdOrder
	// wantedIn is the latest pass after which work waited for room here; hurry ends the pause before a hold.
	wantedIn int64
	hurry    chan struct{}
	// judgedIn is the part of a pass for which usableNow holds, sortedIn that for which byEnd is in order.
	judgedIn, sortedIn int64
	usableNow          bool
	byEnd              []*run
	place              place
	// lag is the owner's.
	lag *lag
	// free is the capacity less what is charged; held is the part of free kept for a stage that waits
	// for its permits.
	free job.Resources
	held job.Resources
	// reserved is room that the present pass keeps for gangs, reservedUntil when the first of them
	// is expected to start.
	reserved      job.Resources
	reservedUntil time.Time
	// claimed is what the pass before has kept, until claimedUntil. What is more urgent than those gangs
	// leaves it alone as long as there is room elsewhere.
	claimed      job.Resources
	claimedUntil time.Time
	runs         map[runKey]*run
	// strange counts runs on the worker that this term does not know; their size is unknown, so that
	// nothing new is placed beside them.
	strange int
	// synced says that the worker has answered a hold of this term: older starts are void there.
	synced bool
	// clock is the worker's clock as it was at clockAt.
	clock   time.Duration
	clockAt time.Time
	heard   time.Time
	// silentAt is when an order to the worker last had no answer; until it is heard again it gets
	// nothing new. due is when the hold under way should have been answered.
	silentAt, due time.Time
	// seen is the highest number of an end that was taken in, observed the highest that is durable.
	seen, observed int64
	// unsaved counts the ends that were taken in and are not durable yet.
	unsaved int
	// holding says that a hold is under way, waiting numbers the waits for durable ends.
	holding bool
	waiting int
	// holdSent is when the latest hold was sent, askedBeside when the worker was asked beside one.
	holdSent, askedBeside time.Time
	misses                int
	// leaseEnd is when all that ran there has surely ended if the worker stays silent.
	leaseEnd time.Time
	unwell   time.Time
	// clearing says that the VM under the worker is to have its upkeep: nothing new is placed there.
	clearing bool
	trust
}

// clockNow estimates the worker's clock; it errs to the early side by the way of the last answer.
func (n *node) clockNow(now time.Time) time.Duration { return n.clock + now.Sub(n.clockAt) }

// usable reports whether new runs may be placed on the worker.
func (n *node) usable(now time.Time) bool {
	return n.listed && !n.unreadable && n.synced && !n.listing.Leaving && n.strange == 0 && n.misses == 0 &&
		now.After(n.unwell) && n.heard.After(n.silentAt) && (!n.holding || now.Before(n.due.Add(n.slack()))) && !n.rests(now) && !n.clearing
}

// slack is by how much the owner's own lag makes an answer late; a worker that no owner has met has none.
func (n *node) slack() time.Duration {
	if n.lag == nil {
		return 0
	}
	return n.lag.slack()
}

// usable is n.usable, worked out once for each pass.
func (t *term) usable(n *node, now time.Time) bool {
	if n.judgedIn != t.pass.moment {
		n.judgedIn, n.usableNow = t.pass.moment, n.usable(now)
	}
	return n.usableNow
}

// room gives the capacity for new runs.
func (n *node) room() job.Resources { return n.free.Minus(n.held).Minus(n.reserved) }

func (n *node) take(r *run) {
	n.runs[runKey{r.task(), r.number}] = r
	n.free = n.free.Minus(r.need)
	n.sortedIn = 0
	n.file()
}

// give frees what a run held.
func (n *node) give(r *run) {
	delete(n.runs, runKey{r.task(), r.number})
	n.free = n.free.Plus(r.need)
	n.file()
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
		present[workID(pairs[i].Key, t.o.WorkersPrefix)] = true
		t.takeListing(pairs[i].Key, pairs[i].Value)
	}
	for id, n := range t.nodes {
		if n.listed && !present[id] {
			t.unlist(n)
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
			id := workID(e.Pair.Key, t.o.WorkersPrefix)
			delete(t.unreadable, id)
			if n := t.nodes[id]; n != nil {
				left := n.hasLeft(time.Now())
				t.unlist(n)
				if left {
					t.gone(n, worker.EndingLapsed, "it has left")
				}
			}
			continue
		}
		t.takeListing(e.Pair.Key, e.Pair.Value)
	}
}

// takeListing takes in an entry of a worker, which another writer may have written. One that cannot be
// read names no worker, so that nothing new starts on a worker that was known; its runs, its lease and
// the ends that it lists are facts that the entry does not change. The log tells of it once, not each
// time that the entry is written.
func (t *term) takeListing(key string, raw []byte) {
	id := workID(key, t.o.WorkersPrefix)
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
	t.setWorker(l)
	t.nodes[l.ID].unreadable = false
}

// leftWithin is how old the last entry of a leaving worker may be when it is removed. Entries of silent
// workers are removed only after three intervals of a second and a half.
const leftWithin = 2500 * time.Millisecond

// hasLeft reports whether a worker whose entry is being removed took it away itself as it left, and with
// it all that ran there. Without this its last tasks would wait for a lease that nobody holds. An entry
// that lapsed is older, by the worker's own clock, however late the watch tells of it.
func (n *node) hasLeft(now time.Time) bool {
	return n.listing.Leaving && !n.clockAt.IsZero() && n.listing.Clock > 0 && n.clockNow(now)-n.listing.Clock < leftWithin
}

// nodeFor gives the node of that ID, which may not be listed.
func (t *term) nodeFor(id string) *node {
	n := t.nodes[id]
	if n == nil {
		n = &node{id: id, runs: make(map[runKey]*run), orders: make(chan holdOrder, 1), hurry: make(chan struct{}, 1)}
		t.enroll(n)
	}
	return n
}

func (t *term) enroll(n *node) {
	t.nodes[n.id] = n
	n.place.rooms, n.lag = &t.rooms, &t.lag
	n.file()
	at, _ := t.placeInRoll(n)
	t.roll = slices.Insert(t.roll, at, n)
	t.nodesChange++
}

func (t *term) strike(n *node) {
	delete(t.nodes, n.id)
	n.unfile()
	n.place.rooms = nil
	if at, found := t.placeInRoll(n); found {
		t.roll = slices.Delete(t.roll, at, at+1)
	}
	t.nodesChange++
}

func (t *term) placeInRoll(n *node) (at int, found bool) {
	return slices.BinarySearchFunc(t.roll, n, func(a, b *node) int { return strings.Compare(a.id, b.id) })
}

func (t *term) setWorker(l worker.Listing) {
	n := t.nodeFor(l.ID)
	if !n.listed || n.listing.Leaving != l.Leaving {
		t.log.Info("dispatch: worker listed", zap.String("worker", l.ID), zap.String("pool", l.Pool),
			zap.Bool("leaving", l.Leaving), zap.String("rack", l.Rack))
	}
	if n.listing.Has != l.Has {
		t.nodesChange++
	}
	n.free = n.free.Plus(l.Has).Minus(n.listing.Has)
	n.listing, n.listed = l, true
	n.file()
	if n.agent == nil {
		t.open(n)
	}
	t.dirty = true
}

// unlist notes that the worker's entry has gone. What runs there goes on as long as the worker answers.
func (t *term) unlist(n *node) {
	n.listed = false
	t.unlistedAt = time.Now()
	t.log.Info("dispatch: worker no longer listed", zap.String("worker", n.id), zap.Int("runs", len(n.runs)))
	t.retire(n)
}

// retire forgets a worker that is not listed and holds nothing. One with ends that are not durable yet is kept:
// if its entry came back it would be met as a new one, tell of those ends again, and be told that they were
// taken note of, since nothing of its own waits to be saved.
func (t *term) retire(n *node) {
	if n.listed || len(n.runs) > 0 || n.unsaved > 0 {
		return
	}
	if n.stop != nil {
		n.stop()
	}
	n.agent.End()
	t.strike(n)
}

// gone ends all runs of a lifetime that is over.
func (t *term) gone(n *node, how worker.Ending, reason string) {
	t.log.Info("dispatch: worker's runs are over", zap.String("worker", n.id), zap.String("reason", reason), zap.Int("runs", len(n.runs)))
	for _, r := range n.runs {
		t.endRun(r, how, "")
	}
	t.retire(n)
}

// lapse ends what ran on workers that were silent for longer than any lease that they may hold.
func (t *term) lapse(now time.Time) {
	for _, n := range t.nodes {
		if len(n.runs) > 0 && (n.misses > 0 || !n.synced) && now.After(n.leaseEnd) {
			t.gone(n, worker.EndingLapsed, "silent until its lease had lapsed")
		}
	}
}
