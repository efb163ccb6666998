package owner

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// cutOffCheckInterval is how often a VM that the store does not answer asks VMs of other availability zones, and
	// cutOffAfter for how long the store must not have answered before.
	cutOffCheckInterval = 250 * time.Millisecond
	cutOffAfter         = 300 * time.Millisecond
	// cutOffAsks is how many VMs of other zones are asked. If one of them answers, this VM is not cut off.
	cutOffAsks = 6
)

// IsCutOff reports whether neither the store nor any VM of another availability zone answers this VM.
//
// It answers an availability zone that is cut off from the others: its VMs can neither store work nor pass it on, and would
// refuse all callers for as long as that lasts, while other zones could serve them. While the store is silent for all, the
// VMs still reach each other, and none is cut off.
func (g *Group) IsCutOff() bool { return g.cutOff.Load() }

// cutOffLoop keeps IsCutOff up to date.
func (g *Group) cutOffLoop() {
	tick := time.NewTicker(cutOffCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-tick.C:
		}
		since, failing := g.storeFailing()
		cutOff := failing && time.Since(since) >= cutOffAfter && g.isAlone()
		if g.cutOff.Swap(cutOff) != cutOff {
			g.log.Warn("owner: this VM was cut off, or is not any more", zap.Bool("cutOff", cutOff))
		}
	}
}

// isAlone asks some VMs of other availability zones and reports whether none of them answers. It is false if none is known.
// It asks its peers: while the store is silent for all VMs of a large cell, the candidates, which all of them know, would
// have to answer most of the questions.
func (g *Group) isAlone() bool {
	var others []Node
	for _, n := range g.Peers() {
		if n.Zone != g.self.Zone {
			others = append(others, n)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), cutOffAsks)]
	answers := make(chan bool, len(others))
	for i := range others {
		go func() {
			client := g.client(others[i].Address)
			defer client.Close()
			_, err := ping(g.ctx, client, pingTimeout)
			answers <- err == nil
		}()
	}
	for range others {
		if <-answers {
			return false
		}
	}
	return len(others) > 0
}
