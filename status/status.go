package status

import (
	"bytes"
	"cmp"
	"context"
	_ "embed" // For the page.
	"fmt"
	"html/template"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"turmericgap/fleet"
	"turmericgap/job"
	"turmericgap/member"
	"turmericgap/operate"
	"turmericgap/planner"
	"turmericgap/scheduler"
	"turmericgap/view"
)

const (
	// DefaultCacheTTL is how long a page is shown again: more readers ask the owners no more often.
	DefaultCacheTTL = 2 * time.Second
	// endsMost bounds the jobs that are shown.
	endsMost = 40
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{"time": clock, "percent": percent}).Parse(pageText))

func clock(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

// Page is what the page shows, in its order.
type Page struct {
	Self        string
	At          time.Time
	ListVersion int64
	Newest      int64
	Alarms      []string
	Zones       []operate.Zone
	Queues      []Queue
	Racks       []Rack
	Processes   []Process
	Ejections   []fleet.Ejection
	Ends        []scheduler.EndedJob
	Refusals    []Refusal
}

// Refusal is a submission that a zone did not accept.
type Refusal struct {
	Zone string
	scheduler.Refusal
}

// Queue is the waiting tasks of one class in one zone.
type Queue struct {
	Zone, Class string
	Waiting     int
}

// Rack sums up the workers of a rack; Unknown says that the zone's owner gave no answer.
type Rack struct {
	Zone, Name           string
	Workers, Open, Tasks int
	Has, Used            job.Resources
	Closed               []string
	Unknown              bool
}

// Packing gives the largest part of the rack's resources that is charged.
func (r *Rack) Packing() float64 {
	l := planner.Load{Used: r.Used}
	l.Info.Has = r.Has
	return l.Packing()
}

// Process is one member of a table with the rules that it is known to have.
type Process struct {
	Member member.Member
	Lease  string
	Owns   bool
	Epoch  int64
	Rules  int64
	Heard  string
	// Fault marks a process that is silent, lacks its lease or has old rules.
	Fault bool
}

// New makes the page of a cell as the process named self sees it.
func New(self string, c *operate.Cell) *Page {
	p := &Page{Self: self, At: c.At, ListVersion: c.View.ListVersion, Newest: c.View.Rules.Version, Zones: c.Zones}
	p.addZones()
	p.addRacks(c)
	p.addProcesses(c)
	return p
}

func (p *Page) alarm(format string, args ...any) {
	p.Alarms = append(p.Alarms, fmt.Sprintf(format, args...))
}

func (p *Page) addZones() {
	if p.ListVersion == 0 {
		p.alarm("The VM list was never read: no worker is known.")
	}
	for i := range p.Zones {
		z := &p.Zones[i]
		if z.State == nil {
			p.alarm("Zone %s: %s.", z.Name, z.Problem)
			continue
		}
		if doubt := z.Warning(); doubt != "" {
			p.alarm("Zone %s: %s.", z.Name, doubt)
		}
		if s := z.State.Stats; s.Workers > 0 && 2*s.Open < s.Workers {
			p.alarm("Zone %s: only %d of %d workers get new tasks.", z.Name, s.Open, s.Workers)
		}
		for _, class := range operate.PendingClasses(z.State.Stats.Pending) {
			p.Queues = append(p.Queues, Queue{z.Name, class, z.State.Stats.Pending[class]})
		}
		p.Ejections = append(p.Ejections, z.State.Ejections...)
		p.Ends = append(p.Ends, z.State.Ends...)
		for _, r := range z.State.Refusals {
			p.Refusals = append(p.Refusals, Refusal{z.Name, r})
		}
	}
	slices.SortStableFunc(p.Refusals, func(a, b Refusal) int { return b.At.Compare(a.At) })
	p.Refusals = p.Refusals[:min(len(p.Refusals), endsMost)]
	slices.SortStableFunc(p.Ends, func(a, b scheduler.EndedJob) int { return b.Ended.Compare(a.Ended) })
	p.Ends = p.Ends[:min(len(p.Ends), endsMost)]
}

// addRacks sums up the loads; a worker that its owner does not tell of is counted from the VM list.
func (p *Page) addRacks(c *operate.Cell) {
	racks := make(map[[2]string]*Rack)
	rack := func(zone, name string) *Rack {
		key := [2]string{zone, name}
		if racks[key] == nil {
			racks[key] = &Rack{Zone: zone, Name: name}
		}
		return racks[key]
	}
	told := make(map[string]bool)
	for i := range c.Zones {
		if c.Zones[i].State == nil {
			continue
		}
		told[c.Zones[i].Name] = true
		for _, l := range c.Zones[i].State.Workers {
			rack(l.Info.Zone, l.Info.Rack).add(&l)
		}
	}
	for _, w := range c.View.Workers {
		if !told[w.Zone] {
			r := rack(w.Zone, w.Rack)
			r.Unknown = true
			r.Workers++
		}
	}
	for _, r := range racks {
		p.Racks = append(p.Racks, *r)
	}
	slices.SortFunc(p.Racks, func(a, b Rack) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
}

func (r *Rack) add(l *planner.Load) {
	r.Workers++
	r.Tasks += l.Tasks
	r.Has, r.Used = r.Has.Plus(l.Info.Has), r.Used.Plus(l.Used)
	if state := l.State(); l.Open && state == "open" {
		r.Open++
	} else {
		r.Closed = append(r.Closed, l.Info.ID+" "+state)
	}
}

func (p *Page) addProcesses(c *operate.Cell) {
	heard := make(map[string]view.Process, len(c.InForce))
	for _, f := range c.InForce {
		heard[f.Address] = f
		p.Newest = max(p.Newest, f.Rules)
	}
	for _, t := range c.View.Tables {
		for _, m := range t.Members {
			p.addProcess(&t, m, heard[m.Address], c.View.Present)
		}
	}
}

func (p *Page) addProcess(t *member.Table, m member.Member, f view.Process, present map[string]bool) {
	out := Process{Member: m, Owns: t.Owner == m.ID, Epoch: t.Epoch, Rules: f.Rules, Heard: "never", Lease: "not known"}
	silent := f.Heard.IsZero() || p.At.Sub(f.Heard) > operate.SilentAfter
	if !f.Heard.IsZero() {
		out.Heard = max(0, p.At.Sub(f.Heard)).Round(time.Second).String() + " ago"
	}
	if present != nil {
		out.Lease = "there"
		if !present[member.PresenceKey(m.Zone, m.Role, m.ID)] {
			out.Lease = "absent"
			p.alarm("%s %s in zone %s: its lease is absent.", m.Role, m.ID, m.Zone)
		}
	}
	if silent {
		p.alarm("%s %s in zone %s: heard %s.", m.Role, m.ID, m.Zone, out.Heard)
	}
	if f.Rules < p.Newest {
		p.alarm("%s %s in zone %s: is known to have rules %d, not %d.", m.Role, m.ID, m.Zone, f.Rules, p.Newest)
	}
	out.Fault = silent || f.Rules < p.Newest || out.Lease == "absent"
	p.Processes = append(p.Processes, out)
}

// Write renders the page.
func (p *Page) Write(w io.Writer) error { return page.Execute(w, p) }

// Server serves the page and keeps the last one for a short time.
type Server struct {
	self    string
	collect func(context.Context) operate.Cell

	mu   sync.Mutex
	last []byte
	made time.Time
}

// NewServer returns a server that collects the cell anew whenever its last page is DefaultKeep old.
func NewServer(self string, collect func(context.Context) operate.Cell) *Server {
	return &Server{self: self, collect: collect}
}

// ServeHTTP answers with the page.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := s.current(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(raw)
}

// current makes one page at a time, so that many readers cost the owners no more than one.
func (s *Server) current(ctx context.Context) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && time.Since(s.made) < DefaultCacheTTL {
		return s.last, nil
	}
	// The page is for all readers, so that one that goes away does not cut it short.
	c := s.collect(context.WithoutCancel(ctx))
	var b bytes.Buffer
	if err := New(s.self, &c).Write(&b); err != nil {
		return nil, err
	}
	s.last, s.made = b.Bytes(), time.Now()
	return s.last, nil
}
