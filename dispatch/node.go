package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"turmericgap/capacity"
	"turmericgap/evacuation"
	"turmericgap/feature"
	"turmericgap/job"
	"turmericgap/lag"
	"turmericgap/presence"
	"turmericgap/worker"
	"turmericgap/workerlist"
)

// runKey identifies a run on a worker.
type runKey struct {
	task   worker.Task
	number int64
}

// node is the owner's state of one worker instance.
type node struct {
	id string
	// born is when the instance started, in Unix milliseconds; zero if unknown.
	born    int64
	listing worker.ListedWorker
	// listed is true while the worker's entry is in the store.
	listed bool
	// unreadable is true while the entry exists but cannot be decoded. The worker then gets no new tasks; what its
	// holds have shown stays valid.
	unreadable bool
	agent      *worker.Agent
	stop       context.CancelFunc
	holdOrders chan holdOrder
	// capacityAwaitedPass is the latest pass after which a stage waited for capacity here; wake ends the pause before a
	// hold.
	capacityAwaitedPass int64
	wake                chan struct{}
	// usablePart is the part of a pass for which usableNow is valid, sortedPart the one for which runsByEnd is sorted.
	usablePart, sortedPart int64
	usableNow              bool
	runsByEnd              []*run
	position               capacity.Position[*node]
	// ownerLag is the lag of the owner's loop, nil in tests without an owner.
	ownerLag *lag.Meter
	// free is the capacity less what is charged. setAside is the part of free that stages have set aside while their
	// permit requests are pending.
	free     job.Resources
	setAside job.Resources
	// reserved is the capacity that the current pass has reserved for gangs; reservedUntil is when the first of them is
	// expected to start.
	reserved      job.Resources
	reservedUntil time.Time
	// claimed is the capacity that the previous pass had reserved, until claimedUntil. More urgent stages use it only
	// if there is no other capacity.
	claimed      job.Resources
	claimedUntil time.Time
	runs         map[runKey]*run
	// unknownRuns is the number of runs on the worker that this term does not know. As their resources are unknown,
	// nothing new is placed on the worker while it has any.
	unknownRuns int
	// synced is true once the worker has answered a hold of this term. From then on it rejects older orders to start.
	synced bool
	// clock is the worker's clock at the local time clockAt, when its answer arrived.
	clock   time.Duration
	clockAt time.Time
	// lastAnswerAt is when a hold or probe was last answered.
	lastAnswerAt time.Time
	// noAnswerAt is when an order to the worker last got no answer. The worker gets nothing new until a hold or probe is
	// answered again. holdDue is when the pending hold should have been answered.
	noAnswerAt, holdDue time.Time
	// lastEndSeen is the highest number of an end that was processed, lastEndObserved the highest that is durable.
	lastEndSeen, lastEndObserved int64
	// unsaved is the number of entries with processed ends that are not durable yet.
	unsaved int
	// holding is true while a hold is pending; there is one at most. observeWait identifies the current wait for durable ends.
	holding     bool
	observeWait int
	// holdSentAt is when the latest hold was sent, probedAt when the worker was last probed in addition to a hold.
	holdSentAt, probedAt time.Time
	// misses is the number of consecutive holds without an answer, silentSince when the first of them failed.
	misses      int
	silentSince time.Time
	// replaced is true once another instance answers at the address and the runs are about to end.
	replaced bool
	// slowness is the level of the worker's learned factor (speed.Stats.Slowness), 0 while tasks are not placed by speed.
	slowness int
	// addedAt is when the term first knew of the worker.
	addedAt time.Time
	// formerRuns holds the runs that were on the worker when it fell silent, and have been ended or moved since.
	formerRuns []*run
	// exclusiveRuns is the number of runs beside which nothing may be placed.
	exclusiveRuns int
	// vacatedFor is the suspect for which the worker is kept from new runs until vacatedUntil.
	vacatedFor   *suspect
	vacatedUntil time.Time
	// leaseEnd is when everything on the worker has surely ended if the worker stays silent.
	leaseEnd time.Time
	// startsUntil is when the start orders that were sent to the worker can no longer arrive at another instance under its
	// ID, quietUntil when no call to an earlier instance can arrive at this one; it gets no new work before.
	startsUntil, quietUntil time.Time
	// removedAt is when the term has forgotten the instance.
	removedAt time.Time
	// unhealthyUntil is when the worker may get new work again after it declined an order or a run on it stalled.
	unhealthyUntil time.Time
	// draining is true while the worker's VM is prepared for maintenance; nothing new is placed there.
	draining bool
	// announced is what its entry shows of when it leaves.
	announced evacuation.Announcement
	health
}

