package dispatch

import (
	"slices"
	"time"
)

// pass is one look over all that waits, and the room that it works in.
type pass struct {
	// number counts the passes; what was worked out for an earlier one holds no longer.
	number int64
	// part counts the parts of passes: what holds only while no other event is taken in holds for one of them.
	part int64
	// since is when what it takes in had changed, rest what it has not come to yet.
	since     time.Time
	remaining []urgency
	// examinedReported is how many of the looks were told to Spend.
	examinedReported int
	// triedStages and examined count the stages that were triedStages and the workers that were looked at for them.
	triedStages, examined int
	// took is how long it took by now.
	took time.Duration
	// plannedMillicores is the processors, in millicores, that are plannedMillicores for gangs which gather room.
	plannedMillicores int64
	// reservedNodes and claimedNodes list the workers with room that this pass and the one before have kept for gangs.
	reservedNodes, claimedNodes []*node
	order                       []urgency
	choices                     []choice
	chosen                      []*node
	unnamed                     []candidate
}

func newPass() pass { return pass{number: 1, part: 1} }

// begin makes a new pass of the one before.
func (p *pass) begin(now time.Time) {
	p.number++
	p.since, p.took = now, 0
	p.triedStages, p.examined, p.examinedReported, p.plannedMillicores = 0, 0, 0, 0
}

// expiredPerPass is how many of the steps that are worth nothing any more are tried in each pass.
const expiredPerPass = 64

// limitExpired keeps of the steps that are worth nothing any more, which stand last, a few at a time, others in each pass:
// all are done in the end. After an overload there are thousands of them, and a pass over all of them would keep what
// can still be in time waiting for its turn.
func (p *pass) limitExpired(order []urgency) []urgency {
	first := len(order)
	for first > 0 && order[first-1].lateness == latenessExpired {
		first--
	}
	if len(order)-first <= expiredPerPass {
		return order
	}
	// Those with room that is kept for them have their turn: it is free for nobody before.
	var some, others []urgency
	for _, u := range order[first:] {
		if len(u.stage.setAside) > 0 {
			some = append(some, u)
		} else {
			others = append(others, u)
		}
	}
	if n := len(others); n > expiredPerPass {
		from := int(p.number) * expiredPerPass % n
		others = slices.Concat(others[from:], others[:from])[:expiredPerPass]
	}
	return append(append(order[:first], some...), others...)
}

// end clears what would keep works and workers in memory that are gone.
func (p *pass) end() {
	clear(p.order)
	p.remaining = nil
	clear(p.choices[:cap(p.choices)])
	clear(p.chosen[:cap(p.chosen)])
	clear(p.unnamed[:cap(p.unnamed)])
}
