package gate

import (
	"sync"
	"time"
)

const (
	drainRetryAfter = time.Second
	fullRetryAfter  = time.Second
	drainPoll       = 10 * time.Millisecond
)

// work counts what is in progress, so that a planned stop can finish it.
type work struct {
	mu      sync.Mutex
	checks  int
	streams int
	// bytes is what the bodies of requests in progress may take up.
	bytes    int64
	draining bool
	// moving is closed when streams are asked to go on at another gate.
	moving chan struct{}
}

// enter admits one check, or gives the reason against it.
func (w *work) enter(limit int) *Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return notRun("gate is stopping", drainRetryAfter)
	}
	if w.checks+w.streams >= limit {
		return limited("gate is full", fullRetryAfter)
	}
	w.checks++
	return nil
}

func (w *work) leave() {
	w.mu.Lock()
	w.checks--
	w.mu.Unlock()
}

// enterStream admits one stream, or gives the reason against it.
func (w *work) enterStream(l *Limits) *Result {
	if r := w.enter(l.Checks); r != nil {
		return r
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks--
	if w.streams >= l.Streams {
		return limited("gate has too many streams", fullRetryAfter)
	}
	w.streams++
	return nil
}

// hold admits the body of a request before it is read. Without a bound on their sum, callers with
// large bodies could take all memory long before they are too many.
func (w *work) hold(n, limit int64) *Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bytes+n > limit {
		return limited("gate holds too many bodies", fullRetryAfter)
	}
	w.bytes += n
	return nil
}

func (w *work) drop(n int64) {
	w.mu.Lock()
	w.bytes -= n
	w.mu.Unlock()
}

func (w *work) leaveStream() {
	w.mu.Lock()
	w.streams--
	w.mu.Unlock()
}

func (w *work) openStreams() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.streams
}

func (w *work) left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checks + w.streams
}

func (w *work) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// Drain refuses new requests at once, and returns when those in progress have ended and streams
// have ended or moved, at the deadline at the latest. It gives the number of requests left.
func (g *Gate) Drain(deadline time.Time) int {
	g.work.mu.Lock()
	if !g.work.draining {
		g.work.draining = true
		close(g.work.moving)
	}
	g.work.mu.Unlock()
	for g.work.left() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
	left := g.work.left()
	if left == 0 && g.shares.Leave(time.Now()) {
		g.sayLeft()
	}
	return left
}