// clockNow estimates the worker's clock. The estimate is early by the travel time of the last answer.
func (n *node) clockNow(now time.Time) time.Duration { return n.clock + now.Sub(n.clockAt) }

// lastTimeOf returns when the worker's clock has certainly passed a reading, whenever an order with it arrives.
func (n *node) lastTimeOf(reading time.Duration) time.Time {
	return n.clockAt.Add(presence.MaxSpan(reading - n.clock))
}

// usable reports whether new runs may be placed on the worker.
func (n *node) usable(now time.Time) bool {
	return n.listed && !n.unreadable && n.synced && !n.listing.Leaving && n.unknownRuns == 0 && n.misses == 0 &&
		now.After(n.unhealthyUntil) && now.After(n.quietUntil) && n.lastAnswerAt.After(n.noAnswerAt) && (!n.holding || now.Before(n.holdDue.Add(n.slack()))) &&
		!n.isQuarantined(now) && !n.draining
}

// slack returns how much the owner's own lag may delay an answer, or 0 without an owner.
func (n *node) slack() time.Duration {
	if n.ownerLag == nil {
		return 0
	}
	return n.ownerLag.Slack()
}

// usable returns n.usable, cached for each part of a pass.
func (t *term) usable(n *node, now time.Time) bool {
	if n.usablePart != t.pass.part {
		n.usablePart, n.usableNow = t.pass.part, n.usable(now)
	}
	return n.usableNow
}

// available returns the capacity that new runs may use: free, less what is set aside and reserved.
func (n *node) available() job.Resources { return n.free.Minus(n.setAside).Minus(n.reserved) }

// isOverfilledBy reports whether a charged run needs resources of which the worker has less than it is charged for, since
// its capacity has shrunk.
func (n *node) isOverfilledBy(r *run) bool {
	return n.free.Millicores < 0 && r.need.Millicores > 0 || n.free.MemoryMB < 0 && r.need.MemoryMB > 0 ||
		n.free.Accelerators < 0 && r.need.Accelerators > 0
}

// charge charges the resources of a run to the worker.
func (n *node) charge(r *run) {
	n.runs[runKey{r.task(), r.number}] = r
	if r.exclusive {
		n.exclusiveRuns++
	}
	n.free = n.free.Minus(r.need)
	n.sortedPart = 0
	n.updateIndex()
}

// release releases the resources of a run.
func (n *node) release(r *run) {
	delete(n.runs, runKey{r.task(), r.number})
	if r.exclusive {
		n.exclusiveRuns--
	}
	n.free = n.free.Plus(r.need)
	n.updateIndex()
}

// followWorkers follows the workers' entries.
func (t *term) followWorkers() {
	failing := false
	t.workerList = workerlist.New(workerlist.Options{
		Store: t.o.Store, Prefix: t.o.WorkersPrefix, Decode: t.o.DecodeWorker, Ahead: t.o.StoreAhead, Logger: t.log, Metrics: t.o.Metrics,
		OnReset:  func(present map[string]bool) { t.post(func() { t.dropUnlisted(present) }) },
		OnChange: func(entries []workerlist.Entry) { t.post(func() { t.changeWorkers(entries) }) },
		OnContact: func(err error) {
			if failing == (err != nil) {
				return
			}
			failing = err != nil
			since := time.Time{}
			if failing {
				since = time.Now()
			}
			t.post(func() { t.workersUnreadSince = since })
		},
	})
	t.wg.Go(func() { t.workerList.Run(t.ctx) })
}

