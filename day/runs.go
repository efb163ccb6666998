package day

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// maxRuns limits the starts and runs that are kept, which take up to 40 bytes of memory each.
	maxRuns = 4_000_000
	// maxRunMillis is the longest duration of a run that is believed. A run that a former owner had started is logged with
	// a duration of centuries.
	maxRunMillis = 24 * 3600 * 1000
	// longRunFactor is the multiple of the median of its queue from which a run is reported as long.
	longRunFactor = 4
	// minSpeedRuns is how many runs of a worker must be comparable for it to be ranked by speed.
	minSpeedRuns = 5
	// outcomeDone is how a run ended that has done its task.
	outcomeDone = "done"
)

// taskRun is a run that was done.
type taskRun struct {
	occurrence, step, task, worker int32
	number                         int64
	millis                         float64
	// comparable is false for the run of a gang member, or one that may be: it takes as long as that of the slowest member.
	comparable bool
}

// addRun records a decided start, or a run that was done.
func (d *Analyzer) addRun(w *work, l *line) {
	isStart, isRun := l.Msg == "dispatch: start decided", l.Msg == "dispatch: run ended" && l.How == outcomeDone && l.After > 0 && l.After < maxRunMillis
	if l.Worker == "" || !isStart && !isRun {
		return
	}
	if d.runs >= maxRuns {
		d.skippedWorkLines++
		return
	}
	d.runs++
	worker, known := d.workers[l.Worker]
	if !known {
		worker = int32(len(d.workers))
		d.workers[l.Worker] = worker
	}
	if isStart {
		w.starts = append(w.starts, start{int32(l.Occurrence), int32(l.Step), worker})
		return
	}
	w.done = append(w.done, taskRun{
		occurrence: int32(l.Occurrence), step: int32(l.Step), task: int32(l.Task), worker: worker, number: l.Run,
		millis: l.After, comparable: l.Gang != nil && !*l.Gang,
	})
}

// RunTimes summarizes the run times of a queue.
type RunTimes struct {
	Queue string `json:"queue"`
	// Runs counts the runs that were done, Median is in milliseconds.
	Runs   int     `json:"runs"`
	Median float64 `json:"median"`
	// Long counts the runs that took more than four times the median, LongShare is their share of the time of all runs.
	Long      int     `json:"long"`
	LongShare float64 `json:"longShare"`
}

// LongRun is a run that took more than four times the median of its queue.
type LongRun struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// Task is the occurrence, step and index of the task.
	Task   string  `json:"task"`
	Run    int64   `json:"run"`
	Worker string  `json:"worker"`
	Took   float64 `json:"took"`
	// Times is Took divided by the median.
	Times float64 `json:"times"`
}

