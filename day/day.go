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

// Defaults and limits.
const (
	// DefaultMaxWorks limits the number of tracked works, which take about half a kilobyte of memory each.
	DefaultMaxWorks = 200_000
	// DefaultMaxNamed is how many lost and how many slow works a report lists.
	DefaultMaxNamed = 10
	// maxLineBytes is far above the length of a log line of an entry VM, which is below a kilobyte.
	maxLineBytes = 1 << 20
	// maxFindings limits the unreadable lines that are listed; further ones are only counted.
	maxFindings = 20
	// maxReasons limits the refusal reasons that are counted separately; the others are counted as otherReasons.
	maxReasons   = 64
	otherReasons = "others"
	// windowLength is the length of the time windows of a report.
	windowLength = 2 * time.Second
)

// Options configures an Analyzer.
type Options struct {
	// MaxWorks limits the number of tracked works, MaxNamed the works listed as lost and as slowest.
	MaxWorks, MaxNamed int
}

// Option sets one of the Options.
type Option func(*Options)

// MaxWorks limits the number of tracked works.
func MaxWorks(n int) Option { return func(o *Options) { o.MaxWorks = n } }

// MaxNamed sets how many lost and how many slow works are listed.
func MaxNamed(n int) Option { return func(o *Options) { o.MaxNamed = n } }

// Analyzer collects data from log lines for a Report. It is not safe for concurrent use.
type Analyzer struct {
	opts  Options
	works map[string]*work
	// skippedWorkLines counts lines about works beyond MaxWorks.
	skippedWorkLines               int
	lines, nonLogLines, unreadable int
	findings                       finding.List
	from, until                    time.Time
	tenures                        map[int64]*Tenure
	// storeFailures holds the store calls without an answer, by Unix second.
	storeFailures map[int64]*Outage
	refusals      map[string]*Refusal
	waits         []gangWait
	waiting       []classWait
	// loads holds the load of the owner, by second.
	loads       map[time.Time]*Load
	freeSamples []freeSample
	givenUp     []GivenUp
	// capSeconds sums the waiting time of steps that the caps of their accounts held back, in step-seconds.
	capSeconds    map[string]int
	configuration configurationLines
	// workers numbers the workers, runs counts the recorded starts and runs.
	workers map[string]int32
	runs    int
}

// gangWait is the number of gangs of a class that waited for one reason in one second.
type gangWait struct {
	at           time.Time
	queue, class string
	reason       string
	gangs        int
}

// classWait is the number of steps of a class that waited in one second. Of these, inTime could still meet their
// objective.
type classWait struct {
	queue, class  string
	steps, inTime int
}

// freeSample is the free share of the cell's capacity at one time.
type freeSample struct {
	at    time.Time
	share float64
}

// New returns an Analyzer without data.
func New(opts ...Option) *Analyzer {
	d := &Analyzer{
		opts:  Options{MaxWorks: DefaultMaxWorks, MaxNamed: DefaultMaxNamed},
		works: make(map[string]*work), tenures: make(map[int64]*Tenure), storeFailures: make(map[int64]*Outage), loads: make(map[time.Time]*Load), refusals: make(map[string]*Refusal),
		capSeconds: make(map[string]int), configuration: newConfigurationLines(), workers: make(map[string]int32),
	}
	for _, f := range opts {
		f(&d.opts)
	}
	return d
}

// Read processes the lines of a log; findings refer to the log by name. An unreadable line is recorded as a finding
// and skipped. An error is returned only if the reader fails.
func (d *Analyzer) Read(r io.Reader, name string) error {
	return eachLine(r, func(number int, raw []byte, tooLong bool) {
		path := fmt.Sprintf("%s:%d", name, number)
		if tooLong {
			d.addUnreadable(path, fmt.Errorf("longer than %d bytes", maxLineBytes))
			return
		}
		l, ok, err := parse(raw)
		switch {
		case err != nil:
			d.addUnreadable(path, err)
		case !ok || l.Msg == "" || l.Time.IsZero():
			d.nonLogLines++
		default:
			d.add(l)
		}
	})
}