const (
	// workersUnreadGrace is how long the workers' entries may be unreadable before nothing new is started: time for reading
	// them again after a watch has ended.
	workersUnreadGrace = 500 * time.Millisecond
	// listAgeDivisor divides the time within which a leaving worker must get nothing new: for that part of it the list may be
	// behind the store. The rest is for an order to be decided, made durable and sent.
	listAgeDivisor = 2
)

// isWorkerListStale reports whether the capacities of the workers may have changed unnoticed, or a worker may have been
// leaving for too long.
func (t *term) isWorkerListStale(now time.Time) bool {
	return !t.workersUnreadSince.IsZero() && now.Sub(t.workersUnreadSince) > workersUnreadGrace || t.listBehind > t.o.DrainWithin/listAgeDivisor
}

// observeWorkerList reads how far the list of workers is behind the store.
func (t *term) observeWorkerList() {
	before := t.listBehind
	t.listBehind = t.workerList.Behind()
	if limit := t.o.DrainWithin / listAgeDivisor; (before > limit) != (t.listBehind > limit) {
		t.log.Warn("dispatch: starts wait for the list of workers, or go on", zap.Duration("behind", t.listBehind), zap.Duration("limit", limit))
	}
}

// dropUnlisted removes the workers that a complete list does not show.
func (t *term) dropUnlisted(present map[string]bool) {
	for id, n := range t.nodes {
		if n.listed && !present[id] {
			t.onUnlisted(n)
		}
	}
	maps.DeleteFunc(t.unreadable, func(id string, _ bool) bool { return !present[id] })
}

func (t *term) changeWorkers(entries []workerlist.Entry) {
	for i := range entries {
		e := &entries[i]
		if !e.Removed {
			t.onListing(e)
			continue
		}
		delete(t.unreadable, e.ID)
		if n := t.nodes[e.ID]; n != nil {
			t.onUnlisted(n)
			t.checkDeparture(n)
		}
	}
}

// onListing processes an entry of a worker, which another writer may have written. If it cannot be decoded, nothing new
// starts on the worker; its runs, its lease and the ends that it lists stay valid, as they do not depend on the entry.
// This is logged once, not for each write of the entry.
func (t *term) onListing(e *workerlist.Entry) {
	n, l := t.nodes[e.ID], e.Worker
	if e.Err != nil {
		if !t.unreadable[e.ID] {
			t.log.Warn("dispatch: worker's entry cannot be read", zap.String("key", e.Key), zap.Bool("known", n != nil), zap.Error(e.Err))
		}
		t.unreadable[e.ID] = true
		if n != nil {
			n.unreadable = true
		}
		return
	}
	if t.unreadable[e.ID] {
		t.log.Info("dispatch: worker's entry can be read again", zap.String("key", e.Key))
		delete(t.unreadable, e.ID)
	}
	l.Born = t.knownBorn(l.Born)
	if known := cmp.Or(n, t.forgotten[e.ID]); known != nil {
		switch presence.Compare(known.born, l.Born) {
		case presence.Earlier:
			return
		case presence.Newer:
			t.replaceNode(known, l, true, "entry")
		case presence.Same:
		}
	}
	t.updateListing(l)
	t.nodes[l.ID].unreadable = false
}

