package dispatch

// pass is one look over all that waits, and the room that it works in.
type pass struct {
	// number counts the passes; what was worked out for an earlier one holds no longer.
	number int64
	// tried and looks count the stages that were tried and the workers that were looked at for them.
	tried, looks int
	// reservations counts those of the pass.
	reservations int
	// reserved and claimed list the workers with room that this pass and the one before have kept for gangs.
	reserved, claimed []*node
	order             []urgency
	choices           []choice
	chosen            []*node
	unnamed           []candidate
}

func newPass() pass { return pass{number: 1} }

// begin makes a new pass of the one before.
func (p *pass) begin() {
	p.number++
	p.tried, p.looks, p.reservations = 0, 0, 0
}

// end clears what would keep works and workers in memory that are gone.
func (p *pass) end() {
	clear(p.order)
	clear(p.choices[:cap(p.choices)])
	clear(p.chosen[:cap(p.chosen)])
	clear(p.unnamed[:cap(p.unnamed)])
}
