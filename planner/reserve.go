package planner

import (
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/placement"
)

const (
	mostReservations = 16
	mostGangs        = 2
	// reserveEvery bounds how often the running tasks are gone through for a reservation.
	reserveEvery = 250 * time.Millisecond
	// reserveAfter is how long a job waits for capacity before room is reserved for it.
	reserveAfter = 10 * time.Second
	// starvedAfter is how long a late job that is not large has had no start when it gets room too.
	starvedAfter = 30 * time.Minute
	// reservePatience is how long past its time a reservation is held, at least.
	reservePatience = 30 * time.Second
)

// reservation keeps room on workers for a job that waits, from the time when it is expected to be
// free. Others may use it as long as they end before, which is backfill, or take what is spare.
type reservation struct {
	entry *entry
	at    time.Time
	until time.Time
	kept  []kept
	// claimed says that tasks were preempted for it.
	claimed bool
}

type kept struct {
	worker string
	count  int
}

// holder gives the reservation on a worker, or nil.
func (p *Planner) holder(workerID string) *reservation {
	for _, r := range p.reservations {
		for i := range r.kept {
			if r.kept[i].worker == workerID {
				return r
			}
		}
	}
	return nil
}

// room is what a job may take on a node at once.
func (p *Planner) room(now time.Time, e *entry, n *placement.Node) job.Resources {
	if !n.Reserved() {
		return n.Available()
	}
	if r := p.holder(n.Info.ID); r == nil || r.entry == e || e.endsBefore(now, r.at) {
		return n.AvailableNow()
	}
	return n.Available()
}

func (e *entry) endsBefore(now, at time.Time) bool {
	return !e.service() && !now.Add(e.estimate.P90).After(at)
}

// backfill gives a reserved worker on which a short task ends before the reservation is due.
func (p *Planner) backfill(now time.Time, e *entry) *placement.Node {
	for _, r := range p.reservations {
		if !e.endsBefore(now, r.at) {
			continue
		}
		for _, k := range r.kept {
			n := p.index.Node(k.worker)
			if n != nil && (e.spec.Zone == "" || e.spec.Zone == n.Info.Zone) && e.charge.Fits(n.AvailableNow()) {
				return n
			}
		}
	}
	return nil
}

// spend lowers what is spare on a reserved worker by a task that outlasts the reservation.
func (p *Planner) spend(n *placement.Node, t *task) {
	if !n.Reserved() {
		return
	}
	r := p.holder(n.Info.ID)
	if r != nil && r.entry != t.entry && (t.entry.service() || t.end.After(r.at)) {
		p.index.UseSpare(n, t.charge)
	}
}

func (p *Planner) unreserve(r *reservation) {
	if r == nil {
		return
	}
	for _, k := range r.kept {
		if n := p.index.Node(k.worker); n != nil {
			p.index.Unreserve(n)
		}
	}
	r.entry.reservation = nil
	at := slices.Index(p.reservations, r)
	p.reservations = slices.Delete(p.reservations, at, at+1)
	p.freed = true
}

// consume lowers a reservation by a task that has started on a worker, kept for it or not.
func (p *Planner) consume(r *reservation, workerID string) {
	if r == nil {
		return
	}
	at := slices.IndexFunc(r.kept, func(k kept) bool { return k.worker == workerID })
	if at < 0 {
		at = len(r.kept) - 1
	}
	k := &r.kept[at]
	if k.count--; k.count > 0 && len(r.entry.pending) > 0 {
		return
	}
	if len(r.kept) == 1 || len(r.entry.pending) == 0 {
		p.unreserve(r)
		return
	}
	if n := p.index.Node(k.worker); n != nil {
		p.index.Unreserve(n)
	}
	r.kept = slices.Delete(r.kept, at, at+1)
	p.freed = true
}

func (p *Planner) unreserveWorker(id string) { p.unreserve(p.holder(id)) }

func (p *Planner) expire(now time.Time) {
	for i := len(p.reservations) - 1; i >= 0; i-- {
		if now.After(p.reservations[i].until) {
			p.unreserve(p.reservations[i])
		}
	}
}

func (p *Planner) hold(r *reservation, spare func(n *placement.Node, count int) job.Resources) {
	r.entry.reservation = r
	p.reservations = append(p.reservations, r)
	for _, k := range r.kept {
		n := p.index.Node(k.worker)
		p.index.Reserve(n, spare(n, k.count))
	}
}

// forecast is the room on the workers as running tasks are expected to end.
type forecast struct {
	room  map[*placement.Node]job.Resources
	fits  map[string]int
	each  job.Resources
	need  int
	zone  string
	order []*placement.Node
}

func (f *forecast) add(n *placement.Node, r job.Resources) {
	before, known := f.room[n]
	if !known {
		f.order = append(f.order, n)
	}
	after := before.Plus(r)
	f.room[n] = after
	zone := n.Info.Zone
	f.fits[zone] += placement.FitCount(after, f.each, f.need) - placement.FitCount(before, f.each, f.need)
	if f.fits[zone] >= f.need && f.zone == "" {
		f.zone = zone
	}
}

// reserve keeps room for a blocked job where it will be free soonest. Without it, whatever is freed
// goes to smaller work at once, and larger work of the same priority waits for hours.
func (p *Planner) reserve(now time.Time, e *entry) {
	if now.Sub(p.reserved) < reserveEvery {
		return
	}
	p.reserved = now
	f, at := p.forecast(now, e)
	if f.zone == "" {
		return
	}
	r := &reservation{entry: e, at: at, until: at.Add(max(reservePatience, at.Sub(now)/2)), kept: f.keep()}
	p.hold(r, func(n *placement.Node, count int) job.Resources { return f.room[n].Minus(f.each.Times(count)) })
}

// forecast lets running tasks end, the first to end first, until the job fits into a zone.
func (p *Planner) forecast(now time.Time, e *entry) (f *forecast, at time.Time) {
	f = &forecast{room: map[*placement.Node]job.Resources{}, fits: map[string]int{}, each: e.charge, need: e.tasksNext()}
	p.index.ForEach(func(n *placement.Node) {
		if n.Open && !n.Probe && !n.Reserved() && (e.spec.Zone == "" || e.spec.Zone == n.Info.Zone) && e.charge.Fits(n.Info.Has) {
			f.add(n, n.AvailableNow())
		}
	})
	at = now
	for _, t := range p.byEnd(now) {
		if f.zone != "" {
			break
		}
		n := p.index.Node(t.worker)
		if _, known := f.room[n]; known {
			f.add(n, t.charge)
			at = t.expected(now)
		}
	}
	return f, at
}

// keep chooses the workers of the zone on which the job will fit.
func (f *forecast) keep() []kept {
	var k []kept
	left := f.need
	for _, n := range f.order {
		if n.Info.Zone != f.zone || left == 0 {
			continue
		}
		if count := placement.FitCount(f.room[n], f.each, left); count > 0 {
			k = append(k, kept{n.Info.ID, count})
			left -= count
		}
	}
	return k
}

// expected is when a task will end; one that runs past its estimate is given half as long again.
func (t *task) expected(now time.Time) time.Time {
	if t.end.After(now) {
		return t.end
	}
	return now.Add(now.Sub(t.started) / 2)
}

// byEnd gives the batch tasks, the first to end first.
func (p *Planner) byEnd(now time.Time) []*task {
	tasks := make([]*task, 0, len(p.running))
	for _, t := range p.running {
		if !t.entry.service() {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *task) int { return a.expected(now).Compare(b.expected(now)) })
	return tasks
}
