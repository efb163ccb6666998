package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"turmericgap/job"
	"turmericgap/worker"
)

// Load is workers and the jobs that arrive.
type Load struct {
	Name    string
	Workers []worker.Info
	Jobs    []Arrival
	Quotas  map[string]job.Resources
	// From and To bound the time that is measured; jobs may end later.
	From time.Time
	To   time.Time
}

// Arrival is a job with what its declaration does not tell.
type Arrival struct {
	At   time.Time
	Spec *job.Submission
	// RunTimes holds the true run time of each task; a service has none and runs to the end.
	RunTimes []time.Duration
	// PeakUsage is what each task truly uses at its peak.
	PeakUsage job.Resources
}

// offered is the larger of the processor and memory shares.
func (l *Load) offered() float64 {
	var has, work job.Resources
	for i := range l.Workers {
		has = has.Plus(l.Workers[i].Has)
	}
	for i := range l.Jobs {
		a := &l.Jobs[i]
		seconds := 0
		for _, run := range a.RunTimes {
			seconds += int(run.Seconds())
		}
		if a.RunTimes == nil {
			seconds = a.Spec.Tasks * int(l.To.Sub(a.At).Seconds())
		}
		work = work.Plus(a.Spec.Each.Times(seconds))
	}
	seconds := l.To.Sub(l.From).Seconds()
	return max(
		float64(work.Millicores)/seconds/float64(has.Millicores),
		float64(work.MemoryMB)/seconds/float64(has.MemoryMB),
	)
}

// midnight is the evening's date for all loads: a Friday before a month's end.
var midnight = time.Date(2027, 2, 26, 0, 0, 0, 0, time.UTC)

// Offered shares. The nights are lower, since their work must end before the deadline.
const (
	nightLoad = 0.82
	peakLoad  = 0.9
)

type generator struct {
	*rand.Rand
	load Load
}

func newGenerator(name string, seed uint64, hours float64, from time.Duration) *generator {
	g := &generator{Rand: rand.New(rand.NewPCG(seed, 1))}
	g.load.Name = name
	g.load.From = midnight.Add(from)
	g.load.To = g.load.From.Add(time.Duration(hours * float64(time.Hour)))
	return g
}

// workers adds count workers, so many a rack, over the zones in turn.
func (g *generator) workers(count, perRack int, zones []string, has job.Resources) {
	from := len(g.load.Workers)
	for i := from; i < from+count; i++ {
		rack := i / perRack
		g.load.Workers = append(g.load.Workers, worker.Info{
			ID: fmt.Sprintf("vm%03d", i), Zone: zones[rack%len(zones)], Rack: fmt.Sprintf("rack%03d", rack), Has: has,
		})
	}
}

// kind is a sort of job, from which arrivals are drawn.
type kind struct {
	team, class string
	tasks       [2]int
	millicores  []int64
	// memoryPer is the memory in MB for each 1000 millicores, least and most.
	memoryPer    [2]int64
	accelerators int64
	run          time.Duration
	// spread is the sigma of the log-normal run times.
	spread  float64
	gang    bool
	service bool
	once    bool
	urgent  bool
	// deadline is when the answer is due; zero is never.
	deadline time.Time
}

func (g *generator) between(low, high int) int { return low + g.IntN(high-low+1) }

func (g *generator) add(at time.Time, k *kind) {
	s := &job.Submission{
		Key: fmt.Sprintf("%s-%05d", k.class, len(g.load.Jobs)), Team: k.team, Class: k.class, Kind: job.Batch,
		Tasks: g.between(k.tasks[0], k.tasks[1]), Gang: k.gang, Repeatable: !k.once, Urgent: k.urgent, Deadline: k.deadline,
	}
	s.Each.Millicores = k.millicores[g.IntN(len(k.millicores))]
	perCore := int64(g.between(int(k.memoryPer[0]), int(k.memoryPer[1])))
	s.Each.MemoryMB = max(100, s.Each.Millicores*perCore/1000)
	s.Each.Accelerators = k.accelerators
	if k.service {
		s.Kind = job.Service
	}
	// What is declared is off by up to a factor of three either way.
	s.RunSeconds = int64(k.run.Seconds()*math.Exp(g.Float64()*2.2-1.1)) + 1
	a := Arrival{At: at, Spec: s, PeakUsage: s.Each}
	a.PeakUsage.MemoryMB = s.Each.MemoryMB * int64(g.between(30, 100)) / 100
	a.PeakUsage.Millicores = s.Each.Millicores * int64(g.between(30, 100)) / 100
	if !k.service {
		for range s.Tasks {
			run := float64(k.run) * math.Exp(g.NormFloat64()*k.spread)
			a.RunTimes = append(a.RunTimes, max(time.Second/2, time.Duration(run)))
		}
	}
	g.load.Jobs = append(g.load.Jobs, a)
}

