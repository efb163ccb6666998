package fleet

import "slices"

// work is what is known of a job or of a class: on which members it failed and on which it
// succeeded, up to maxPlaces each.
type work struct {
	failedOn []string
	okOn     []string
}

// work gives what is known under the name; beyond the bound nothing new is remembered.
func (f *Fleet) work(of map[string]*work, name string) *work {
	w, ok := of[name]
	if !ok {
		w = &work{}
		if len(of) < MaxWork {
			of[name] = w
		}
	}
	return w
}

func (w *work) succeeded(id string) { w.okOn = addPlace(w.okOn, id) }

func (w *work) failed(id string) { w.failedOn = addPlace(w.failedOn, id) }

func addPlace(places []string, id string) []string {
	if len(places) >= maxPlaces || slices.Contains(places, id) {
		return places
	}
	return append(places, id)
}

// clean counts the members on which the work succeeded and never failed.
func (w *work) clean() int {
	n := 0
	for _, id := range w.okOn {
		if !slices.Contains(w.failedOn, id) {
			n++
		}
	}
	return n
}

// failing tells whether work fails on enough members that are sound otherwise.
func (f *Fleet) failing(w *work, own func(failure) bool) bool {
	if w == nil || len(w.okOn) > 0 {
		return false
	}
	proven, plausible := 0, 0
	for _, id := range w.failedOn {
		m, ok := f.members[id]
		if !ok || f.failsOtherwise(m, own) {
			continue
		}
		plausible++
		if !m.lastOK.IsZero() {
			proven++
		}
	}
	return proven >= f.opts.Witnesses || plausible >= 2*f.opts.Witnesses
}

// failsOtherwise tells whether anything else has failed on the member since its last success.
func (f *Fleet) failsOtherwise(m *member, own func(failure) bool) bool {
	return slices.ContainsFunc(m.failures, func(x failure) bool { return !own(x) })
}

// alone tells whether the work has failed on no member but m.
func (f *Fleet) alone(w *work, m *member) bool {
	return w == nil || len(w.failedOn) == 0 || (len(w.failedOn) == 1 && w.failedOn[0] == m.id)
}

// succeedsElsewhere tells whether the work runs well on others: on two at least, and on four times
// as many as the ones, m and the ejected aside, on which it fails.
func (f *Fleet) succeedsElsewhere(w *work, m *member) bool {
	if w == nil {
		return false
	}
	others := 0
	for _, id := range w.failedOn {
		if o, ok := f.members[id]; ok && o != m && !o.ejected {
			others++
		}
	}
	clean := w.clean()
	return clean >= 2 && clean >= 4*others
}
