package presence

// Gang is what an owner knows of one run of a gang.
type Gang struct {
	// Complete is true once all members are known to have been present at the same time. Each start has then been
	// carried out, and a worker refuses to carry out a start of the same run again.
	Complete bool
	// Broken is true if a worker reported that a member ended because another one had, before this owner stopped any
	// member.
	Broken bool
}

// Ended returns the proof, if there is one, that no member can be present any more. A broken member alone proves the end
// of the members that were present with it; one whose start is carried out later waits on its worker for the others.
func (g Gang) Ended() (Proof, bool) {
	if g.Complete && g.Broken {
		return GangEnded, true
	}
	return "", false
}