// poisson adds arrivals at random from one time to another, perHour of them on average.
func (g *generator) poisson(from, to time.Time, perHour float64, k *kind) {
	for at := from; ; {
		at = at.Add(time.Duration(g.ExpFloat64() / perHour * float64(time.Hour)))
		if !at.Before(to) {
			return
		}
		g.add(at, k)
	}
}

// done scales the run times of batch tasks until the offered work is the given share.
func (g *generator) done(offered float64) *Load {
	for range 3 {
		g.scale(offered / g.load.offered())
	}
	sort.SliceStable(g.load.Jobs, func(i, j int) bool { return g.load.Jobs[i].At.Before(g.load.Jobs[j].At) })
	return &g.load
}

func (g *generator) scale(factor float64) {
	for i := range g.load.Jobs {
		for k := range g.load.Jobs[i].RunTimes {
			g.load.Jobs[i].RunTimes[k] = time.Duration(float64(g.load.Jobs[i].RunTimes[k]) * factor)
		}
	}
}

// Kayal is a Friday night to the Saturday's briefing at 06:00: rosters and certificates under
// bookings, at about nine tenths of the cell while the rosters run.
func Kayal(seed uint64) *Load {
	g := newGenerator("kayal", seed, 12, 18*time.Hour)
	g.workers(50, 8, []string{"kochi-hall", "alappuzha-hall", "kollam-hall"}, job.Resources{Millicores: 16000, MemoryMB: 64000})
	from, to := g.load.From, g.load.To
	g.add(from, &kind{team: "desk", class: "desk", tasks: [2]int{50, 50}, millicores: []int64{2000}, memoryPer: [2]int64{2000, 2000}, service: true, run: time.Hour})
	briefing := to
	for _, branch := range []string{"kochi", "alappuzha", "kollam"} {
		roster := &kind{
			team: branch, class: "roster", tasks: [2]int{40, 120}, millicores: []int64{1000, 2000, 4000}, memoryPer: [2]int64{2000, 6000},
			run: 12 * time.Minute, spread: 0.5, deadline: briefing,
		}
		g.poisson(from.Add(time.Hour), to.Add(-100*time.Minute), 3.8, roster)
		large := *roster
		large.class, large.tasks, large.millicores, large.memoryPer = "fleet", [2]int{6, 10}, []int64{12000}, [2]int64{3000, 4500}
		large.run, large.gang, large.deadline = 20*time.Minute, true, briefing
		g.poisson(from, to.Add(-3*time.Hour), 1, &large)
		g.poisson(from, to, 10, &kind{
			team: branch, class: "certificate", tasks: [2]int{10, 60}, millicores: []int64{500, 1000}, memoryPer: [2]int64{1000, 4000},
			run: 4 * time.Minute, spread: 0.4, once: true,
		})
		g.poisson(from, to, 240, &kind{
			team: branch, class: "booking", tasks: [2]int{1, 1}, millicores: []int64{250, 500}, memoryPer: [2]int64{1000, 2000},
			run: 4 * time.Second, spread: 0.5,
		})
	}
	return g.done(nightLoad)
}

