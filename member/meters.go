package member

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"turmericgap/metric"
)

// meters are what the metrics page shows of the membership.
type meters struct {
	valid, byPromises, owns, epoch, leaseMillis, members, suspect, absent metrics.Gauge

	promised, refused, removed metrics.Counter
}

func newMeters(r *metric.Registry) meters {
	return meters{
		valid: r.Gauge("member_valid"), byPromises: r.Gauge("member_byPromises"), owns: r.Gauge("member_owns"),
		epoch: r.Gauge("member_epoch"), leaseMillis: r.Gauge("member_leaseMillis"),
		members: r.Gauge("member_members"), suspect: r.Gauge("member_suspect"), absent: r.Gauge("member_keyAbsent"),
		promised: r.Counter("member_promised_total"), refused: r.Counter("member_refused_total"),
		removed: r.Counter("member_removed_total"),
	}
}

// measure sets the gauges to how things stand now.
func (g *Group) measure() {
	_, _, owns := g.Owns()
	g.mu.Lock()
	defer g.mu.Unlock()
	now, m := time.Now(), &g.meters
	var suspect, absent int64
	for _, p := range g.peers {
		suspect += oneIf(p.suspect)
		absent += oneIf(!p.absent.IsZero())
	}
	m.valid.Update(oneIf(g.valid(now)))
	m.byPromises.Update(oneIf(g.basis(now) == ByPromises))
	m.owns.Update(oneIf(owns))
	m.epoch.Update(g.table.Epoch)
	m.leaseMillis.Update(g.leaseLeft(now).Milliseconds())
	m.members.Update(int64(len(g.table.Members)))
	m.suspect.Update(suspect)
	m.absent.Update(absent)
}

func oneIf(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
