package gate

import (
	"sync"
	"time"
)

const (
	drainRetryAfter   = time.Second
	fullRetryAfter    = time.Second
	drainPollInterval = 10 * time.Millisecond
)

// inProgress counts what is in progress, so that a planned stop can finish it.
type inProgress struct {
	mu      sync.Mutex
	checks  int
	streams int
	// bodyBytes is what the bodies of requests in progress may take up.
	bodyBytes int64
	draining  bool
	// moveStreams is closed when streams are asked to go on at another gate.
	moveStreams chan struct{}
}

// admitCheck admits one check, or gives the reason against it.
func (w *inProgress) admitCheck(limit int) *Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return notRun("gate is stopping", drainRetryAfter)
	}
	if w.checks+w.streams >= limit {
		return limitExceeded("gate is full", fullRetryAfter)
	}
	w.checks++
	return nil
}

func (w *inProgress) checkDone() {
	w.mu.Lock()
	w.checks--
	w.mu.Unlock()
}

// admitStream admits one stream, or gives the reason against it.
func (w *inProgress) admitStream(l *Limits) *Result {
	if r := w.admitCheck(l.Checks); r != nil {
		return r
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks--
	if w.streams >= l.Streams {
		return limitExceeded("gate has too many streams", fullRetryAfter)
	}
	w.streams++
	return nil
}

// reserveBody admits the body of a request before it is read. Without a bound on their sum, callers with
// large bodies could take all memory long before they are too many.
func (w *inProgress) reserveBody(n, limit int64) *Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bodyBytes+n > limit {
		return limitExceeded("gate holds too many bodies", fullRetryAfter)
	}
	w.bodyBytes += n
	return nil
}

func (w *inProgress) releaseBody(n int64) {
	w.mu.Lock()
	w.bodyBytes -= n
	w.mu.Unlock()
}

func (w *inProgress) streamDone() {
	w.mu.Lock()
	w.streams--
	w.mu.Unlock()
}

func (w *inProgress) streamCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streams
}

func (w *inProgress) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checks + w.streams
}

func (w *inProgress) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// Drain refuses new requests at once, and returns when those in progress have ended and streams
// have ended or moved, at the deadline at the latest. It gives the number of requests left.
func (g *Gate) Drain(deadline time.Time) int {
	g.inProgress.mu.Lock()
	if !g.inProgress.draining {
		g.inProgress.draining = true
		close(g.inProgress.moveStreams)
	}
	g.inProgress.mu.Unlock()
	for g.inProgress.count() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	left := g.inProgress.count()
	if left == 0 && g.shares.Leave(time.Now()) {
		g.announceLeave()
	}
	return left
}
