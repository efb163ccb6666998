package planner

import (
	"slices"
	"time"

	"turmericgap/job"
	"turmericgap/placement"
)

const (
	maxReservations     = 16
	maxGangReservations = 2
	// reserveInterval limits how often running tasks are scanned to compute a reservation.
	reserveInterval = 250 * time.Millisecond
	// reserveDelay is the time that a large job waits for capacity before workers are reserved for it.
	reserveDelay = 10 * time.Second
	// starvationDelay is the wait for capacity after which a late job that is not large may get a reservation too.
	starvationDelay = 30 * time.Minute
	// reserveGrace is the minimum time that a reservation is kept after its planned start.
	reserveGrace = 30 * time.Second
)

// reservation keeps workers for a waiting job from the time at which they should be free. Other jobs may use the
// workers until then if they end before it (backfill), and may use capacity that the job does not need.
type reservation struct {
	entry     *entry
	startAt   time.Time
	expiresAt time.Time
	workers   []reservedWorker
	// preempted is set if tasks were preempted for the reservation.
	preempted bool
}

type reservedWorker struct {
	worker string
	count  int
}

// reservationOn returns the reservation on a worker, or nil.
func (p *Planner) reservationOn(workerID string) *reservation {
	for _, r := range p.reservations {
		for i := range r.workers {
			if r.workers[i].worker == workerID {
				return r
			}
		}
	}
	return nil
}

// availableTo returns the resources that a job may use on a node now.
func (p *Planner) availableTo(now time.Time, e *entry, n *placement.Node) job.Resources {
	if !n.Reserved() {
		return n.Available()
	}
	if r := p.reservationOn(n.Info.ID); r == nil || r.entry == e || e.endsBefore(now, r.startAt) {
		return n.AvailableNow()
	}
	return n.Available()
}

func (e *entry) endsBefore(now, at time.Time) bool {
	return !e.isService() && !now.Add(e.estimate.P90).After(at)
}

// backfill returns a reserved worker on which the task fits and ends before the reservation starts, or nil.
func (p *Planner) backfill(now time.Time, e *entry) *placement.Node {
	for _, r := range p.reservations {
		if !e.endsBefore(now, r.startAt) {
			continue
		}
		for _, w := range r.workers {
			n := p.index.Node(w.worker)
			if n != nil && (e.spec.Zone == "" || e.spec.Zone == n.Info.Zone) && e.charge.FitsIn(n.AvailableNow()) {
				return n
			}
		}
	}
	return nil
}

// useSpare reduces the spare resources of a reserved worker by a task that outlasts the start of the reservation.
func (p *Planner) useSpare(n *placement.Node, t *task) {
	if !n.Reserved() {
		return
	}
	r := p.reservationOn(n.Info.ID)
	if r != nil && r.entry != t.entry && (t.entry.isService() || t.plannedEnd.After(r.startAt)) {
		p.index.UseSpare(n, t.charge)
	}
}

func (p *Planner) unreserve(r *reservation) {
	if r == nil {
		return
	}
	for _, w := range r.workers {
		if n := p.index.Node(w.worker); n != nil {
			p.index.Unreserve(n)
		}
	}
	r.entry.reservation = nil
	at := slices.Index(p.reservations, r)
	p.reservations = slices.Delete(p.reservations, at, at+1)
	p.retryAll = true
}

// consumeReservation reduces a reservation after a task of its job has started, on a reserved worker or another one.
func (p *Planner) consumeReservation(r *reservation, workerID string) {
	if r == nil {
		return
	}
	at := slices.IndexFunc(r.workers, func(w reservedWorker) bool { return w.worker == workerID })
	if at < 0 {
		at = len(r.workers) - 1
	}
	w := &r.workers[at]
	if w.count--; w.count > 0 && len(r.entry.pending) > 0 {
		return
	}
	if len(r.workers) == 1 || len(r.entry.pending) == 0 {
		p.unreserve(r)
		return
	}
	if n := p.index.Node(w.worker); n != nil {
		p.index.Unreserve(n)
	}
	r.workers = slices.Delete(r.workers, at, at+1)
	p.retryAll = true
}