// checkDeparture ends the runs of a worker whose entry was removed if it has left and does not answer any more. Otherwise
// its last tasks would wait for the end of a lease that nobody holds.
func (t *term) checkDeparture(n *node) {
	d := presence.Departure{
		Leaving: n.listing.Leaving, TimeLeft: n.listing.TimeLeft, Written: n.listing.Clock, Removed: n.clockNow(time.Now()), Contact: t.o.StoreContact(),
	}
	t.log.Info("dispatch: worker's entry removed", zap.String("worker", n.id), zap.Inline(d))
	if _, ok := d.Left(); ok && !n.isRemoved(t) {
		t.probeRuns(n, holdTimeoutSlack+relaySlack+t.lag.Slack(), func(err error) {
			d.Answered = isDefinite(err)
			if proof, ok := d.Left(); ok && !n.listed && !n.isRemoved(t) {
				t.endAllRuns(n, proof)
			}
		})
	}
}

// nodeFor returns the node with that ID, and adds one that is not listed if there is none.
func (t *term) nodeFor(id string) *node {
	n := t.nodes[id]
	if n == nil {
		n = &node{id: id, addedAt: time.Now(), runs: make(map[runKey]*run), holdOrders: make(chan holdOrder, 1), wake: make(chan struct{}, 1)}
		if f := t.forgotten[id]; f != nil {
			n.born = f.born
		}
		t.addNode(n)
	}
	return n
}

func (t *term) addNode(n *node) {
	t.nodes[n.id] = n
	n.position.Attach(&t.capacity, n)
	n.ownerLag = &t.lag
	n.updateIndex()
	at, _ := t.searchNodes(n)
	t.sortedNodes = slices.Insert(t.sortedNodes, at, n)
	t.nodesVersion++
}

// removeNode removes a node. A hold in flight goes on, as it may still return ends, but none is sent any more.
func (t *term) removeNode(n *node) {
	if n.stop != nil && (!n.holding || time.Now().Before(n.holdSentAt)) {
		n.stop()
	}
	n.agent.Release()
	t.speeds.Forget(n.id)
	n.removedAt = time.Now()
	delete(t.nodes, n.id)
	n.position.Detach()
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
			zap.Bool("leaving", l.Leaving), zap.Duration("timeLeft", l.TimeLeft), zap.Strings("labels", l.Labels), zap.String("rack", l.Rack), zap.Duration("listBehind", t.listBehind))
	}
	if n.listing.Has != l.Has {
		t.nodesVersion++
	}
	n.announced.Update(l.Leaving && t.o.Features.Enabled(feature.Notice, true), l.TimeLeft, l.Clock, time.Now())
	n.free = n.free.Plus(l.Has).Minus(n.listing.Has)
	n.listing, n.listed, n.born = l, true, max(n.born, l.Born)
	n.updateIndex()
	if n.agent == nil {
		t.startHolds(n)
		t.resolveSilentLosses(n)
	}
	t.passNeeded = true
}

// onUnlisted processes the removal of the worker's entry. Its runs continue as long as the worker answers.
func (t *term) onUnlisted(n *node) {
	n.listed = false
	t.unlistedAt = time.Now()
	t.log.Info("dispatch: worker no longer listed", zap.String("worker", n.id), zap.Int("runs", len(n.runs)))
	t.forgetIfIdle(n)
}

// forgetIfIdle removes a worker that is not listed and has no runs. It keeps a worker with ends that are not durable
// yet. If the entry of such a worker came back, the worker would be added as a new one, list these ends again, and be
// told that they were observed, since the new node has no pending save. It also keeps a worker that may carry out a start
// late, to see and stop it.
func (t *term) forgetIfIdle(n *node) {
	if n.listed || len(n.runs) > 0 || n.unsaved > 0 || len(n.formerRuns) > 0 || n.isRemoved(t) || time.Now().Before(n.startsUntil) {
		return
	}
	t.removeNode(n)
	maps.DeleteFunc(t.forgotten, func(_ string, o *node) bool { return time.Since(o.removedAt) > presence.LateCallWindow })
	t.forgotten[n.id] = n
}
