package fleet

import (
	"maps"
	"slices"
	"time"
)

// outcomeHistory lists the members on which a job or a class succeeded and failed, up to maxMembersPerHistory of
// each. A nil history is empty.
type outcomeHistory struct {
	succeededOn []string
	failedOn    []string
	// recentFailures lists the members on which it failed since its last success.
	recentFailures []string
	updatedAt      time.Time
}

// history returns the history of a job or class. Beyond MaxTracked, new histories are not stored.
func (f *Fleet) history(histories map[string]*outcomeHistory, name string, now time.Time) *outcomeHistory {
	h, ok := histories[name]
	if !ok {
		h = &outcomeHistory{}
		if name != "" && len(histories) < MaxTracked {
			histories[name] = h
		}
	}
	h.updatedAt = now
	return h
}

// trimHistories drops the histories that were not updated within historyRetention.
func (f *Fleet) trimHistories(now time.Time) {
	for _, histories := range []map[string]*outcomeHistory{f.jobs, f.classes} {
		maps.DeleteFunc(histories, func(_ string, h *outcomeHistory) bool { return now.Sub(h.updatedAt) > historyRetention })
	}
}

func (h *outcomeHistory) recordSuccess(id string) {
	h.succeededOn = addMember(h.succeededOn, id)
	h.recentFailures = nil
}

func (h *outcomeHistory) recordFailure(id string) {
	h.failedOn = addMember(h.failedOn, id)
	h.recentFailures = addMember(h.recentFailures, id)
}

func addMember(ids []string, id string) []string {
	if len(ids) >= maxMembersPerHistory || slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

// failedOnlyOn reports whether there are no failures on any member other than the given one.
func (h *outcomeHistory) failedOnlyOn(id string) bool {
	return h == nil || !slices.ContainsFunc(h.failedOn, func(o string) bool { return o != id })
}

// jobFailing reports whether a job is at fault itself; a job with any successful task never is.
func (f *Fleet) jobFailing(job string) bool {
	h := f.jobs[job]
	return h != nil && len(h.succeededOn) == 0 && f.failsOnHealthyMembers(h.recentFailures, func(x failure) bool { return x.job == job })
}

// classFailing reports whether a class has been at fault itself since its last success.
func (f *Fleet) classFailing(class string) bool {
	h := f.classes[class]
	return h != nil && f.failsOnHealthyMembers(h.recentFailures, func(x failure) bool { return x.class == class })
}

// failsOnHealthyMembers reports whether enough of the members on which a job or class failed are otherwise
// healthy: other work succeeded there recently and has not failed since. Members without a recent success count
// only if there are twice as many.
func (f *Fleet) failsOnHealthyMembers(ids []string, own func(failure) bool) bool {
	other := func(x failure) bool { return !own(x) }
	healthy, possiblyHealthy := 0, 0
	for _, id := range ids {
		m, ok := f.members[id]
		if !ok || slices.ContainsFunc(m.failures, other) || slices.ContainsFunc(m.ejectionFailures, other) {
			continue
		}
		possiblyHealthy++
		if !m.lastSuccess.IsZero() && f.latest.Sub(m.lastSuccess) <= f.opts.FailureWindow {
			healthy++
		}
	}
	return healthy >= f.opts.MinHealthyFailures || possiblyHealthy >= 2*f.opts.MinHealthyFailures
}

// succeedsElsewhere reports whether the work succeeds on at least two other members, and on at least four times
// as many members as it fails on, not counting m and ejected members.
func (f *Fleet) succeedsElsewhere(h *outcomeHistory, m *member) bool {
	if h == nil {
		return false
	}
	succeeding, failing := 0, 0
	for _, id := range h.succeededOn {
		if !slices.Contains(h.failedOn, id) {
			succeeding++
		}
	}
	for _, id := range h.failedOn {
		if o, ok := f.members[id]; ok && o != m && !o.ejected {
			failing++
		}
	}
	return succeeding >= 2 && succeeding >= 4*failing
}
