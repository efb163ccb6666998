package configuration

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"turmericgap/account"
)

const (
	// The time within which a version must be in force is divided: after a quarter of it without an answer the store
	// counts as silent, and there is a poll of other VMs in each eighth. This leaves time for several polls, and is longer
	// than the interval at which an entry VM renews its lease.
	silenceDivisor      = 4
	pollIntervalDivisor = 8
	// announceDelayDivisor divides the same time: within that part of it a new version is announced to other VMs.
	announceDelayDivisor = 8
	// announceWidth is how many VMs are told of a new version.
	announceWidth = 3
	// maxHints limits the VMs that wait to be asked because they have a newer version.
	maxHints = 4
	// peerTimeout limits a question to another VM, which answers from memory.
	peerTimeout = 300 * time.Millisecond
)

// PeerRequest asks another VM for newer documents than those that the caller knows.
type PeerRequest struct {
	KnownVersion int64 `msgpack:"k"`
	KnownRules   int64 `msgpack:"u,omitempty"`
	// VersionOnly asks for the version of a newer configuration without its document.
	VersionOnly bool `msgpack:"o,omitempty"`
	// Part asks for one part of a newer configuration's document: the one that begins at Offset if its version is PartOf,
	// otherwise the first one.
	Part   bool  `msgpack:"p,omitempty"`
	PartOf int64 `msgpack:"v,omitempty"`
	Offset int   `msgpack:"i,omitempty"`
	// From is the address of the caller for other VMs.
	From string `msgpack:"f,omitempty"`
}

// PeerReply is what another VM answers about its configuration.
type PeerReply struct {
	// Document is empty if the caller's version is at least as new. It has no content if only the version or a part was
	// asked for.
	Document
	// Part is a compressed part of the document, which has Size bytes before compression. It begins at Offset.
	Part   []byte `msgpack:"p,omitempty"`
	Size   int    `msgpack:"n,omitempty"`
	Offset int    `msgpack:"i,omitempty"`
	// Confirmed is set if the VM's version is at least the caller's; Age is how long ago the VM confirmed it.
	Confirmed bool          `msgpack:"c,omitempty"`
	Age       time.Duration `msgpack:"a,omitempty"`
	// Served is set if the store answers the VM.
	Served bool `msgpack:"s,omitempty"`
	// KnownFor is how long ago the first VM on the way of the document received it from the store.
	KnownFor time.Duration `msgpack:"k,omitempty"`
	// Rules is the stored document of the operators' rules, empty if the caller's rules are at least as new.
	Rules []byte `msgpack:"u,omitempty"`
}

// Reply answers another VM. If that VM has a newer version, it is asked for it.
func (w *Watcher) Reply(req *PeerRequest) *PeerReply {
	r := w.replyWithDocument(req)
	if doc := r.Document; len(doc.Raw) > 0 && (req.VersionOnly || req.Part) {
		r.Raw = nil
		if req.Part {
			w.setPart(r, &doc, req)
		}
	}
	return r
}

func (w *Watcher) replyWithDocument(req *PeerRequest) *PeerReply {
	r := &PeerReply{Served: !w.isStoreSilent(), Rules: w.rules.newerThan(req.KnownRules)}
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.KnownVersion > w.doc.Version {
		select {
		case w.hints <- req.From:
		default: // enough others are known to have a newer version
		}
		return r
	}
	if w.confirmedAt.IsZero() {
		return r
	}
	r.Confirmed, r.Age = true, time.Since(w.confirmedAt)
	if w.doc.Version > req.KnownVersion {
		r.Document, r.KnownFor = w.doc, time.Since(w.firstKnown)
	}
	return r
}

// pollPeers polls other VMs for a newer document while the store does not answer this VM.
func (w *Watcher) pollPeers(ctx context.Context) {
	ticker := time.NewTicker(w.within / pollIntervalDivisor)
	defer ticker.Stop()
	polling := false
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if sinceLast := time.Since(last); sinceLast > w.within/silenceDivisor {
			w.metrics.Counter("configuration.stalls").Inc(1)
			w.log.Warn("configuration: process stood still", zap.Duration("sinceLastPoll", sinceLast))
		}
		silent := w.isStoreSilent()
		if silent != polling {
			polling = silent
			w.log.Info("configuration: polling of other VMs started or stopped", zap.Bool("polling", polling),
				zap.Int64("version", w.Document().Version), zap.Duration("storeSilent", time.Since(w.storeLastAnswer())), zap.Bool("declined", w.declined.Load()))
		}
		if polling {
			w.poll(ctx)
		}
	}
}

