package fleet

import (
	"maps"
	"slices"
	"time"
)

// work is what is known of a job or a class: on which members it succeeded and failed, up to
// maxPlaces of each. A nil work is one of which nothing is known.
type work struct {
	okOn     []string
	failedOn []string
	// lately is where it failed since its last success.
	lately []string
	at     time.Time
}

// work gives what is known under the name; beyond the bound nothing new is remembered.
func (f *Fleet) work(of map[string]*work, name string, now time.Time) *work {
	w, ok := of[name]
	if !ok {
		w = &work{}
		if name != "" && len(of) < MaxTracked {
			of[name] = w
		}
	}
	w.at = now
	return w
}

// trimWork drops the work of which nothing was heard for long.
func (f *Fleet) trimWork(now time.Time) {
	for _, of := range []map[string]*work{f.jobs, f.classes} {
		maps.DeleteFunc(of, func(_ string, w *work) bool { return now.Sub(w.at) > workKeep })
	}
}

func (w *work) succeeded(id string) {
	w.okOn = addPlace(w.okOn, id)
	w.lately = nil
}

func (w *work) failed(id string) {
	w.failedOn = addPlace(w.failedOn, id)
	w.lately = addPlace(w.lately, id)
}

func addPlace(places []string, id string) []string {
	if len(places) >= maxPlaces || slices.Contains(places, id) {
		return places
	}
	return append(places, id)
}

// alone tells whether the work has failed on no member but the one with this id.
func (w *work) alone(id string) bool {
	return w == nil || !slices.ContainsFunc(w.failedOn, func(o string) bool { return o != id })
}

// jobFailing tells whether a job, none of whose tasks ever succeeded, fails for its own sake.
func (f *Fleet) jobFailing(job string) bool {
	w := f.jobs[job]
	return w != nil && len(w.okOn) == 0 && f.witnessed(w.lately, func(x failure) bool { return x.job == job })
}

// classFailing tells whether a class has failed for its own sake since its last success.
func (f *Fleet) classFailing(class string) bool {
	w := f.classes[class]
	return w != nil && f.witnessed(w.lately, func(x failure) bool { return x.class == class })
}

// witnessed tells whether enough of the members on which some work failed are sound otherwise: other
// work succeeded there lately, and none has failed there since. Where no other work tells whether
// they are sound, twice as many are asked for.
func (f *Fleet) witnessed(places []string, own func(failure) bool) bool {
	other := func(x failure) bool { return !own(x) }
	proven, plausible := 0, 0
	for _, id := range places {
		m, ok := f.members[id]
		if !ok || slices.ContainsFunc(m.failures, other) || slices.ContainsFunc(m.cause, other) {
			continue
		}
		plausible++
		if !m.lastOK.IsZero() && f.now.Sub(m.lastOK) <= f.opts.FailureWindow {
			proven++
		}
	}
	return proven >= f.opts.MinHealthyFailures || plausible >= 2*f.opts.MinHealthyFailures
}

// succeedsElsewhere tells whether the work runs well on others: on two at least, and on four times
// as many as the ones, m and the ejected aside, on which it fails.
func (f *Fleet) succeedsElsewhere(w *work, m *member) bool {
	if w == nil {
		return false
	}
	clean, others := 0, 0
	for _, id := range w.okOn {
		if !slices.Contains(w.failedOn, id) {
			clean++
		}
	}
	for _, id := range w.failedOn {
		if o, ok := f.members[id]; ok && o != m && !o.ejected {
			others++
		}
	}
	return clean >= 2 && clean >= 4*others
}
