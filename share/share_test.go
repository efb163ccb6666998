package share

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The properties run from a fixed seed, so that a verdict does not change from run to run. This one once failed.
func init() { _ = flag.Set("rapid.seed", "17184353011144794677") }

const (
	leaseTime  = time.Second
	maxRequest = 3 * time.Second
	loanLife   = 3 * time.Second
	loanDrift  = 300 * time.Millisecond
	settleTime = 4 * time.Second
	pauseStep  = 100 * time.Millisecond
	worldSteps = 3000
	worlds     = 100
)

var worldTargets = []Target{{"a", 1}, {"b", 5}, {"c", 8}}

// plant is a fault put into every gate of a world.
type plant struct {
	greedy    bool // takes its new share at once
	hasty     bool // does not wait for the requests of removed gates
	forgetful bool // forgets what it lent
}

type sim struct {
	holder *Allocator
	valid  time.Time
	frozen time.Time
	joined int64
	dead   bool
}

type flight struct {
	gate   *sim
	slot   *Slot
	target string
	end    time.Time
}

// world is a zone: its gates, their table with its history, and messages that are late or lost.
type world struct {
	draw    func(n int) int
	plant   plant
	now     time.Time
	gates   map[string]*sim
	born    int
	tables  []Table
	flights []flight
	mail    []func()
	served  int
}

func newWorld(draw func(int) int, p plant) *world {
	return &world{draw: draw, plant: p, now: time.Unix(1000, 0), gates: make(map[string]*sim), tables: []Table{{}}}
}

func (w *world) table() Table { return w.tables[len(w.tables)-1] }

func (w *world) change(gates []string) {
	w.tables = append(w.tables, Table{Version: w.table().Version + 1, Gates: gates})
}

// join lists a new gate, or one again that was removed but lives.
func (w *world) join() {
	if len(w.table().Gates) >= 3 {
		return
	}
	id := w.any()
	if id == "" || w.draw(2) == 0 || slices.Contains(w.table().Gates, id) {
		w.born++
		id = fmt.Sprint("g", w.born)
		s, settle := &sim{}, settleTime
		if w.plant.hasty {
			settle = 0
		}
		s.holder = New(id, LoanTTL(loanLife, loanDrift), RemovalGrace(settle), Valid(func() bool { return w.now.Before(s.valid) }),
			MemberSince(func() int64 { return s.joined }))
		w.gates[id] = s
	}
	w.change(append(slices.Clone(w.table().Gates), id))
	w.gates[id].valid, w.gates[id].joined = w.now.Add(leaseTime), w.table().Version
}

// any draws a gate that lives and is awake, listed or not, or gives nothing.
func (w *world) any() string {
	id := fmt.Sprint("g", max(1, w.born-w.draw(6)))
	if s := w.gates[id]; s == nil || s.dead || w.now.Before(s.frozen) {
		return ""
	}
	return id
}

// remove takes a gate whose lease has lapsed out of the table.
func (w *world) remove() {
	for _, id := range w.table().Gates {
		if !w.now.Before(w.gates[id].valid) {
			w.change(slices.DeleteFunc(slices.Clone(w.table().Gates), func(g string) bool { return g == id }))
			return
		}
	}
}

func (w *world) learn(s *sim) {
	s.holder.SetTable(w.tables[len(w.tables)-1-w.draw(min(3, len(w.tables)))], w.now)
	if t := s.holder.newest(); w.plant.greedy && t != nil && t.has(s.holder.id) {
		base := *t
		s.holder.base, s.holder.pending = &base, nil
	}
}

// leave is a planned stop: the gate says that it has left, and is taken out of the table at once.
func (w *world) leave(id string, s *sim) {
	if !slices.Contains(w.table().Gates, id) || !s.holder.Leave(w.now) {
		return
	}
	c := s.holder.Confirmation(w.now)
	for _, other := range w.table().Gates {
		w.gates[other].holder.AddConfirmation(c, w.now)
	}
	s.dead = true
	w.change(slices.DeleteFunc(slices.Clone(w.table().Gates), func(g string) bool { return g == id }))
}