// eachLine calls visit for each line. A line that is too long is truncated.
func eachLine(r io.Reader, visit func(number int, raw []byte, tooLong bool)) error {
	in := bufio.NewReaderSize(r, maxLineBytes)
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

func (d *Analyzer) addUnreadable(path string, err error) {
	d.unreadable++
	if len(d.findings) < maxFindings {
		d.findings.Add(path, "not a log line: %v", err)
	}
}

// Findings returns the unreadable lines: the first ones with their path, the others as a count.
func (d *Analyzer) Findings() finding.List {
	if more := d.unreadable - len(d.findings); more > 0 {
		return append(d.findings[:len(d.findings):len(d.findings)], finding.Finding{Path: "further lines", Reason: fmt.Sprintf("%d cannot be read either", more)})
	}
	return d.findings
}

func (d *Analyzer) add(l *line) {
	d.lines++
	keepEarliest(&d.from, l.Time)
	keepLatest(&d.until, l.Time)
	switch l.Msg {
	case "entry: answered":
		d.addAnswer(l)
	case "owner: this VM owns the cell":
		keepEarliest(&d.tenure(l).From, l.Time)
	case "owner: this VM no longer owns the cell":
		t := d.tenure(l)
		t.Until, t.Reason = l.Time, l.Reason
	case "dispatch: work given up":
		d.addGivenUp(l)
	case "dispatch: commit without an answer", "lease: renewal failed":
		d.addStoreFailure(l.Time)
	case "dispatch: state of the cell":
		d.addLoad(l)
		if l.Millicores > 0 {
			d.freeSamples = append(d.freeSamples, freeSample{l.Time, float64(l.FreeMillicores) / float64(l.Millicores)})
		}
	case "configuration: in force":
		d.configuration.add(l)
	case "dispatch: account waits":
		d.capSeconds[l.Account] += l.WaitingForCap
	case "dispatch: works by size":
		if l.WaitingSteps > 0 {
			d.waiting = append(d.waiting, classWait{l.Queue, l.Class, l.WaitingSteps, l.WaitingInTime})
		}
		for reason, n := range l.gangWaits() {
			if n > 0 {
				d.waits = append(d.waits, gangWait{l.Time, l.Queue, l.Class, reason, n})
			}
		}
	default:
		if w := d.findWork(l.ID); w != nil {
			w.add(l)
			d.addRun(w, l)
		}
	}
}

func (d *Analyzer) addGivenUp(l *line) {
	if len(d.givenUp) >= d.opts.MaxWorks {
		d.skippedWorkLines++
		return
	}
	d.givenUp = append(d.givenUp, GivenUp{
		ID: l.ID, Queue: l.Queue, At: l.Time, Task: fmt.Sprintf("%d.%d.%d", l.Occurrence, l.Step, l.Task),
		Crashes: l.Crashes, Losses: l.Losses,
	})
}

// findWork returns the work with the given ID and adds it if it is new. It returns nil for an empty ID, and for a new
// work beyond MaxWorks.
func (d *Analyzer) findWork(id string) *work {
	if id == "" {
		return nil
	}
	w := d.works[id]
	if w == nil {
		if len(d.works) >= d.opts.MaxWorks {
			d.skippedWorkLines++
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

// numberPattern matches numbers. They are masked in reasons, so that reasons that differ only in a duration count as
// one.
var numberPattern = regexp.MustCompile(`[0-9]+(\.[0-9]+)?`)

// minRefusedStatus is the lowest HTTP status for a request that was not executed or whose outcome is unknown.
const minRefusedStatus = 400

func (d *Analyzer) addAnswer(l *line) {
	if l.Status < minRefusedStatus {
		return
	}
	r := d.refusal(l.Method, l.Status, numberPattern.ReplaceAllString(l.Error, "N"))
	r.Count++
	keepEarliest(&r.First, l.Time)
	keepLatest(&r.Last, l.Time)
	r.bySecond[l.Time.Unix()]++
}

// refusal returns the entry for one method, status and reason. Reasons beyond maxReasons share one entry, which has no
// method or status because they differ.
func (d *Analyzer) refusal(method string, status int, reason string) *Refusal {
	key := fmt.Sprintf("%s %d %s", method, status, reason)
	if d.refusals[key] == nil && len(d.refusals) >= maxReasons {
		key, method, status, reason = otherReasons, "", 0, otherReasons
	}
	if d.refusals[key] == nil {
		d.refusals[key] = &Refusal{Method: method, Status: status, Reason: reason, bySecond: make(map[int64]int)}
	}
	return d.refusals[key]
}

func (d *Analyzer) addStoreFailure(at time.Time) {
	o := d.storeFailures[at.Unix()]
	if o == nil {
		o = &Outage{}
		d.storeFailures[at.Unix()] = o
	}
	keepEarliest(&o.From, at)
	keepLatest(&o.Until, at)
	o.Calls++
}
