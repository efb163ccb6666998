package tally

import "turmericgap/aging"

// Outcome is the outcome of a work, as written to logs and metrics.
type Outcome string

// The outcomes of a work.
const (
	Taken     Outcome = "taken"
	InTime    Outcome = "inTime"
	Late      Outcome = "late"
	Lost      Outcome = "lost" // expired before it was done
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome { return []Outcome{Taken, InTime, Late, Lost, Failed, Cancelled} }

// Class identifies the works of one size class in one queue.
type Class struct {
	Queue string
	Size  aging.Class
}

// Tally counts the outcomes of a class of works.
type Tally struct {
	counts map[Outcome]int
	// logged is true if all counts were logged.
	logged bool
}

// Count returns the number of works with an outcome.
func (t *Tally) Count(o Outcome) int { return t.counts[o] }

// Table holds the tallies of all classes.
type Table map[Class]*Tally

// Count counts an outcome of a work.
func (t Table) Count(class Class, outcome Outcome) {
	if t[class] == nil {
		t[class] = &Tally{counts: make(map[Outcome]int)}
	}
	t[class].counts[outcome]++
	t[class].logged = false
}

// Changed returns the tallies to log: those with changed counts, and those for which always returns true. The queues of
// a cell come and go, and a line each second for every queue that ever existed would fill the log.
func (t Table) Changed(always func(Class) bool) map[Class]*Tally {
	out := make(map[Class]*Tally)
	for class, tally := range t {
		if !tally.logged || always(class) {
			tally.logged = true
			out[class] = tally
		}
	}
	return out
}