func (w *world) heartbeat(s *sim) {
	c := s.holder.Confirmation(w.now)
	to := w.gates[w.table().Gates[w.draw(len(w.table().Gates))]]
	w.mail = append(w.mail, func() { to.holder.AddConfirmation(c, w.now) })
}

func (w *world) borrow(id string, s *sim) {
	lender := w.table().Gates[w.draw(len(w.table().Gates))]
	asked, from := w.now, w.gates[lender]
	ask := &LoanRequest{Gate: id, Want: 1 + w.draw(8), Targets: worldTargets}
	w.mail = append(w.mail, func() {
		loans := from.holder.Lend(ask, w.now)
		if w.plant.forgetful {
			for _, u := range from.holder.uses {
				u.lent = nil
			}
		}
		w.mail = append(w.mail, func() { s.holder.AddBorrowed(lender, &loans, asked, w.now) })
	})
}

func (w *world) extend(s *sim) {
	asks := s.holder.Renewals(w.now)
	for _, lender := range slices.Sorted(maps.Keys(asks)) {
		ask, asked, from := asks[lender], w.now, w.gates[lender]
		w.mail = append(w.mail, func() {
			loans := from.holder.Lend(ask, w.now)
			w.mail = append(w.mail, func() { s.holder.AddBorrowed(lender, &loans, asked, w.now) })
		})
	}
}

func (w *world) start(s *sim) {
	t := worldTargets[w.draw(len(worldTargets))]
	end := w.now.Add(time.Duration(1+w.draw(int(maxRequest/time.Millisecond))) * time.Millisecond)
	slot, ok := s.holder.Acquire(t.ID, t.Slots, end, w.now)
	if !ok {
		return
	}
	if w.draw(10) == 0 { // Paused between taking the slot and sending, while the others go on.
		s.frozen = w.now.Add(time.Duration(w.draw(2500)) * time.Millisecond)
		for w.now.Before(s.frozen) {
			w.renew()
			w.advance(pauseStep)
			for range 10 {
				w.act()
			}
		}
		if !w.now.Before(end) || !s.holder.CanSend(slot, end) {
			s.holder.Release(slot, w.now)
			return
		}
	}
	w.flights = append(w.flights, flight{s, slot, t.ID, end})
	w.served++
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.flights = slices.DeleteFunc(w.flights, func(f flight) bool {
		over := !w.now.Before(f.end)
		if over {
			f.gate.holder.Release(f.slot, w.now)
		}
		return over
	})
}

func (w *world) deliver() {
	if len(w.mail) == 0 {
		return
	}
	i := w.draw(len(w.mail))
	m := w.mail[i]
	w.mail = slices.Delete(w.mail, i, i+1)
	if w.draw(8) > 0 {
		m()
	}
}

func (w *world) act() {
	switch k := w.draw(200); {
	case k < 1:
		w.join()
	case k < 4:
		w.remove()
	case k < 24:
		w.renew()
		w.advance(time.Duration(1+w.draw(200)) * time.Millisecond)
	case k < 74:
		w.deliver()
	default:
		if id := w.any(); id != "" && len(w.table().Gates) > 0 {
			w.actOf(id, w.gates[id], k)
		}
	}
}

// renew renews the leases of the gates that are awake; a lease that has lapsed stays so.
func (w *world) renew() {
	for _, id := range w.table().Gates {
		s := w.gates[id]
		if !s.dead && !w.now.Before(s.frozen) && w.now.Before(s.valid) && w.draw(8) > 0 {
			s.valid = w.now.Add(leaseTime)
		}
	}
}