// Padan is a month-end night from 20:00 to 06:00: bulk matching that has to fit, sweeps and balance
// checks beside it.
func Padan(seed uint64) *Load {
	g := newGenerator("padan", seed, 10, 20*time.Hour)
	g.workers(50, 6, []string{"cyberjaya-a", "cyberjaya-b", "bangsar-dc", "shah-alam"}, job.Resources{Millicores: 32000, MemoryMB: 64000})
	from, to := g.load.From, g.load.To
	g.add(from, &kind{team: "engine", class: "engine", tasks: [2]int{50, 50}, millicores: []int64{2000}, memoryPer: [2]int64{2000, 2000}, service: true, run: time.Hour})
	for i := range 6 {
		team := fmt.Sprintf("lender%d", i)
		matching := &kind{
			team: team, class: "matching", tasks: [2]int{100, 300}, millicores: []int64{2000, 3000, 4000, 6000}, memoryPer: [2]int64{1000, 3000},
			run: 10 * time.Minute, spread: 0.6, deadline: to,
		}
		g.poisson(from, to.Add(-2*time.Hour), 1.8, matching)
		large := *matching
		large.class, large.tasks, large.millicores, large.memoryPer = "closing", [2]int{4, 12}, []int64{20000}, [2]int64{1500, 2500}
		large.run, large.gang = 25*time.Minute, true
		g.poisson(from, to.Add(-3*time.Hour), 0.4, &large)
		g.poisson(from, to, 6, &kind{
			team: team, class: "sweep", tasks: [2]int{5, 30}, millicores: []int64{1000, 2000}, memoryPer: [2]int64{1000, 4000},
			run: 3 * time.Minute, spread: 0.5, once: true,
		})
		g.poisson(from, to, 150, &kind{
			team: team, class: "balance", tasks: [2]int{1, 1}, millicores: []int64{250, 500}, memoryPer: [2]int64{1000, 2000},
			run: 3 * time.Second, spread: 0.4,
		})
	}
	return g.done(nightLoad)
}

// TwoYear is the peak of a day at the size expected in two years: 770 workers with 1,000
// accelerators, 22 teams with quotas, up to 330 starts a second, 4,000 tasks running.
func TwoYear(seed uint64, minutes int) *Load {
	g := newGenerator("two years", seed, float64(minutes)/60, 9*time.Hour)
	zones := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	g.workers(645, 16, zones, job.Resources{Millicores: 16000, MemoryMB: 64000})
	g.workers(125, 16, zones, job.Resources{Millicores: 32000, MemoryMB: 128000, Accelerators: 8})
	g.load.Quotas = map[string]job.Resources{}
	from, to := g.load.From, g.load.To
	for i := range 22 {
		team := fmt.Sprintf("team%02d", i)
		g.load.Quotas[team] = job.Resources{Millicores: 640_000, MemoryMB: 2_560_000, Accelerators: 45}
		g.add(from, &kind{team: team, class: "service", tasks: [2]int{37, 37}, millicores: []int64{2000, 4000}, memoryPer: [2]int64{2000, 4000}, service: true, run: time.Hour})
		g.poisson(from, to, 66, &kind{
			team: team, class: "sweep", tasks: [2]int{200, 800}, millicores: []int64{2000, 4000}, memoryPer: [2]int64{2000, 4000},
			run: 12 * time.Second, spread: 0.6, once: i%4 == 0,
		})
		g.poisson(from, to, 12, &kind{
			team: team, class: "matching", tasks: [2]int{20, 80}, millicores: []int64{2000, 4000, 8000}, memoryPer: [2]int64{2000, 6000},
			run: 90 * time.Second, spread: 0.5, deadline: to.Add(30 * time.Minute),
		})
		g.poisson(from, to, 3, &kind{
			team: team, class: "train", tasks: [2]int{4, 16}, millicores: []int64{8000}, memoryPer: [2]int64{2000, 4000}, accelerators: 2,
			run: 4 * time.Minute, spread: 0.3, gang: true,
		})
		g.poisson(from, to, 120, &kind{
			team: team, class: "interactive", tasks: [2]int{1, 1}, millicores: []int64{500, 1000}, memoryPer: [2]int64{1000, 4000},
			run: 3 * time.Second, spread: 0.5,
		})
		g.poisson(from, to, 2, &kind{
			team: team, class: "alarm", tasks: [2]int{4, 20}, millicores: []int64{4000}, memoryPer: [2]int64{2000, 4000},
			run: 30 * time.Second, spread: 0.3, urgent: true,
		})
	}
	return g.done(peakLoad)
}
