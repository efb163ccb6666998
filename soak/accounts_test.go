package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"turmericgap/job"
	"turmericgap/platform"
)

const (
	// keyGrace is how long after a change of the keys a VM may still handle a call as before: the bound of 3 s, and the
	// longest disturbance, which several VMs may suffer at once, with the time until they are back in contact.
	keyGrace = 11 * time.Second
	// capGrace is how long after a cap was lowered starts under the former one may still arrive.
	capGrace = 8 * time.Second
	// capOverrun is the fraction by which an account may exceed its cap.
	capOverrun = 0.1
	// floodRate is how many works per second a flooding account submits in addition to its usual ones, burstRate how many
	// during a burst, which lasts for burstDuration.
	floodRate     = 20
	burstRate     = 60
	burstDuration = 500 * time.Millisecond
	// firstCapMillicores is the cap of the capped account at the start, loweredCapMillicores the lowest later one.
	firstCapMillicores, loweredCapMillicores = 16000, 4000
)

// accountBook holds the client accounts of a cell with their keys and caps over time.
type accountBook struct {
	mu       sync.Mutex
	version  int64
	accounts []*accountState
}

type accountState struct {
	job.Account
	keys []*keyState
	// caps holds all caps with the times at which they came into force, oldest first.
	caps []capState
}

// keyState is an API key. It is valid from addedAt, unless it was removed.
type keyState struct {
	value              string
	addedAt, removedAt time.Time
}

type capState struct {
	limit job.Resources
	since time.Time
}

// newAccountBook returns two accounts without a cap and one with a cap, with two keys each.
func newAccountBook(seed uint64) *accountBook {
	b := &accountBook{version: 1}
	for i, name := range []string{"kochi", "kollam", "alappuzha"} {
		a := &accountState{Account: job.Account{Name: name, Weight: 30}}
		limit := job.Resources{}
		if i == 2 {
			limit.Millicores = firstCapMillicores
		}
		a.caps = []capState{{limit, time.Now()}}
		for k := range 2 {
			a.keys = append(a.keys, &keyState{value: fmt.Sprintf("key-%d-%s-%d", seed, name, k), addedAt: time.Now().Add(-time.Hour)})
		}
		b.accounts = append(b.accounts, a)
	}
	return b
}

// config returns the accounts and their valid keys by name.
func (b *accountBook) config() (accounts []job.Account, keys map[string][]string) {
	keys = make(map[string][]string)
	for _, a := range b.accounts {
		account := a.Account
		account.Cap = a.caps[len(a.caps)-1].limit
		accounts = append(accounts, account)
		keys[a.Name] = []string{}
		for _, k := range a.keys {
			if k.isValid() {
				keys[a.Name] = append(keys[a.Name], k.value)
			}
		}
	}
	return accounts, keys
}

func (k *keyState) isValid() bool { return k.removedAt.IsZero() }

// highestCap returns the highest cap of an account that may be in force; zero resources are not limited.
func (b *accountBook) highestCap(name string) job.Resources {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.accounts {
		if a.Name != name {
			continue
		}
		highest := a.caps[len(a.caps)-1].limit
		for i := len(a.caps) - 2; i >= 0 && time.Since(a.caps[i+1].since) < capGrace; i-- {
			if a.caps[i].limit.Millicores == 0 {
				return job.Resources{}
			}
			if highest.Millicores > 0 {
				highest = highest.Max(a.caps[i].limit)
			}
		}
		return highest
	}
	return job.Resources{}
}

// accountOf returns the account of a work, by its ID, so that the works of a seed do not depend on the accounts.
func (b *accountBook) accountOf(id string) *accountState {
	return b.accounts[hashOf("account", id)%uint32(len(b.accounts))]
}

// credential is a key with what its holder may expect of a call that is sent now.
type credential struct {
	key string
	// mustServe is set if the key has been valid for longer than keyGrace, mustDeny if it has been invalid for longer or
	// never was valid.
	mustServe, mustDeny bool
	state               *keyState
}

// keyFor returns a key for a call: mostly a valid one, sometimes one that was removed or never existed.
func (b *accountBook) keyFor(a *accountState, r *rand.Rand) credential {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.IntN(20) == 0 {
		return credential{key: fmt.Sprintf("never-%x", r.Uint64()), mustDeny: true}
	}
	wantRemoved := r.IntN(10) == 0
	for _, i := range r.Perm(len(a.keys)) {
		k := a.keys[i]
		if k.isValid() == wantRemoved {
			continue
		}
		return credential{
			key: k.value, state: k,
			mustServe: k.isValid() && time.Since(k.addedAt) > keyGrace,
			mustDeny:  !k.isValid() && time.Since(k.removedAt) > keyGrace,
		}
	}
	return credential{key: fmt.Sprintf("never-%x", r.Uint64()), mustDeny: true}
}

