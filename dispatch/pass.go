package dispatch

import (
	"slices"
	"time"

	"turmericgap/account"
)

// pass is one scheduling pass over all waiting stages, with buffers that passes reuse.
type pass struct {
	// number counts the passes; it marks values as computed by a certain pass.
	number int64
	// part counts the parts into which passes are split by passBudget. The loop handles no event during a part, so that
	// values cached for it stay valid.
	part int64
	// since is the time of the oldest change that led to this pass. remaining holds the stages that it has yet to try.
	since     time.Time
	remaining []urgency
	// examinedReported is the part of examined that was already passed to OnExamined.
	examinedReported int
	// triedStages counts the stages tried, examined the workers examined for them.
	triedStages, examined int
	// took is the time spent on this pass so far.
	took time.Duration
	// plannedMillicores is the CPU reserved for gangs that wait for capacity.
	plannedMillicores int64
	// reservedNodes lists the workers on which this pass reserved capacity for gangs, claimedNodes those on which the
	// previous pass did.
	reservedNodes, claimedNodes []*node
	order                       []urgency
	choices                     []choice
	chosen                      []*node
	unnamed                     []candidate
	grouped                     []urgency
	waiting                     []account.Waiting
}

func newPass() pass { return pass{number: 1, part: 1} }

// begin resets the pass for the next one.
func (p *pass) begin(now time.Time) {
	p.number++
	p.since, p.took = now, 0
	p.triedStages, p.examined, p.examinedReported, p.plannedMillicores = 0, 0, 0, 0
}

// expiredPerPass is the number of expired stages tried in each pass.
const expiredPerPass = 64

// limitExpired drops most of the expired stages, which come last, and keeps a different few in each pass, so that all
// of them run in the end. After an overload there are thousands, and trying all of them would delay the stages that can
// still be on time.
func (p *pass) limitExpired(order []urgency) []urgency {
	first := len(order)
	for first > 0 && order[first-1].lateness == latenessExpired {
		first--
	}
	if len(order)-first <= expiredPerPass {
		return order
	}
	// Always try expired stages with capacity set aside, since it is released only when they are tried.
	var holding, others []urgency
	for _, u := range order[first:] {
		if len(u.stage.setAside) > 0 {
			holding = append(holding, u)
		} else {
			others = append(others, u)
		}
	}
	if n := len(others); n > expiredPerPass {
		from := int(p.number) * expiredPerPass % n
		others = slices.Concat(others[from:], others[:from])[:expiredPerPass]
	}
	return append(append(order[:first], holding...), others...)
}

// end clears the buffers, so that they do not keep finished works and removed workers in memory.
func (p *pass) end() {
	clear(p.order)
	p.remaining = nil
	clear(p.choices[:cap(p.choices)])
	clear(p.chosen[:cap(p.chosen)])
	clear(p.unnamed[:cap(p.unnamed)])
	clear(p.grouped[:cap(p.grouped)])
	clear(p.waiting[:cap(p.waiting)])
}
