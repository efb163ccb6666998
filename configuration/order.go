package configuration

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// pollWidth is how many VMs a poll asks. Most of them may not know more, as the store does not answer them either.
	pollWidth = 4
	// servedWidth is how many of them are VMs that the store answered lately. The others are asked in turn, so that VMs that
	// do not know more are not asked again and again.
	servedWidth = pollWidth / 2
)

// peerOrder chooses the VMs to poll.
type peerOrder struct {
	mu sync.Mutex
	// servedAt holds when a VM last answered that the store answers it.
	servedAt map[string]time.Time
	// turn holds the VMs that were not asked in this turn.
	turn []string
}

// next returns up to pollWidth of the listed VMs: first those that the store has answered since a time, the most recent ones
// first, then the others in turn.
func (o *peerOrder) next(listed []string, since time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.servedAt, func(address string, _ time.Time) bool { return !slices.Contains(listed, address) })
	var out []string
	for _, address := range listed {
		if o.servedAt[address].After(since) {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(o.servedAt[b].Compare(o.servedAt[a]), cmp.Compare(a, b))
	})
	out = out[:min(len(out), servedWidth)]
	o.turn = slices.DeleteFunc(o.turn, func(address string) bool { return !slices.Contains(listed, address) })
	refilled := false
	for len(out) < min(pollWidth, len(listed)) {
		if len(o.turn) == 0 {
			if refilled {
				break
			}
			refilled = true
			o.turn = slices.Clone(listed)
			rand.Shuffle(len(o.turn), func(i, j int) { o.turn[i], o.turn[j] = o.turn[j], o.turn[i] })
		}
		if address := o.turn[0]; !slices.Contains(out, address) {
			out = append(out, address)
		}
		o.turn = o.turn[1:]
	}
	return out
}

// record records the answer of a VM, or that it did not answer.
func (o *peerOrder) record(address string, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !served {
		delete(o.servedAt, address)
		return
	}
	if o.servedAt == nil {
		o.servedAt = make(map[string]time.Time)
	}
	o.servedAt[address] = time.Now()
}

// successors returns up to n of the others, at equal distances behind self in the ring of all addresses. So each VM is
// among the successors of n others.
func successors(self string, others []string, n int) []string {
	ring := slices.Sorted(slices.Values(append(slices.Clone(others), self)))
	at := slices.Index(ring, self)
	n = min(n, len(others))
	out := make([]string, 0, n)
	for k := range n {
		out = append(out, ring[(at+1+k*len(others)/n)%len(ring)])
	}
	return out
}