// checkAnswer records a finding if a call was answered against what its key allows.
func (c *Cell) checkAnswer(cred *credential, id string, err error) {
	denied := errors.Is(err, platform.ErrDenied)
	c.accounts.mu.Lock()
	mustServe := cred.mustServe && cred.state.isValid() // it was not removed while the call was under way
	c.accounts.mu.Unlock()
	switch {
	case denied && mustServe:
		c.addFinding(fmt.Sprintf("%s: a valid key was refused", id))
	case err == nil && cred.mustDeny:
		c.addFinding(fmt.Sprintf("%s: a key was served that never was valid, or has not been valid for %v", id, keyGrace))
	}
}

// removeKeys removes one key, or all keys of an account, and returns a function that gives them back.
func (p *faultPlan) removeKeys(all bool) func() {
	b := p.cell.accounts
	b.mu.Lock()
	a := b.accounts[p.rand.IntN(len(b.accounts))]
	var removed []*keyState
	for _, i := range p.rand.Perm(len(a.keys)) {
		if a.keys[i].isValid() && (all || len(removed) == 0) {
			a.keys[i].removedAt = time.Now()
			removed = append(removed, a.keys[i])
		}
	}
	b.mu.Unlock()
	p.cell.addError(p.cell.reconfigure())
	return func() {
		b.mu.Lock()
		for _, k := range removed {
			k.removedAt, k.addedAt = time.Time{}, time.Now()
		}
		b.mu.Unlock()
		p.cell.addError(p.cell.reconfigure())
	}
}

// replaceKey removes the oldest key of an account for good and adds a new one.
func (p *faultPlan) replaceKey() {
	b := p.cell.accounts
	b.mu.Lock()
	a := b.accounts[p.rand.IntN(len(b.accounts))]
	a.keys[0].removedAt = time.Now()
	a.keys = append(slices.Clip(a.keys), &keyState{value: fmt.Sprintf("key-%x", p.rand.Uint64()), addedAt: time.Now()})
	b.mu.Unlock()
	p.cell.addError(p.cell.reconfigure())
}

// lowerCap lowers the cap of the capped account far below its usual use, and returns a function that raises it again.
func (p *faultPlan) lowerCap() func() {
	set := func(millicores int64) {
		b := p.cell.accounts
		b.mu.Lock()
		a := b.accounts[len(b.accounts)-1]
		a.caps = append(a.caps, capState{job.Resources{Millicores: millicores}, time.Now()})
		b.mu.Unlock()
		p.cell.addError(p.cell.reconfigure())
	}
	set(loweredCapMillicores)
	return func() { set(firstCapMillicores) }
}

// flood lets one account submit many more works for a time.
func (p *faultPlan) flood(rate int, d time.Duration) {
	c := p.cell
	r := rand.New(rand.NewPCG(p.rand.Uint64(), 0))
	name := c.accounts.accounts[p.rand.IntN(len(c.accounts.accounts))].Name
	p.wg.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
			w := c.newWork(r, -2)
			for c.accounts.accountOf(w.ID).Name != name {
				w = c.newWork(r, -2)
			}
			c.callers.submitOne(w, r)
		}
	})
}

// accountFaults are the faults of cells with accounts, in addition to the others.
var accountFaults = []fault{
	{"a key is removed", func(p *faultPlan, _ time.Duration) func() { return p.removeKeys(false) }},
	{"an account loses its keys", func(p *faultPlan, _ time.Duration) func() { return p.removeKeys(true) }},
	{"a key is replaced", func(p *faultPlan, _ time.Duration) func() {
		p.replaceKey()
		return nil
	}},
	{"a cap is lowered", func(p *faultPlan, _ time.Duration) func() { return p.lowerCap() }},
	{"an account floods the cell", func(p *faultPlan, d time.Duration) func() {
		p.flood(floodRate, d)
		return nil
	}},
	{"half of the VMs are cut off from the store", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(len(p.cell.vms)/2, Blackholing) }},
	{"the store resets half of the VMs", func(p *faultPlan, _ time.Duration) func() { return p.storeProxies(len(p.cell.vms)/2, Resetting) }},
}
