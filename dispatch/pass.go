package dispatch

import (
	"slices"
	"time"
)

// pass is one look over all that waits, and the room that it works in.
type pass struct {
	// number counts the passes; what was worked out for an earlier one holds no longer.
	number int64
	// moment counts the parts of passes: what holds only while no other event is taken in holds for one of them.
	moment int64
	// since is when what it takes in had changed, rest what it has not come to yet.
	since time.Time
	rest  []urgency
	// spent is how many of the looks were told to Spend.
	spent int
	// tried and looks count the stages that were tried and the workers that were looked at for them.
	tried, looks int
	// took is how long it took by now.
	took time.Duration
	// planned is the processors, in millicores, that are planned for gangs which gather room.
	planned int64
	// reserved and claimed list the workers with room that this pass and the one before have kept for gangs.
	reserved, claimed []*node
	order             []urgency
	choices           []choice
	chosen            []*node
	unnamed           []candidate
}

func newPass() pass { return pass{number: 1, moment: 1} }

// begin makes a new pass of the one before.
func (p *pass) begin(now time.Time) {
	p.number++
	p.since, p.took = now, 0
	p.tried, p.looks, p.spent, p.planned = 0, 0, 0, 0
}

// lostTried is how many of the steps that are worth nothing any more are tried in each pass.
const lostTried = 64

// someLost keeps of the steps that are worth nothing any more, which stand last, a few at a time, others in each pass:
// all are done in the end. After an overload there are thousands of them, and a pass over all of them would keep what
// can still be in time waiting for its turn.
func (p *pass) someLost(order []urgency) []urgency {
	first := len(order)
	for first > 0 && order[first-1].hope == hopeNone {
		first--
	}
	if len(order)-first <= lostTried {
		return order
	}
	// Those with room that is kept for them have their turn: it is free for nobody before.
	var some, others []urgency
	for _, u := range order[first:] {
		if len(u.s.kept) > 0 {
			some = append(some, u)
		} else {
			others = append(others, u)
		}
	}
	if n := len(others); n > lostTried {
		from := int(p.number) * lostTried % n
		others = slices.Concat(others[from:], others[:from])[:lostTried]
	}
	return append(append(order[:first], some...), others...)
}

// end clears what would keep works and workers in memory that are gone.
func (p *pass) end() {
	clear(p.order)
	p.rest = nil
	clear(p.choices[:cap(p.choices)])
	clear(p.chosen[:cap(p.chosen)])
	clear(p.unnamed[:cap(p.unnamed)])
}
