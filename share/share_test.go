package share

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	leaseTime  = time.Second
	maxRequest = 3 * time.Second
	loanLife   = 3 * time.Second
	loanDrift  = 300 * time.Millisecond
	settleTime = 4 * time.Second
	worldSteps = 3000
	worlds     = 150
)

var worldTargets = []Target{{"a", 1}, {"b", 5}, {"c", 8}}

// plant is a fault put into every gate of a world.
type plant struct {
	greedy    bool // takes its new share at once
	hasty     bool // does not wait for the requests of removed gates
	forgetful bool // forgets what it lent
}

type sim struct {
	holder *Holder
	valid  time.Time
	frozen time.Time
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

func (w *world) join() {
	if len(w.table().Gates) >= 3 {
		return
	}
	w.born++
	s, id := &sim{valid: w.now.Add(leaseTime)}, fmt.Sprint("g", w.born)
	settle := settleTime
	if w.plant.hasty {
		settle = 0
	}
	s.holder = New(id, Life(loanLife, loanDrift), Settle(settle), Valid(func() bool { return w.now.Before(s.valid) }))
	w.gates[id] = s
	w.change(append(slices.Clone(w.table().Gates), id))
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

// awake draws a gate that can act.
func (w *world) awake() (string, *sim) {
	if len(w.table().Gates) == 0 {
		return "", nil
	}
	id := w.table().Gates[w.draw(len(w.table().Gates))]
	s := w.gates[id]
	if s.dead || w.now.Before(s.frozen) {
		return "", nil
	}
	return id, s
}

func (w *world) learn(s *sim) {
	s.holder.SetTable(w.tables[len(w.tables)-1-w.draw(min(3, len(w.tables)))], w.now)
	if t := s.holder.newest(); w.plant.greedy && t != nil && t.has(s.holder.id) {
		base := *t
		s.holder.base, s.holder.pending = &base, nil
	}
}

func (w *world) heartbeat(s *sim) {
	c := s.holder.Confirms(w.now)
	to := w.gates[w.table().Gates[w.draw(len(w.table().Gates))]]
	w.mail = append(w.mail, func() { to.holder.Confirmed(c, w.now) })
}

func (w *world) borrow(id string, s *sim) {
	lender := w.table().Gates[w.draw(len(w.table().Gates))]
	asked, from := w.now, w.gates[lender]
	ask := &Ask{Gate: id, Want: 1 + w.draw(8), Targets: worldTargets}
	w.mail = append(w.mail, func() {
		loans := from.holder.Lend(ask, w.now)
		if w.plant.forgetful {
			for _, u := range from.holder.uses {
				u.lent = nil
			}
		}
		w.mail = append(w.mail, func() { s.holder.Borrowed(lender, &loans, asked, w.now) })
	})
}

func (w *world) start(s *sim) {
	t := worldTargets[w.draw(len(worldTargets))]
	end := w.now.Add(time.Duration(1+w.draw(int(maxRequest/time.Millisecond))) * time.Millisecond)
	slot, ok := s.holder.Take(t.ID, t.Slots, end, w.now)
	if ok && s.holder.Holds(slot, end) {
		w.flights = append(w.flights, flight{s, slot, t.ID, end})
		w.served++
	}
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
	case k < 2:
		w.remove()
	case k < 24:
		w.advance(time.Duration(1+w.draw(200)) * time.Millisecond)
	case k < 64:
		w.deliver()
	default:
		if id, s := w.awake(); s != nil {
			w.actOf(id, s, k)
		}
	}
}

func (w *world) actOf(id string, s *sim, k int) {
	switch {
	case k == 64:
		if w.draw(5) == 0 {
			s.dead = w.draw(2) == 0
			s.frozen = w.now.Add(3 * leaseTime)
		}
	case k < 85:
		s.valid = w.now.Add(leaseTime)
	case k < 95:
		w.learn(s)
	case k < 120:
		w.heartbeat(s)
	case k < 130:
		w.borrow(id, s)
	case k < 132:
		idle := s.holder.Idle(w.now)
		for _, lender := range slices.Sorted(maps.Keys(idle)) {
			r := idle[lender]
			w.mail = append(w.mail, func() { w.gates[lender].holder.TakeBack(r, w.now) })
		}
	default:
		w.start(s)
	}
}

// run gives an error at the first instant at which a target has more requests than slots.
func (w *world) run(steps int) error {
	for step := range steps {
		w.act()
		for _, t := range worldTargets {
			n := 0
			for _, f := range w.flights {
				if f.target == t.ID {
					n++
				}
			}
			if n > t.Slots {
				return fmt.Errorf("step %d: target %s has %d requests on %d slots", step, t.ID, n, t.Slots)
			}
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
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		if err := newWorld(draw, plant{}).run(worldSteps); err != nil {
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
	for i := 0; two.Of("b", target, 1) != 1 || three.Of("a", target, 1) != 1; i++ {
		target = fmt.Sprint("t", i)
	}
	a, b := New("a"), New("b")
	a.SetTable(two, now)
	b.SetTable(two, now)
	now = now.Add(DefaultSettle)
	a.Confirmed(b.Confirms(now), now)
	b.Confirmed(a.Confirms(now), now)
	a.SetTable(three, now)
	a.Confirmed(Confirmation{Gate: "c", Version: 2}, now)
	b.SetTable(Table{3, two.Gates}, now)
	a.Confirmed(b.Confirms(now), now)
	is.Equal(b.Confirms(now).Version, int64(3))
	is.Equal(b.Limit(target, 1, now), 1)
	is.Equal(a.Limit(target, 1, now), 0)
	a.SetTable(Table{3, two.Gates}, now)
	now = now.Add(DefaultSettle)
	is.Equal(a.Confirms(now).Version, int64(3))
	is.Equal(a.Limit(target, 1, now), 0)
}

// The caller sees targets refuse for want of a slot after the gates of a zone were replaced.
// All gates died, and two new ones know nothing of the requests that those left at the targets. They
// must wait these out; beside a gate that knows the earlier tables, its word is enough.
func TestNewGatesWaitForEarlierOnes(t *testing.T) {
	for name, c := range map[string]struct {
		old  bool
		want int
	}{"all new": {false, 0}, "one knows": {true, 4}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			a, b := New("a"), New("b")
			if c.old {
				a.SetTable(Table{7, []string{"a"}}, now)
				now = now.Add(DefaultSettle)
			}
			for range 3 {
				a.SetTable(Table{9, []string{"a", "b"}}, now)
				b.SetTable(Table{9, []string{"a", "b"}}, now)
				a.Confirmed(b.Confirms(now), now)
				b.Confirmed(a.Confirms(now), now)
			}
			is.Equal(a.Limit("t", 8, now), c.want)
			is.Equal(b.Limit("t", 8, now), c.want)
			is.Equal(b.Limit("t", 8, now.Add(DefaultSettle)), 4)
		})
	}
}
