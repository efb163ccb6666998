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

// inProgress counts requests in progress, so that a graceful stop can wait for them.
type inProgress struct {
	mu      sync.Mutex
	checks  int
	streams int
	// bodyBytes is the memory reserved for request bodies.
	bodyBytes int64
	draining  bool
	// moveStreams is closed to ask streams to continue at another gate.
	moveStreams chan struct{}
}

// admitCheck admits one check, or returns the result that rejects it.
func (p *inProgress) admitCheck(limit int) *Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return notRun("gate is stopping", drainRetryAfter)
	}
	if p.checks+p.streams >= limit {
		return limitExceeded("gate is full", fullRetryAfter)
	}
	p.checks++
	return nil
}

func (p *inProgress) checkDone() {
	p.mu.Lock()
	p.checks--
	p.mu.Unlock()
}

// admitStream admits one stream, or returns the result that rejects it.
func (p *inProgress) admitStream(l *Limits) *Result {
	if r := p.admitCheck(l.Checks); r != nil {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checks--
	if p.streams >= l.Streams {
		return limitExceeded("gate has too many streams", fullRetryAfter)
	}
	p.streams++
	return nil
}

// admitBody rejects a request whose body finds no memory beside those of the checks in progress.
func (p *inProgress) admitBody(n, limit int64) *Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bodyBytes+n > limit {
		return limitExceeded("gate holds too many bodies", fullRetryAfter)
	}
	return nil
}

// reserveBody reserves memory for a request body that has been read. Without a limit on the total,
// callers with large bodies could exhaust memory long before the limit on checks is reached.
func (p *inProgress) reserveBody(n, limit int64) *Result {
	if r := p.admitBody(n, limit); r != nil {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodyBytes += n
	return nil
}

func (p *inProgress) releaseBody(n int64) {
	p.mu.Lock()
	p.bodyBytes -= n
	p.mu.Unlock()
}

func (p *inProgress) streamDone() {
	p.mu.Lock()
	p.streams--
	p.mu.Unlock()
}

func (p *inProgress) streamCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams
}

func (p *inProgress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checks + p.streams
}

func (p *inProgress) isDraining() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.draining
}

// Drain rejects new requests and waits until those in progress have ended and streams have ended or
// moved, but no longer than the deadline. It returns the number of requests left.
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
