package member

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"turmericgap/metric"
)

// groupMetrics holds the metrics of the membership.
type groupMetrics struct {
	valid, byPromises, owns, epoch, leaseMillis, members, suspect, absent metrics.Gauge

	promised, refused, removed metrics.Counter
}

func newGroupMetrics(r *metric.Registry) groupMetrics {
	return groupMetrics{
		valid: r.Gauge("member_valid"), byPromises: r.Gauge("member_byPromises"), owns: r.Gauge("member_owns"),
		epoch: r.Gauge("member_epoch"), leaseMillis: r.Gauge("member_leaseMillis"),
		members: r.Gauge("member_members"), suspect: r.Gauge("member_suspect"), absent: r.Gauge("member_keyAbsent"),
		promised: r.Counter("member_promised_total"), refused: r.Counter("member_refused_total"),
		removed: r.Counter("member_removed_total"),
	}
}

// updateMetrics sets the gauges to the current state.
func (g *Group) updateMetrics() {
	_, _, owns := g.Owns()
	g.mu.Lock()
	defer g.mu.Unlock()
	now, m := time.Now(), &g.metrics
	var suspect, absent int64
	for _, p := range g.peers {
		suspect += boolToInt(p.suspect)
		absent += boolToInt(!p.keyMissingSince.IsZero())
	}
	m.valid.Update(boolToInt(g.valid(now)))
	m.byPromises.Update(boolToInt(g.basis(now) == ByPromises))
	m.owns.Update(boolToInt(owns))
	m.epoch.Update(g.table.Epoch)
	m.leaseMillis.Update(g.leaseLeft(now).Milliseconds())
	m.members.Update(int64(len(g.table.Members)))
	m.suspect.Update(suspect)
	m.absent.Update(absent)
}

func boolToInt(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
