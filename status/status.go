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
	// DefaultCacheTTL is how long a page is cached, so that more readers cause no more requests to owners.
	DefaultCacheTTL = 2 * time.Second
	// maxListed limits the ended jobs and the refusals on the page.
	maxListed = 40
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{"time": formatTime, "percent": formatPercent}).Parse(pageText))

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func formatPercent(ratio float64) string { return fmt.Sprintf("%.0f%%", 100*ratio) }

// Page is the content of the page, in order.
type Page struct {
	Self        string
	At          time.Time
	ListVersion int64
	// Newest is the newest version of the rules that this process knows of.
	Newest    int64
	Alarms    []string
	Zones     []operate.Zone
	Queues    []Queue
	Racks     []Rack
	Processes []Process
	Ejections []fleet.Ejection
	Ends      []scheduler.EndedJob
	Refusals  []Refusal
}

// Refusal is a submission that a zone did not accept.
type Refusal struct {
	Zone string
	scheduler.Refusal
}

// Queue is the number of waiting tasks of one class in one zone.
type Queue struct {
	Zone, Class string
	Waiting     int
}

// Rack sums up the workers of a rack. Closed lists the workers that are not open, each with its state. Unknown is
// set if the zone's owner did not answer.
type Rack struct {
	Zone, Name           string
	Workers, Open, Tasks int
	Has, Used            job.Resources
	Closed               []string
	Unknown              bool
}

// Packing returns the charged share of the rack's resources, for the resource with the largest share.
func (r *Rack) Packing() float64 {
	l := planner.Load{Used: r.Used}
	l.Info.Has = r.Has
	return l.Packing()
}

// Process is one member of a table with the rules version that it is known to have.
type Process struct {
	Member member.Member
	Lease  string
	Owns   bool
	Epoch  int64
	Rules  int64
	Heard  string
	// Fault is set if the process is silent, has no lease or has outdated rules.
	Fault bool
}

// New returns the page of a cell as seen by the process self.
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
		if warning := z.Warning(); warning != "" {
			p.alarm("Zone %s: %s.", z.Name, warning)
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
	p.Refusals = p.Refusals[:min(len(p.Refusals), maxListed)]
	slices.SortStableFunc(p.Ends, func(a, b scheduler.EndedJob) int { return b.Ended.Compare(a.Ended) })
	p.Ends = p.Ends[:min(len(p.Ends), maxListed)]
}

// addRacks adds up the loads per rack. Workers of zones whose owner did not answer are counted from the
// VM list.
func (p *Page) addRacks(c *operate.Cell) {
	racks := make(map[[2]string]*Rack)
	rack := func(zone, name string) *Rack {
		key := [2]string{zone, name}
		if racks[key] == nil {
			racks[key] = &Rack{Zone: zone, Name: name}
		}
		return racks[key]
	}
	answered := make(map[string]bool)
	for i := range c.Zones {
		if c.Zones[i].State == nil {
			continue
		}
		answered[c.Zones[i].Name] = true
		for _, l := range c.Zones[i].State.Workers {
			rack(l.Info.Zone, l.Info.Rack).add(&l)
		}
	}
	for _, w := range c.View.Workers {
		if !answered[w.Zone] {
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
	byAddress := make(map[string]view.Process, len(c.InForce))
	for _, f := range c.InForce {
		byAddress[f.Address] = f
		p.Newest = max(p.Newest, f.Rules)
	}
	for _, t := range c.View.Tables {
		for _, m := range t.Members {
			p.addProcess(&t, m, byAddress[m.Address], c.View.Present)
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

// Server serves the page and caches it for a short time.
type Server struct {
	self    string
	collect func(context.Context) operate.Cell

	mu         sync.Mutex
	cached     []byte
	renderedAt time.Time
}

// NewServer returns a server that collects the cell again when its cached page is older than
// DefaultCacheTTL.
func NewServer(self string, collect func(context.Context) operate.Cell) *Server {
	return &Server{self: self, collect: collect}
}

// ServeHTTP answers with the page.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := s.render(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(raw)
}

// render returns the cached page or renders a new one. It renders one page at a time, so that many readers
// cause no more requests to the owners than one.
func (s *Server) render(ctx context.Context) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached != nil && time.Since(s.renderedAt) < DefaultCacheTTL {
		return s.cached, nil
	}
	// The page is for all readers, so a reader that disconnects must not cancel it.
	c := s.collect(context.WithoutCancel(ctx))
	var b bytes.Buffer
	if err := New(s.self, &c).Write(&b); err != nil {
		return nil, err
	}
	s.cached, s.renderedAt = b.Bytes(), time.Now()
	return s.cached, nil
}