func (w *world) actOf(id string, s *sim, k int) {
	switch {
	case k == 74:
		if w.draw(3) == 0 {
			s.dead = w.draw(3) == 0
			s.frozen = w.now.Add(3 * leaseTime)
		}
	case k == 75:
		if w.draw(3) == 0 {
			w.leave(id, s)
		}
	case k < 95:
		w.learn(s)
	case k < 130:
		w.heartbeat(s)
	case k < 136:
		w.borrow(id, s)
	case k < 138:
		w.extend(s)
	case k < 140:
		idle := s.holder.ReturnIdle(w.now)
		for _, lender := range slices.Sorted(maps.Keys(idle)) {
			r := idle[lender]
			w.mail = append(w.mail, func() { w.gates[lender].holder.AcceptReturn(r, w.now) })
		}
	default:
		w.start(s)
	}
}

// run gives an error at the first instant at which a target has more requests than slots.
func (w *world) run(steps int) error {
	for i := range steps {
		if err := w.step(i); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) step(i int) error {
	w.act()
	for _, t := range worldTargets {
		n := 0
		for _, f := range w.flights {
			if f.target == t.ID {
				n++
			}
		}
		if n > t.Slots {
			return fmt.Errorf("step %d: target %s has %d requests on %d slots", i, t.ID, n, t.Slots)
		}
	}
	return nil
}

// The caller sees a target that is overrun, or refuses for want of a slot.
// Gates join, die, freeze past their leases, learn tables late or not at all, and confirm and lend by
// messages that are late, reordered or lost. At no instant may the gates together use more slots of a
// target than it has, because each moves to a new share only when nobody can hold the old one.
func TestSharesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		if err := newWorld(rng.IntN, plant{}).run(worldSteps); err != nil {
			rt.Fatal(err)
		}
	})
}

// The same worlds, with one safeguard taken out of every gate, must show the overrun.
func TestPlantedFaultsAreCaught(t *testing.T) {
	for name, p := range map[string]plant{
		"none": {}, "greedy": {greedy: true}, "hasty": {hasty: true}, "forgetful": {forgetful: true},
	} {
		t.Run(name, func(t *testing.T) {
			caught, served := 0, 0
			for seed := range uint64(worlds) {
				w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN, p)
				if w.run(worldSteps) != nil {
					caught++
				}
				served += w.served
			}
			t.Logf("%d of %d worlds show the fault, %d requests", caught, worlds, served)
			is.New(t).Equal(caught > 0, name != "none")
		})
	}
}

// The caller sees a target of one slot get two requests.
// Gate a knows table 2, which lists a, b and c; c has confirmed it and died. Gate b never saw table 2,
// moves from 1 to 3 and confirms 3. Its claim never shrank to its share of table 2, so that a may not
// take the confirmation of the later table for one of table 2.
func TestLaterConfirmationDoesNotCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	two, three := Table{1, []string{"a", "b"}}, Table{2, []string{"a", "b", "c"}}
	target := "t"
	for i := 0; two.ShareOf("b", target, 1) != 1 || three.ShareOf("a", target, 1) != 1; i++ {
		target = fmt.Sprint("t", i)
	}
	a, b := New("a"), New("b")
	a.SetTable(two, now)
	b.SetTable(two, now)
	now = now.Add(DefaultRemovalGrace)
	a.AddConfirmation(b.Confirmation(now), now)
	b.AddConfirmation(a.Confirmation(now), now)
	a.SetTable(three, now)
	a.AddConfirmation(Confirmation{Gate: "c", Version: 2}, now)
	b.SetTable(Table{3, two.Gates}, now)
	a.AddConfirmation(b.Confirmation(now), now)
	is.Equal(b.Confirmation(now).Version, int64(3))
	is.Equal(b.Limit(target, 1, now), 1)
	is.Equal(a.Limit(target, 1, now), 0)
	a.SetTable(Table{3, two.Gates}, now)
	now = now.Add(DefaultRemovalGrace)
	is.Equal(a.Confirmation(now).Version, int64(3))
	is.Equal(a.Limit(target, 1, now), 0)
}

