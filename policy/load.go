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

// Load is a set of workers and the jobs that arrive.
type Load struct {
	Name    string
	Workers []worker.Info
	Jobs    []Arrival
	Quotas  map[string]job.Resources
	// From and To limit the measured time; jobs may end later.
	From time.Time
	To   time.Time
}

// Arrival is a job with its actual run times and usage, which its submission does not contain.
type Arrival struct {
	At   time.Time
	Spec *job.Submission
	// RunTimes holds the actual run time of each task. It is nil for a service, which runs until Load.To.
	RunTimes []time.Duration
	// PeakUsage is the actual peak usage of each task.
	PeakUsage job.Resources
}

// offered returns the offered load as a share of what the workers can do between From and To: the larger of the
// processor and memory shares.
func (l *Load) offered() float64 {
	var capacity, work job.Resources
	for i := range l.Workers {
		capacity = capacity.Plus(l.Workers[i].Has)
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
		work = work.Plus(a.Spec.TaskResources.Times(seconds))
	}
	seconds := l.To.Sub(l.From).Seconds()
	return max(
		float64(work.Millicores)/seconds/float64(capacity.Millicores),
		float64(work.MemoryMB)/seconds/float64(capacity.MemoryMB),
	)
}

// midnight is the start of the day on which all loads begin, the last Friday of a month.
var midnight = time.Date(2027, 2, 26, 0, 0, 0, 0, time.UTC)

// Offered load as a share of the capacity. It is lower for the nights, whose work must end before a deadline.
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

// addWorkers adds workers and assigns their racks to the zones round robin.
func (g *generator) addWorkers(count, perRack int, zones []string, has job.Resources) {
	from := len(g.load.Workers)
	for i := from; i < from+count; i++ {
		rack := i / perRack
		g.load.Workers = append(g.load.Workers, worker.Info{
			ID: fmt.Sprintf("vm%03d", i), Zone: zones[rack%len(zones)], Rack: fmt.Sprintf("rack%03d", rack), Has: has,
		})
	}
}

// jobTemplate is a distribution of jobs from which arrivals are drawn.
type jobTemplate struct {
	team, class string
	tasks       [2]int
	millicores  []int64
	// memoryPerCore is the range of the memory in MB for each 1000 millicores.
	memoryPerCore [2]int64
	accelerators  int64
	run           time.Duration
	// spread is the sigma of the log-normal run times.
	spread        float64
	gang          bool
	service       bool
	notRepeatable bool
	urgent        bool
	// deadline is the deadline of the jobs; zero is none.
	deadline time.Time
}

func (g *generator) between(low, high int) int { return low + g.IntN(high-low+1) }

func (g *generator) add(at time.Time, k *jobTemplate) {
	s := &job.Submission{
		Key: fmt.Sprintf("%s-%05d", k.class, len(g.load.Jobs)), Team: k.team, Class: k.class, Kind: job.Batch,
		Tasks: g.between(k.tasks[0], k.tasks[1]), Gang: k.gang, Repeatable: !k.notRepeatable, Urgent: k.urgent, Deadline: k.deadline,
	}
	s.TaskResources.Millicores = k.millicores[g.IntN(len(k.millicores))]
	perCore := int64(g.between(int(k.memoryPerCore[0]), int(k.memoryPerCore[1])))
	s.TaskResources.MemoryMB = max(100, s.TaskResources.Millicores*perCore/1000)
	s.TaskResources.Accelerators = k.accelerators
	if k.service {
		s.Kind = job.Service
	}
	// The declared run time is wrong by a factor of up to three in either direction.
	s.RunSeconds = int64(k.run.Seconds()*math.Exp(g.Float64()*2.2-1.1)) + 1
	a := Arrival{At: at, Spec: s, PeakUsage: s.TaskResources}
	a.PeakUsage.MemoryMB = s.TaskResources.MemoryMB * int64(g.between(30, 100)) / 100
	a.PeakUsage.Millicores = s.TaskResources.Millicores * int64(g.between(30, 100)) / 100
	if !k.service {
		for range s.Tasks {
			run := float64(k.run) * math.Exp(g.NormFloat64()*k.spread)
			a.RunTimes = append(a.RunTimes, max(time.Second/2, time.Duration(run)))
		}
	}
	g.load.Jobs = append(g.load.Jobs, a)
}

