package dispatch

// updateIndex updates the worker's position in the index of free CPU.
func (n *node) updateIndex() {
	n.position.Update(n.listing.Zone, n.free.Millicores-n.setAside.Millicores)
}

// fitsNowhere reports whether a task of the stage surely fits on no worker. In a full cell this saves waiting stages
// from examining all their workers.
func (t *term) fitsNowhere(s *stage) bool { return t.capacity.MaxFree() < s.taskResources().Millicores }
