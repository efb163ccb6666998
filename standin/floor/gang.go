package floor

import "turmericgap/worker"

// members gives the runs of one gang that are present, with their workers.
func (f *Cluster) members(key runKey) map[*running]*Worker {
	out := make(map[*running]*Worker)
	for _, w := range f.workers {
		for k, r := range w.runs {
			same := k.task
			same.Index = key.task.Index
			if same == key.task && k.run == key.run {
				out[r] = w
			}
		}
	}
	return out
}

// gather lets a gang work once all its members are present.
func (f *Cluster) gather(key runKey, size int) {
	members := f.members(key)
	if len(members) < size {
		return
	}
	for r, w := range members {
		w.work(r)
	}
}

// endGang ends the other members: as done beside one that is done, else as broken.
func (f *Cluster) endGang(key runKey, how worker.Ending) {
	rest := worker.EndingBroken
	if how == worker.EndingDone {
		rest = worker.EndingDone
	}
	for r, w := range f.members(key) {
		if w.runs[r.key] == r {
			w.end(r, rest)
		}
	}
}