// runTimes returns the run times by queue, and the runs that took longest compared with the median.
func (d *Analyzer) runTimes(works []classifiedWork) (times []RunTimes, longest []LongRun) {
	names := d.workerNames()
	byQueue := make(map[string][]float64)
	for _, w := range works {
		for i := range w.done {
			byQueue[w.queue] = append(byQueue[w.queue], w.done[i].millis)
		}
	}
	medians := make(map[string]float64)
	for queue, millis := range byQueue {
		slices.Sort(millis)
		t := RunTimes{Queue: queue, Runs: len(millis), Median: median(millis)}
		long, all := 0.0, 0.0
		for _, m := range millis {
			all += m
			if m > longRunFactor*t.Median {
				t.Long++
				long += m
			}
		}
		t.LongShare = long / all
		medians[queue] = t.Median
		times = append(times, t)
	}
	for _, w := range works {
		for i := range w.done {
			r := &w.done[i]
			if r.millis > longRunFactor*medians[w.queue] {
				longest = append(longest, LongRun{
					ID: w.id, Queue: w.queue, Task: fmt.Sprintf("%d.%d.%d", r.occurrence, r.step, r.task), Run: r.number,
					Worker: names[r.worker], Took: r.millis, Times: r.millis / medians[w.queue],
				})
			}
		}
	}
	slices.SortFunc(times, func(a, b RunTimes) int { return cmp.Compare(a.Queue, b.Queue) })
	slices.SortFunc(longest, func(a, b LongRun) int {
		return cmp.Or(cmp.Compare(b.Times, a.Times), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
	return times, longest[:min(len(longest), d.opts.MaxNamed)]
}

// workerNames returns the names of the workers by index.
func (d *Analyzer) workerNames() []string {
	names := make([]string, len(d.workers))
	for name, i := range d.workers {
		names[i] = name
	}
	return names
}

// median returns the median of sorted values.
func median(sorted []float64) float64 { return stat.Quantile(0.5, stat.Empirical, sorted, nil) }

// Third names a third of the workers by speed.
type Third string

// The thirds.
const (
	Fast   Third = "fast"
	Middle Third = "middle"
	Slow   Third = "slow"
)

var thirds = []Third{Fast, Middle, Slow}

// SpeedGroup summarizes the works of a queue whose longest run was on a worker of one third.
type SpeedGroup struct {
	Queue string `json:"queue"`
	Third Third  `json:"third"`
	// Workers counts the workers of the third. Factor is the median of how many times longer tasks ran on them than on a
	// typical worker.
	Workers int     `json:"workers"`
	Factor  float64 `json:"factor"`
	InTime  int     `json:"inTime"`
	Late    int     `json:"late"`
	Lost    int     `json:"lost"`
	// LateShare is the share of the late and lost works.
	LateShare float64 `json:"lateShare"`
}

// speedGroups returns the works that ended or were lost by queue and by the third of speed of the worker of their
// longest run. It is empty if fewer than three workers can be ranked.
func (d *Analyzer) speedGroups(works []classifiedWork) []SpeedGroup {
	factors := workerFactors(works)
	ranked := make([]int32, 0, len(factors))
	for worker := range factors {
		ranked = append(ranked, worker)
	}
	if len(ranked) < len(thirds) {
		return nil
	}
	names := d.workerNames()
	slices.SortFunc(ranked, func(a, b int32) int {
		return cmp.Or(cmp.Compare(factors[a], factors[b]), cmp.Compare(names[a], names[b]))
	})
	thirdOf := make(map[int32]int, len(ranked))
	members := make([][]float64, len(thirds))
	for i, worker := range ranked {
		third := i * len(thirds) / len(ranked)
		thirdOf[worker] = third
		members[third] = append(members[third], factors[worker])
	}
	byQueue := make(map[string][]SpeedGroup)
	for _, w := range works {
		third, ok := w.thirdOfLongestRun(thirdOf)
		if !ok {
			continue
		}
		groups := byQueue[w.queue]
		if groups == nil {
			for i, name := range thirds {
				groups = append(groups, SpeedGroup{Queue: w.queue, Third: name, Workers: len(members[i]), Factor: median(members[i])})
			}
			byQueue[w.queue] = groups
		}
		groups[third].add(w.outcome)
	}
	var out []SpeedGroup
	for _, groups := range byQueue {
		out = append(out, groups...)
	}
	slices.SortStableFunc(out, func(a, b SpeedGroup) int { return cmp.Compare(a.Queue, b.Queue) })
	return out
}

func (g *SpeedGroup) add(o Outcome) {
	switch o {
	case InTime:
		g.InTime++
	case Late:
		g.Late++
	case Lost:
		g.Lost++
	default:
	}
	if all := g.InTime + g.Late + g.Lost; all > 0 {
		g.LateShare = float64(g.Late+g.Lost) / float64(all)
	}
}

// thirdOfLongestRun returns the third of the worker of the longest run, if that is known and the work has ended in time or
// late, or was lost.
func (w *classifiedWork) thirdOfLongestRun(thirdOf map[int32]int) (third int, ok bool) {
	if len(w.done) == 0 || w.outcome != InTime && w.outcome != Late && w.outcome != Lost {
		return 0, false
	}
	longest := slices.MaxFunc(w.done, func(a, b taskRun) int {
		return cmp.Or(cmp.Compare(a.millis, b.millis), cmp.Compare(b.occurrence, a.occurrence), cmp.Compare(b.step, a.step),
			cmp.Compare(b.task, a.task), cmp.Compare(b.number, a.number))
	})
	third, ok = thirdOf[longest.worker]
	return third, ok
}

// factorRounds is the number of rounds in which workers and steps are compared with each other.
const factorRounds = 6

// observation is the logarithm of the duration of a run, with the index of its step.
type observation struct {
	worker int32
	step   int
	log    float64
}

// workerFactors returns how many times longer tasks ran on each worker than on a typical one. The duration of a run is
// taken for the product of what its step takes on a typical worker and the factor of its worker. Each is estimated from
// the other in turns. What a step takes is also compared with the typical run of its queue, as one more run, because all
// tasks of a step may run on workers of one speed.
func workerFactors(works []classifiedWork) map[int32]float64 {
	observed, typical := observations(works)
	logFactors := make(map[int32]float64)
	for range factorRounds {
		sums, counts := slices.Clone(typical), make([]int, len(typical))
		for _, o := range observed {
			sums[o.step] += o.log - logFactors[o.worker]
			counts[o.step]++
		}
		differences := make(map[int32][]float64)
		for _, o := range observed {
			differences[o.worker] = append(differences[o.worker], o.log-sums[o.step]/float64(counts[o.step]+1))
		}
		for worker, list := range differences {
			if len(list) >= minSpeedRuns {
				slices.Sort(list)
				logFactors[worker] = median(list)
			}
		}
	}
	factors := make(map[int32]float64)
	for worker, f := range logFactors {
		factors[worker] = math.Exp(f)
	}
	return factors
}

// observations returns the comparable runs in a fixed order, which keeps floating point sums reproducible, and for each
// step the logarithm of the typical duration of its queue.
func observations(works []classifiedWork) (observed []observation, typical []float64) {
	type step struct{ occurrence, step int32 }
	logs := make(map[string][]float64)
	var queues []string
	for _, w := range works {
		slices.SortFunc(w.done, func(a, b taskRun) int {
			return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task), cmp.Compare(a.number, b.number))
		})
		steps := make(map[step]int)
		for i := range w.done {
			r := &w.done[i]
			if !r.comparable {
				continue
			}
			key := step{r.occurrence, r.step}
			if _, known := steps[key]; !known {
				steps[key] = len(queues)
				queues = append(queues, w.queue)
			}
			o := observation{worker: r.worker, step: steps[key], log: math.Log(r.millis)}
			observed = append(observed, o)
			logs[w.queue] = append(logs[w.queue], o.log)
		}
	}
	medians := make(map[string]float64)
	for queue, list := range logs {
		slices.Sort(list)
		medians[queue] = median(list)
	}
	for _, queue := range queues {
		typical = append(typical, medians[queue])
	}
	return observed, typical
}

func (r *Report) printRuns(p *printer) {
	if len(r.Speeds) > 0 {
		p.beginTable("Works by the speed of the worker of their longest run", "QUEUE", "THIRD", "WORKERS", "FACTOR", "IN TIME", "LATE", "LOST", "LATE SHARE")
		for i := range r.Speeds {
			g := &r.Speeds[i]
			p.row(g.Queue, string(g.Third), fmt.Sprint(g.Workers), fmt.Sprintf("%.2f", g.Factor), fmt.Sprint(g.InTime), fmt.Sprint(g.Late),
				fmt.Sprint(g.Lost), formatShare(g.InTime+g.Late+g.Lost, g.LateShare))
		}
	}
	if len(r.RunTimes) == 0 {
		return
	}
	p.beginTable("Run times", "QUEUE", "RUNS", "MEDIAN MS", "OVER 4 TIMES", "SHARE OF RUN TIME")
	for i := range r.RunTimes {
		t := &r.RunTimes[i]
		p.row(t.Queue, fmt.Sprint(t.Runs), fmt.Sprintf("%.0f", t.Median), fmt.Sprint(t.Long), fmt.Sprintf("%.2f", t.LongShare))
	}
	if len(r.LongRuns) == 0 {
		return
	}
	p.beginTable("Runs over four times the median of their queue", "ID", "QUEUE", "TASK", "RUN", "WORKER", "TOOK MS", "TIMES")
	for i := range r.LongRuns {
		l := &r.LongRuns[i]
		p.row(l.ID, l.Queue, l.Task, fmt.Sprint(l.Run), l.Worker, fmt.Sprintf("%.0f", l.Took), fmt.Sprintf("%.1f", l.Times))
	}
}