func (p *Planner) unreserveWorker(id string) { p.unreserve(p.reservationOn(id)) }

func (p *Planner) expireReservations(now time.Time) {
	for i := len(p.reservations) - 1; i >= 0; i-- {
		if now.After(p.reservations[i].expiresAt) {
			p.unreserve(p.reservations[i])
		}
	}
}

func (p *Planner) addReservation(r *reservation, spare func(n *placement.Node, count int) job.Resources) {
	r.entry.reservation = r
	p.reservations = append(p.reservations, r)
	for _, w := range r.workers {
		n := p.index.Node(w.worker)
		p.index.Reserve(n, spare(n, w.count))
	}
}

// forecast is the predicted free capacity of workers as running tasks end.
type forecast struct {
	free    map[*placement.Node]job.Resources
	fits    map[string]int
	request job.Resources
	need    int
	zone    string
	order   []*placement.Node
}

func (f *forecast) add(n *placement.Node, r job.Resources) {
	before, known := f.free[n]
	if !known {
		f.order = append(f.order, n)
	}
	after := before.Plus(r)
	f.free[n] = after
	zone := n.Info.Zone
	f.fits[zone] += placement.FitCount(after, f.request, f.need) - placement.FitCount(before, f.request, f.need)
	if f.fits[zone] >= f.need && f.zone == "" {
		f.zone = zone
	}
}

// reserve reserves workers for a blocked job where capacity will be free first. Without a reservation smaller tasks
// take all freed capacity, and larger tasks of the same priority can wait for hours.
func (p *Planner) reserve(now time.Time, e *entry) {
	if now.Sub(p.lastReservation) < reserveInterval {
		return
	}
	p.lastReservation = now
	f, at := p.forecast(now, e)
	if f.zone == "" {
		return
	}
	r := &reservation{entry: e, startAt: at, expiresAt: at.Add(max(reserveGrace, at.Sub(now)/2)), workers: f.chooseWorkers()}
	p.addReservation(r,
		func(n *placement.Node, count int) job.Resources { return f.free[n].Minus(f.request.Times(count)) })
}

// forecast simulates the end of running tasks in order of time until the job fits into a zone.
func (p *Planner) forecast(now time.Time, e *entry) (f *forecast, at time.Time) {
	f = &forecast{free: map[*placement.Node]job.Resources{}, fits: map[string]int{}, request: e.charge, need: e.nextStartCount()}
	p.index.ForEach(func(n *placement.Node) {
		if n.Open && !n.Probe && !n.Reserved() && (e.spec.Zone == "" || e.spec.Zone == n.Info.Zone) &&
			e.charge.FitsIn(n.Info.Has) {
			f.add(n, n.AvailableNow())
		}
	})
	at = now
	for _, t := range p.batchTasksByEnd(now) {
		if f.zone != "" {
			break
		}
		n := p.index.Node(t.worker)
		if _, known := f.free[n]; known {
			f.add(n, t.charge)
			at = t.expectedEnd(now)
		}
	}
	return f, at
}

// chooseWorkers returns the workers of the zone to reserve for the job.
func (f *forecast) chooseWorkers() []reservedWorker {
	var w []reservedWorker
	left := f.need
	for _, n := range f.order {
		if n.Info.Zone != f.zone || left == 0 {
			continue
		}
		if count := placement.FitCount(f.free[n], f.request, left); count > 0 {
			w = append(w, reservedWorker{n.Info.ID, count})
			left -= count
		}
	}
	return w
}

// expectedEnd returns when a task should end. A task past its planned end is expected to run half as long again.
func (t *task) expectedEnd(now time.Time) time.Time {
	if t.plannedEnd.After(now) {
		return t.plannedEnd
	}
	return now.Add(now.Sub(t.started) / 2)
}

// batchTasksByEnd returns the running tasks of batch jobs, ordered by expected end.
func (p *Planner) batchTasksByEnd(now time.Time) []*task {
	tasks := make([]*task, 0, len(p.running))
	for _, t := range p.running {
		if !t.entry.isService() {
			tasks = append(tasks, t)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *task) int { return a.expectedEnd(now).Compare(b.expectedEnd(now)) })
	return tasks
}
