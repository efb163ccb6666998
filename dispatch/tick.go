package dispatch

import "time"

// onTick does what depends on time alone.
func (t *term) onTick(now time.Time) {
	t.lapse(now)
	t.haltAgain(now)
	for e := range t.timed {
		t.beginDue(e, now)
	}
	t.forgetEnded(now)
	t.dirty = t.dirty || len(t.stages) > 0
}

// haltAgain repeats orders to stop whose end is not listed.
func (t *term) haltAgain(now time.Time) {
	for _, n := range t.nodes {
		for _, r := range n.runs {
			if r.stopping && now.Sub(r.haltedAt) > haltAgain+t.o.StopWithin {
				t.halt(r)
			}
		}
	}
}

// beginDue begins the occurrences of a timed work that are due.
func (t *term) beginDue(e *entry, now time.Time) {
	if e.state.Final() {
		delete(t.timed, e)
		return
	}
	for e.begun < e.work.Count() && !now.Before(e.work.Due(e.begun)) {
		t.openStages(e.begin(e.begun))
		t.save(e, nil)
	}
	if e.begun == e.work.Count() {
		delete(t.timed, e)
	}
}

// forgetEnded removes records that nobody may ask for any more.
func (t *term) forgetEnded(now time.Time) {
	for len(t.endedOrder) > 0 {
		id := t.endedOrder[0]
		if now.Sub(t.ended[id].At) < t.o.KeepEnded+endedExtra {
			return
		}
		t.endedOrder = t.endedOrder[1:]
		delete(t.ended, id)
		t.removed = append(t.removed, id)
	}
}
