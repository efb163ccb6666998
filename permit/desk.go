package permit

import "time"

// Kinds of questions by what they cost. A check asks for some ten to twenty milliseconds, a batch for
// about a hundred, a roster for a second.
const (
	LongRequestCost   = 300 * time.Millisecond
	MediumRequestCost = 50 * time.Millisecond
)

const (
	// handAhead is how much work a VM may have when it gets a longer question: about the way of an
	// answer, so that the service does not stand idle. More would wait there while questions that are
	// more urgent come up; what is not handed over waits with its owner, in the order of urgency.
	handAhead = 20 * time.Millisecond
	// shortAhead is the same for short questions, which have nothing to wait for but each other.
	shortAhead = 400 * time.Millisecond
	// shortOnly is the part of the VMs, one of so many, that gets short questions alone, notLong that which
	// gets no long ones; both at most, since what these questions take grows less than the cell.
	shortOnly     = 4
	shortOnlyMost = 6
	notLong       = 2
	notLongMost   = 12
)

// VMSelector chooses the entry VM from which a question is put. The service answers one question at a time
// for each VM, so that the choice decides how long it waits there. It belongs to one goroutine.
type VMSelector struct {
	// busy is until when the questions that were handed to a VM keep it.
	busy map[string]time.Time
	// failures counts the questions in a row that a VM has not answered.
	failures map[string]int
	// found holds, for each kind of question, what the latest search has found.
	found [kinds]found
}

// kind is a kind of question by what it costs.
type kind int

const (
	short kind = iota
	medium
	long
	kinds
)

// found is what a search for a VM has found. Many works look for one at the same time, and each search looks at all
// VMs of the cell.
type found struct {
	// vm is free from start on, as it was seen at the time at; empty is none, before the time until.
	vm        string
	start, at time.Time
	until     time.Time
}

const (
	// restAfter is how long a VM is left alone after a question without an answer, twice as long after
	// each further one up to restMost: a VM that is cut off would look idle, and each check that asks
	// from there would lose more time than its objective leaves.
	restAfter = time.Second
	restMost  = 8 * time.Second
)

// NewVMSelector returns a Desk at which nothing waits.
func NewVMSelector() *VMSelector {
	return &VMSelector{busy: make(map[string]time.Time), failures: make(map[string]int)}
}

// Pick gives the VM that can answer a question of this cost first, and until when that takes; false
// where none may have it now. Long questions are kept to the first half of the VMs and medium ones off
// the last quarter: behind one of them a check would wait longer than its objective allows.
func (d *VMSelector) Pick(vms []string, cost time.Duration, now time.Time) (vm string, until time.Time, ok bool) {
	best, start := d.first(vms, cost, now)
	if best == "" {
		return "", time.Time{}, false
	}
	until = start.Add(cost)
	d.busy[best] = until
	d.found = [kinds]found{}
	return best, until, true
}

// CanPick reports whether Pick would find a VM.
func (d *VMSelector) CanPick(vms []string, cost time.Duration, now time.Time) bool {
	best, _ := d.first(vms, cost, now)
	return best != ""
}

// first gives the VM that is free first among those that may have a question, or none.
func (d *VMSelector) first(vms []string, cost time.Duration, now time.Time) (best string, start time.Time) {
	k := kindOf(cost)
	f := &d.found[k]
	if !f.at.Equal(now) && !now.Before(f.until) {
		*f = d.search(vms, k, now)
	}
	return f.vm, f.start
}

func kindOf(cost time.Duration) kind {
	switch {
	case cost > LongRequestCost:
		return long
	case cost > MediumRequestCost:
		return medium
	}
	return short
}

// search looks at all VMs that may have a question of that kind.
func (d *VMSelector) search(vms []string, k kind, now time.Time) found {
	ahead := handAhead
	switch k {
	case long:
		vms = vms[:len(vms)-min(len(vms)/notLong, notLongMost)]
	case medium:
		vms = vms[:len(vms)-min(len(vms)/shortOnly, shortOnlyMost)]
	default:
		ahead = shortAhead
	}
	f := found{at: now}
	for i, id := range vms {
		at := d.busy[id]
		if at.Before(now) {
			at = now
		}
		// Among VMs that are equally free the later ones go first, which have no long questions.
		if at.Sub(now) <= ahead && (f.vm == "" || !at.After(f.start)) {
			f.vm, f.start = id, at
		}
		// A VM is never busy for less long than it was, so that none is free before the first of them.
		if free := at.Add(-ahead); i == 0 || free.Before(f.until) {
			f.until = free
		}
	}
	if f.vm != "" {
		f.until = time.Time{}
	}
	return f
}

// RecordFailure notes that a VM gave no answer.
func (d *VMSelector) RecordFailure(vm string, now time.Time) {
	rest := min(restAfter<<min(d.failures[vm], 8), restMost)
	d.failures[vm]++
	if until := now.Add(rest); until.After(d.busy[vm]) {
		d.busy[vm] = until
	}
	d.found = [kinds]found{}
}

// RecordSuccess notes that a VM gave an answer.
func (d *VMSelector) RecordSuccess(vm string) { delete(d.failures, vm) }

// RetainVMs forgets the VMs that are no longer there.
func (d *VMSelector) RetainVMs(vms []string) {
	d.found = [kinds]found{}
	there := make(map[string]bool, len(vms))
	for _, id := range vms {
		there[id] = true
	}
	for id := range d.busy {
		if !there[id] {
			delete(d.busy, id)
			delete(d.failures, id)
		}
	}
}
