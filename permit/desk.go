package permit

import "time"

// LongQuestion parts long questions from short ones: it is above what a question on a batch of
// medium size costs and far below that on a large one.
const LongQuestion = 300 * time.Millisecond

// Desk chooses the entry VM from which a question is put. The service answers one question at a time
// for each VM, so that the choice decides how long it waits there. It belongs to one goroutine.
type Desk struct {
	// busy is until when the questions that were handed to a VM keep it.
	busy map[string]time.Time
	// failures counts the questions in a row that a VM has not answered.
	failures map[string]int
}

const (
	// restAfter is how long a VM is left alone after a question without an answer, twice as long after
	// each further one up to restMost: a VM that is cut off would look idle, and each check that asks
	// from there would lose more time than its objective leaves.
	restAfter = time.Second
	restMost  = 8 * time.Second
)

// NewDesk returns a Desk at which nothing waits.
func NewDesk() *Desk {
	return &Desk{busy: make(map[string]time.Time), failures: make(map[string]int)}
}

// Pick gives the VM that can answer a question of this cost first, and until when that takes; false
// where there is none. Long questions are kept to the first half of the VMs: behind one of them a
// check would wait longer than its objective allows.
func (d *Desk) Pick(vms []string, cost time.Duration, now time.Time) (vm string, until time.Time, ok bool) {
	if len(vms) == 0 {
		return "", time.Time{}, false
	}
	if cost > LongQuestion {
		vms = vms[:(len(vms)+1)/2]
	}
	best := -1
	var start time.Time
	for i, id := range vms {
		at := d.busy[id]
		if at.Before(now) {
			at = now
		}
		// Among VMs that are equally free the later ones go first, which have no long questions.
		if best < 0 || !at.After(start) {
			best, start = i, at
		}
	}
	until = start.Add(cost)
	d.busy[vms[best]] = until
	return vms[best], until, true
}

// Failed notes that a VM gave no answer.
func (d *Desk) Failed(vm string, now time.Time) {
	rest := min(restAfter<<min(d.failures[vm], 8), restMost)
	d.failures[vm]++
	if until := now.Add(rest); until.After(d.busy[vm]) {
		d.busy[vm] = until
	}
}

// Answered notes that a VM gave an answer.
func (d *Desk) Answered(vm string) { delete(d.failures, vm) }

// Keep forgets the VMs that are no longer there.
func (d *Desk) Keep(vms []string) {
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