// isStoreSilent reports whether the store declines the calls of this VM or has not answered one for a while.
func (w *Watcher) isStoreSilent() bool {
	return w.declined.Load() || time.Since(w.storeLastAnswer()) >= w.within/silenceDivisor
}

// announceVersions tells some of the other VMs of each new version, by asking them for a newer one. A VM whose watch of the
// store has fallen silent does not notice that in time.
func (w *Watcher) announceVersions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.applied:
		}
		// Most VMs have received the version from the store when the delay has passed, and do not ask for it.
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(w.within / announceDelayDivisor)):
		}
		for _, address := range successors(w.self, w.listPeers(), announceWidth) {
			w.metrics.Counter("configuration.announcements").Inc(1)
			go w.pollOne(ctx, address)
		}
	}
}

// followHints asks the VMs that have shown a newer version. Addresses that are not listed are ignored where all VMs are
// listed.
func (w *Watcher) followHints(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-w.hints:
			if w.listsPart() || slices.Contains(w.listPeers(), address) {
				w.pollOne(ctx, address)
			}
		}
	}
}

// poll asks some of the other VMs for a newer document, and does not wait for them. The channel receives the result of
// each and is closed after the last one.
func (w *Watcher) poll(ctx context.Context) <-chan pollResult {
	addresses := w.order.next(w.listPeers(), time.Now().Add(-w.within))
	results := make(chan pollResult, len(addresses))
	w.metrics.Counter("configuration.polls").Inc(1)
	var asked sync.WaitGroup
	for _, address := range addresses {
		asked.Go(func() { results <- w.pollOne(ctx, address) })
	}
	go func() {
		asked.Wait()
		close(results)
	}()
	return results
}

// pollResult is what one VM has answered to a poll.
type pollResult string

const (
	pollFailed pollResult = "failed"
	// pollBusy means that the VM has a newer version, but that documents of other VMs took too long, or that it has sent
	// parts of its document and left the rest to others.
	pollBusy pollResult = "busy"
	// pollOlder means that the VM's version is older or that it has none.
	pollOlder pollResult = "older"
	// pollStale means that the VM has confirmed the version too long ago for a key to be rejected by it.
	pollStale     pollResult = "stale"
	pollConfirmed pollResult = "confirmed"
	pollNewer     pollResult = "newer"
	// pollHasNewer means that the VM has a newer version than this one.
	pollHasNewer pollResult = "hasNewer"
)

// pollOne asks one VM for its version, and for the document if the version is newer.
func (w *Watcher) pollOne(ctx context.Context, address string) pollResult {
	sent, known := time.Now(), w.Document().Version
	result := w.askVersion(ctx, address)
	if result == pollHasNewer {
		result = w.transfer(ctx, address, known)
	}
	w.metrics.Counter("configuration.polls." + string(result)).Inc(1)
	w.log.Debug("configuration: other VM polled", zap.String("address", address), zap.String("result", string(result)),
		zap.Duration("took", time.Since(sent)))
	return result
}

// askVersion asks another VM for its version.
func (w *Watcher) askVersion(ctx context.Context, address string) pollResult {
	sent, req := time.Now(), PeerRequest{VersionOnly: true}
	reply, err := w.call(ctx, address, peerTimeout, &req)
	if err != nil {
		return pollFailed
	}
	return w.applyReply(address, req.KnownVersion, sent, reply)
}

// call sends a request to another VM, with what this VM knows.
func (w *Watcher) call(ctx context.Context, address string, timeout time.Duration, req *PeerRequest) (*PeerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req.KnownVersion, req.KnownRules, req.From = w.Document().Version, w.rules.versionInForce(), w.self
	reply, err := w.ask(ctx, address, req)
	w.order.record(address, err == nil && reply.Served)
	if err != nil {
		w.log.Debug("configuration: other VM does not answer", zap.String("address", address), zap.Error(err))
		return nil, err
	}
	if len(reply.Rules) > 0 {
		w.rules.Apply(reply.Rules)
	}
	return reply, nil
}

func (w *Watcher) applyReply(address string, known int64, sent time.Time, reply *PeerReply) pollResult {
	if len(reply.Raw) > 0 && reply.Version > w.Document().Version {
		w.Apply(reply.Raw, address, sent.Add(-reply.KnownFor))
	}
	version := w.Document().Version
	switch {
	case !reply.Confirmed:
		return pollOlder
	case version < max(reply.Version, known):
		if len(reply.Raw) > 0 {
			return pollOlder // the document cannot be decoded
		}
		return pollHasNewer
	}
	w.confirm(sent.Add(-reply.Age))
	switch {
	case version > known:
		return pollNewer
	case reply.Age > account.ConfirmedWithin:
		return pollStale
	}
	return pollConfirmed
}
