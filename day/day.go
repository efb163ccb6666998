package day

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"time"

	"github.com/rotisserie/eris"

	"turmericgap/finding"
)

// Defaults and bounds.
const (
	// DefaultMaxWorks bounds the works that are followed, and with them memory: half a kilobyte each.
	DefaultMaxWorks = 200_000
	// DefaultMaxNamed is how many lost and how many slow works a report names.
	DefaultMaxNamed = 10
	// mostLine bounds a line, in bytes; our own are below a kilobyte.
	mostLine = 1 << 20
	// mostFindings bounds the lines that are named as unreadable; the others are counted.
	mostFindings = 20
	// mostReasons bounds the reasons of refusals that are told apart, otherReasons stands for the rest.
	mostReasons  = 64
	otherReasons = "others"
	// windowLength is the length of the windows of a report.
	windowLength = 2 * time.Second
)

// Options are what a Day is made of.
type Options struct {
	// MaxWorks bounds the works that are followed, MaxNamed those that are named as lost and as slow.
	MaxWorks, MaxNamed int
}

// Option sets up a Day.
type Option func(*Options)

// MaxWorks bounds the works that are followed.
func MaxWorks(n int) Option { return func(o *Options) { o.MaxWorks = n } }

// MaxNamed sets how many lost and how many slow works are named.
func MaxNamed(n int) Option { return func(o *Options) { o.MaxNamed = n } }

// Analyzer gathers what the lines of a day tell. It is not safe for concurrent use.
type Analyzer struct {
	o     Options
	works map[string]*work
	// leftOut counts lines of works beyond MostWorks.
	leftOut            int
	lines, others, bad int
	findings           finding.List
	from, until        time.Time
	tenures            map[int64]*Tenure
	// failures holds the calls of the store without an answer, by second.
	failures map[int64]*Outage
	refusals map[string]*Refusal
	waits    []gangWait
	waiting  []classWait
	// loads holds what the owner had to do, by the second.
	loads map[time.Time]*Load
	free  []freeAt
}

// gangWait is how many gangs of a class waited for something in one second.
type gangWait struct {
	at           time.Time
	queue, class string
	why          string
	gangs        int
}

// classWait is how many steps of a class waited in one second, and how many of them could still be in time.
type classWait struct {
	queue, class  string
	steps, inTime int
}

// freeAt is the share of the cell that was free at a moment.
type freeAt struct {
	at    time.Time
	share float64
}

// New returns a Day that has read nothing.
func New(opts ...Option) *Analyzer {
	d := &Analyzer{
		o:     Options{MaxWorks: DefaultMaxWorks, MaxNamed: DefaultMaxNamed},
		works: make(map[string]*work), tenures: make(map[int64]*Tenure), failures: make(map[int64]*Outage), loads: make(map[time.Time]*Load), refusals: make(map[string]*Refusal),
	}
	for _, f := range opts {
		f(&d.o)
	}
	return d
}

// Read takes in the lines of a log; name is what findings call it. A line that cannot be read is a finding, and
// reading goes on with the next one. The error is that of the reader alone.
func (d *Analyzer) Read(r io.Reader, name string) error {
	return eachLine(r, func(number int, raw []byte, tooLong bool) {
		place := fmt.Sprintf("%s:%d", name, number)
		if tooLong {
			d.fault(place, fmt.Errorf("longer than %d bytes", mostLine))
			return
		}
		l, ok, err := parse(raw)
		switch {
		case err != nil:
			d.fault(place, err)
		case !ok || l.Msg == "" || l.Time.IsZero():
			d.others++
		default:
			d.take(l)
		}
	})
}

// eachLine calls visit for each line, which is cut where it is too long.
func eachLine(r io.Reader, visit func(number int, raw []byte, tooLong bool)) error {
	in := bufio.NewReaderSize(r, mostLine)
	for number := 1; ; number++ {
		raw, err := in.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		if len(raw) > 0 {
			visit(number, raw, tooLong)
		}
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = in.ReadSlice('\n')
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "read a log")
		}
	}
}