// The caller sees targets refuse for want of a slot after the gates of a zone were replaced.
// All gates died, and two new ones know nothing of the requests that those left at the targets. They
// must wait these out; beside a gate that knows the earlier tables, its word is enough.
func TestNewGatesWaitForEarlierOnes(t *testing.T) {
	for name, c := range map[string]struct {
		before []string
		left   bool
		want   int
	}{
		"all new": {nil, false, 0}, "one knows": {[]string{"a"}, false, 4},
		"one knows a dead one": {[]string{"a", "x"}, false, 0}, "one knows that the other left": {[]string{"a", "x"}, true, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			a, b := New("a"), New("b")
			if c.before != nil {
				a.SetTable(Table{7, c.before}, now)
				now = now.Add(DefaultRemovalGrace)
				a.AddConfirmation(Confirmation{Gate: "x", Version: 7, Left: c.left}, now)
			}
			for range 3 {
				a.SetTable(Table{9, []string{"a", "b"}}, now)
				b.SetTable(Table{9, []string{"a", "b"}}, now)
				a.AddConfirmation(b.Confirmation(now), now)
				b.AddConfirmation(a.Confirmation(now), now)
			}
			is.Equal(b.Limit("t", 8, now), c.want)
			now = now.Add(DefaultRemovalGrace)
			a.AddConfirmation(b.Confirmation(now), now)
			b.AddConfirmation(a.Confirmation(now), now)
			is.Equal(a.Limit("t", 8, now), 4)
			is.Equal(b.Limit("t", 8, now), 4)
		})
	}
}

// The caller's check meets a full target because a gate came back from a pause.
// While it was paused its lease lapsed, it was removed, its loan ended, or it was even listed again.
// Whatever it held before the pause must not count any more.
func TestAfterPause(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		// pause changes the world while gate a, which holds all 8 slots, is paused with an unsent request.
		pause             func(h *Allocator, valid *bool, since *int64)
		holds, knows      bool
		limit, lentByPeer int
	}{
		{"nothing happened", func(*Allocator, *bool, *int64) {}, true, true, 8, 0},
		{"lease lapsed", func(_ *Allocator, valid *bool, _ *int64) { *valid = false }, false, true, 0, 0},
		{"listed again unseen", func(_ *Allocator, _ *bool, since *int64) { *since = 9 }, false, false, 0, 0},
		{"listed again, table seen", func(h *Allocator, _ *bool, since *int64) {
			*since = 9
			h.SetTable(Table{9, []string{"a", "b"}}, now)
		}, false, false, 0, 0},
		{"removal seen", func(h *Allocator, _ *bool, _ *int64) {
			h.SetTable(Table{8, []string{"b"}}, now)
			h.SetTable(Table{9, []string{"a", "b"}}, now)
		}, true, false, 0, 0},
		{"answer to an ask is late", func(h *Allocator, _ *bool, _ *int64) {
			h.AddBorrowed("b", &LoanReply{[]Loan{{ID: 1, Target: "t", Slots: 2, TTL: time.Second}}}, now.Add(-time.Second), now)
		}, true, true, 8, 0},
		{"answer to a renewal is late", func(h *Allocator, _ *bool, _ *int64) {
			loans := &LoanReply{[]Loan{{ID: 1, Target: "t", Slots: 2, TTL: time.Second}}}
			h.AddBorrowed("b", loans, now.Add(-time.Second/2), now)
			h.AddBorrowed("b", loans, now.Add(-time.Second*9/10), now)
		}, true, true, 10, 2},
		{"answer to an ask is in time", func(h *Allocator, _ *bool, _ *int64) {
			h.AddBorrowed("b", &LoanReply{[]Loan{{ID: 1, Target: "t", Slots: 2, TTL: time.Second}}}, now.Add(-time.Second/2), now)
		}, true, true, 10, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			valid, since := true, int64(7)
			h := New("a", RemovalGrace(0), Valid(func() bool { return valid }), MemberSince(func() int64 { return since }))
			h.SetTable(Table{7, []string{"a"}}, now)
			slot, ok := h.Acquire("t", 8, now.Add(time.Second), now)
			is.True(ok)
			c.pause(h, &valid, &since)
			is.Equal(h.CanSend(slot, now.Add(time.Second)), c.holds)
			is.Equal(h.Limit("t", 8, now), c.limit)
			is.Equal(h.Confirmation(now).KnowsHistory, c.knows)
			for range 8 {
				h.Acquire("t", 8, now.Add(time.Second/4), now)
			}
			if loan, ok := h.Acquire("t", 8, now.Add(time.Second/4), now); c.lentByPeer > 0 {
				is.True(ok && loan.Borrowed())
				is.True(h.CanSend(loan, now.Add(time.Second/2)))
				is.True(!h.CanSend(loan, now.Add(time.Second)))
			} else {
				is.True(!ok)
			}
		})
	}
}