// addPoisson adds a Poisson process of arrivals between two times, with perHour arrivals per hour on average.
func (g *generator) addPoisson(from, to time.Time, perHour float64, k *jobTemplate) {
	for at := from; ; {
		at = at.Add(time.Duration(g.ExpFloat64() / perHour * float64(time.Hour)))
		if !at.Before(to) {
			return
		}
		g.add(at, k)
	}
}

// finish scales the run times of batch tasks to the given offered load, sorts the arrivals and returns the load.
func (g *generator) finish(offered float64) *Load {
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

// Kayal returns the load of a Friday night until the Saturday briefing at 06:00: rosters, certificates and
// bookings. While the rosters run, about nine tenths of the cell are used.
func Kayal(seed uint64) *Load {
	g := newGenerator("kayal", seed, 12, 18*time.Hour)
	g.addWorkers(50, 8, []string{"kochi-hall", "alappuzha-hall", "kollam-hall"}, job.Resources{Millicores: 16000, MemoryMB: 64000})
	from, to := g.load.From, g.load.To
	g.add(from, &jobTemplate{team: "desk", class: "desk", tasks: [2]int{50, 50}, millicores: []int64{2000}, memoryPerCore: [2]int64{2000, 2000}, service: true, run: time.Hour})
	briefing := to
	for _, branch := range []string{"kochi", "alappuzha", "kollam"} {
		roster := &jobTemplate{
			team: branch, class: "roster", tasks: [2]int{40, 120}, millicores: []int64{1000, 2000, 4000}, memoryPerCore: [2]int64{2000, 6000},
			run: 12 * time.Minute, spread: 0.5, deadline: briefing,
		}
		g.addPoisson(from.Add(time.Hour), to.Add(-100*time.Minute), 3.8, roster)
		large := *roster
		large.class, large.tasks, large.millicores, large.memoryPerCore = "fleet", [2]int{6, 10}, []int64{12000}, [2]int64{3000, 4500}
		large.run, large.gang, large.deadline = 20*time.Minute, true, briefing
		g.addPoisson(from, to.Add(-3*time.Hour), 1, &large)
		g.addPoisson(from, to, 10, &jobTemplate{
			team: branch, class: "certificate", tasks: [2]int{10, 60}, millicores: []int64{500, 1000}, memoryPerCore: [2]int64{1000, 4000},
			run: 4 * time.Minute, spread: 0.4, notRepeatable: true,
		})
		g.addPoisson(from, to, 240, &jobTemplate{
			team: branch, class: "booking", tasks: [2]int{1, 1}, millicores: []int64{250, 500}, memoryPerCore: [2]int64{1000, 2000},
			run: 4 * time.Second, spread: 0.5,
		})
	}
	return g.finish(nightLoad)
}

// Padan returns the load of a month-end night from 20:00 to 06:00: bulk matching with a deadline, sweeps and
// balance checks.
func Padan(seed uint64) *Load {
	g := newGenerator("padan", seed, 10, 20*time.Hour)
	g.addWorkers(50, 6, []string{"cyberjaya-a", "cyberjaya-b", "bangsar-dc", "shah-alam"}, job.Resources{Millicores: 32000, MemoryMB: 64000})
	from, to := g.load.From, g.load.To
	g.add(from, &jobTemplate{team: "engine", class: "engine", tasks: [2]int{50, 50}, millicores: []int64{2000}, memoryPerCore: [2]int64{2000, 2000}, service: true, run: time.Hour})
	for i := range 6 {
		team := fmt.Sprintf("lender%d", i)
		matching := &jobTemplate{
			team: team, class: "matching", tasks: [2]int{100, 300}, millicores: []int64{2000, 3000, 4000, 6000}, memoryPerCore: [2]int64{1000, 3000},
			run: 10 * time.Minute, spread: 0.6, deadline: to,
		}
		g.addPoisson(from, to.Add(-2*time.Hour), 1.8, matching)
		large := *matching
		large.class, large.tasks, large.millicores, large.memoryPerCore = "closing", [2]int{4, 12}, []int64{20000}, [2]int64{1500, 2500}
		large.run, large.gang = 25*time.Minute, true
		g.addPoisson(from, to.Add(-3*time.Hour), 0.4, &large)
		g.addPoisson(from, to, 6, &jobTemplate{
			team: team, class: "sweep", tasks: [2]int{5, 30}, millicores: []int64{1000, 2000}, memoryPerCore: [2]int64{1000, 4000},
			run: 3 * time.Minute, spread: 0.5, notRepeatable: true,
		})
		g.addPoisson(from, to, 150, &jobTemplate{
			team: team, class: "balance", tasks: [2]int{1, 1}, millicores: []int64{250, 500}, memoryPerCore: [2]int64{1000, 2000},
			run: 3 * time.Second, spread: 0.4,
		})
	}
	return g.finish(nightLoad)
}

// TwoYear returns the daily peak at the size expected in two years: 770 workers with 1,000 accelerators, 22 teams
// with quotas, up to 330 starts per second and 4,000 running tasks.
func TwoYear(seed uint64, minutes int) *Load {
	g := newGenerator("two years", seed, float64(minutes)/60, 9*time.Hour)
	zones := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
	g.addWorkers(645, 16, zones, job.Resources{Millicores: 16000, MemoryMB: 64000})
	g.addWorkers(125, 16, zones, job.Resources{Millicores: 32000, MemoryMB: 128000, Accelerators: 8})
	g.load.Quotas = map[string]job.Resources{}
	from, to := g.load.From, g.load.To
	for i := range 22 {
		team := fmt.Sprintf("team%02d", i)
		g.load.Quotas[team] = job.Resources{Millicores: 640_000, MemoryMB: 2_560_000, Accelerators: 45}
		g.add(from, &jobTemplate{team: team, class: "service", tasks: [2]int{37, 37}, millicores: []int64{2000, 4000}, memoryPerCore: [2]int64{2000, 4000}, service: true, run: time.Hour})
		g.addPoisson(from, to, 66, &jobTemplate{
			team: team, class: "sweep", tasks: [2]int{200, 800}, millicores: []int64{2000, 4000}, memoryPerCore: [2]int64{2000, 4000},
			run: 12 * time.Second, spread: 0.6, notRepeatable: i%4 == 0,
		})
		g.addPoisson(from, to, 12, &jobTemplate{
			team: team, class: "matching", tasks: [2]int{20, 80}, millicores: []int64{2000, 4000, 8000}, memoryPerCore: [2]int64{2000, 6000},
			run: 90 * time.Second, spread: 0.5, deadline: to.Add(30 * time.Minute),
		})
		g.addPoisson(from, to, 3, &jobTemplate{
			team: team, class: "train", tasks: [2]int{4, 16}, millicores: []int64{8000}, memoryPerCore: [2]int64{2000, 4000}, accelerators: 2,
			run: 4 * time.Minute, spread: 0.3, gang: true,
		})
		g.addPoisson(from, to, 120, &jobTemplate{
			team: team, class: "interactive", tasks: [2]int{1, 1}, millicores: []int64{500, 1000}, memoryPerCore: [2]int64{1000, 4000},
			run: 3 * time.Second, spread: 0.5,
		})
		g.addPoisson(from, to, 2, &jobTemplate{
			team: team, class: "alarm", tasks: [2]int{4, 20}, millicores: []int64{4000}, memoryPerCore: [2]int64{2000, 4000},
			run: 30 * time.Second, spread: 0.3, urgent: true,
		})
	}
	return g.finish(peakLoad)
}