func (d *Analyzer) fault(place string, err error) {
	d.bad++
	if len(d.findings) < mostFindings {
		d.findings.Add(place, "not a log line: %v", err)
	}
}

// Findings gives the lines that could not be read, the first of them by their place.
func (d *Analyzer) Findings() finding.List {
	if more := d.bad - len(d.findings); more > 0 {
		return append(d.findings[:len(d.findings):len(d.findings)], finding.Finding{Path: "further lines", Reason: fmt.Sprintf("%d cannot be read either", more)})
	}
	return d.findings
}

func (d *Analyzer) take(l *line) {
	d.lines++
	earliest(&d.from, l.Time)
	latest(&d.until, l.Time)
	switch l.Msg {
	case "entry: answered":
		d.answered(l)
	case "owner: this VM owns the cell":
		earliest(&d.tenure(l).From, l.Time)
	case "owner: this VM no longer owns the cell":
		t := d.tenure(l)
		t.Until, t.Reason = l.Time, l.Reason
	case "dispatch: commit without an answer", "lease: renewal failed":
		d.failed(l.Time)
	case "dispatch: state of the cell":
		d.load(l)
		if l.Millicores > 0 {
			d.free = append(d.free, freeAt{l.Time, float64(l.FreeMillicores) / float64(l.Millicores)})
		}
	case "dispatch: works by size":
		if l.WaitingSteps > 0 {
			d.waiting = append(d.waiting, classWait{l.Queue, l.Class, l.WaitingSteps, l.WaitingInTime})
		}
		for why, n := range l.waits() {
			if n > 0 {
				d.waits = append(d.waits, gangWait{l.Time, l.Queue, l.Class, why, n})
			}
		}
	default:
		if w := d.work(l.ID); w != nil {
			w.take(l)
		}
	}
}

// work gives the work of that ID, nil for a line of no work, or of one too many.
func (d *Analyzer) work(id string) *work {
	if id == "" {
		return nil
	}
	w := d.works[id]
	if w == nil {
		if len(d.works) >= d.o.MaxWorks {
			d.leftOut++
			return nil
		}
		w = &work{id: id}
		d.works[id] = w
	}
	return w
}

func (d *Analyzer) tenure(l *line) *Tenure {
	t := d.tenures[l.Fence]
	if t == nil {
		t = &Tenure{VM: l.VM, Fence: l.Fence}
		d.tenures[l.Fence] = t
	}
	return t
}

// digits are left out of reasons, so that those that differ by a duration alone count as one.
var digits = regexp.MustCompile(`[0-9]+(\.[0-9]+)?`)

// refusedFrom is the lowest status that tells a caller that nothing was done, or that it is not known.
const refusedFrom = 400

func (d *Analyzer) answered(l *line) {
	if l.Status < refusedFrom {
		return
	}
	r := d.refusal(l.Method, l.Status, digits.ReplaceAllString(l.Error, "N"))
	r.Count++
	earliest(&r.First, l.Time)
	latest(&r.Last, l.Time)
	r.bySecond[l.Time.Unix()]++
}

// refusal gives the refusals for one reason. Those for reasons beyond the bound are together, without the method
// and status that they do not share.
func (d *Analyzer) refusal(method string, status int, reason string) *Refusal {
	key := fmt.Sprintf("%s %d %s", method, status, reason)
	if d.refusals[key] == nil && len(d.refusals) >= mostReasons {
		key, method, status, reason = otherReasons, "", 0, otherReasons
	}
	if d.refusals[key] == nil {
		d.refusals[key] = &Refusal{Method: method, Status: status, Reason: reason, bySecond: make(map[int64]int)}
	}
	return d.refusals[key]
}

func (d *Analyzer) failed(at time.Time) {
	o := d.failures[at.Unix()]
	if o == nil {
		o = &Outage{}
		d.failures[at.Unix()] = o
	}
	earliest(&o.From, at)
	latest(&o.Until, at)
	o.Calls++
}