// A gate that is not a member must not lend: its siblings may already use what it would give.
func TestLendNeedsMembership(t *testing.T) {
	is := is.New(t)
	now, valid := time.Unix(1000, 0), true
	h := New("a", RemovalGrace(0), Valid(func() bool { return valid }))
	h.SetTable(Table{7, []string{"a", "b"}}, now)
	h.AddConfirmation(Confirmation{Gate: "b", Version: 7}, now)
	ask := &LoanRequest{Gate: "b", Want: 9, Targets: []Target{{"t", 8}}}
	valid = false
	is.Equal(len(h.Lend(ask, now).Loans), 0)
	valid = true
	is.Equal(h.Lend(ask, now).Loans[0].Slots, 3) // Four are its share, one it keeps.
}

// A renewed loan stays charged to its lender for as long as the borrower may use it; one that is not
// renewed comes back; and a lender that is short itself renews only some.
func TestRenewal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	h := New("a", RemovalGrace(0), LoanTTL(10*time.Second, time.Second))
	h.SetTable(Table{7, []string{"a", "b"}}, now)
	h.AddConfirmation(Confirmation{Gate: "b", Version: 7}, now)
	targets := []Target{{"t", 16}}
	first := h.Lend(&LoanRequest{Gate: "b", Want: 1, Targets: targets}, now).Loans[0]
	second := h.Lend(&LoanRequest{Gate: "b", Want: 1, Targets: targets}, now).Loans[0]
	h.Lend(&LoanRequest{Gate: "b", Renew: []uint64{first.ID}}, at(6*time.Second))
	is.Equal(h.Limit("t", 16, at(10*time.Second)), 6)
	is.Equal(h.Limit("t", 16, at(12*time.Second)), 7)
	is.Equal(h.Limit("t", 16, at(18*time.Second)), 8)
	third := h.Lend(&LoanRequest{Gate: "b", Want: 1, Targets: targets}, at(18*time.Second)).Loans[0]
	fourth := h.Lend(&LoanRequest{Gate: "b", Want: 1, Targets: targets}, at(18*time.Second)).Loans[0]
	for range 6 {
		h.Acquire("t", 16, at(20*time.Second), at(19*time.Second))
	}
	short := h.Lend(&LoanRequest{Gate: "b", Targets: targets, Renew: []uint64{third.ID, fourth.ID}}, at(20*time.Second))
	is.Equal(len(short.Loans), 1)
	is.True(second.ID != first.ID)
}

// A gate must not say that it has left while its requests or loans may occupy targets, and once it has
// said so it uses nothing more.
func TestLeave(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := New("a", RemovalGrace(0), LoanTTL(10*time.Second, time.Second))
	h.SetTable(Table{7, []string{"a", "b"}}, now)
	h.AddConfirmation(Confirmation{Gate: "b", Version: 7}, now)
	slot, _ := h.Acquire("t", 16, now.Add(time.Second), now)
	is.True(!h.Leave(now))
	h.Release(slot, now)
	is.Equal(len(h.Lend(&LoanRequest{Gate: "b", Want: 1, Targets: []Target{{"t", 16}}}, now).Loans), 1)
	is.True(!h.Leave(now))
	later := now.Add(11 * time.Second)
	is.True(!h.Confirmation(later).Left)
	is.True(h.Leave(later))
	is.True(h.Confirmation(later).Left)
	_, ok := h.Acquire("t", 16, later.Add(time.Second), later)
	is.True(!ok)
}
