package day

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/matryer/is"

	"turmericgap/standin/golden"
)

// useLog writes the log of a cell with nine workers, whose run times are 0.6, 1 and 1.6 times the mean.
type useLog struct {
	strings.Builder
	at time.Time
}

var useLogStart = time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)

// line adds a line after a number of milliseconds. fields is the JSON text of further fields.
func (l *useLog) line(after int, msg, id, fields string) {
	at := l.at.Add(time.Duration(after) * time.Millisecond).Format("2006-01-02T15:04:05.000Z")
	fmt.Fprintf(l, `{"time":"%s","msg":"dispatch: %s","id":"%s",%s}`+"\n", at, msg, id, fields)
}

func (l *useLog) work(id, queue string, coreSeconds, objective int) {
	l.line(0, "work taken", id, fmt.Sprintf(`"queue":"%s","zone":"a","class":"usual","coreSeconds":%d,"objective":%d,"tasks":3`, queue, coreSeconds, objective))
}

// run adds the start and end of a run of a task on a worker.
func (l *useLog) run(id string, task, worker, start, took int, gang string) {
	fields := fmt.Sprintf(`"occurrence":0,"step":0,"task":%d,"run":%d,"worker":"w%d"`, task, task+1, worker)
	l.line(start, "start decided", id, fields)
	l.line(start+took, "run ended", id, fmt.Sprintf(`%s,"how":"done",%s"after":%d`, fields, gang, took))
}

func (l *useLog) permits(id string, after, took, allowed, room int, full string) {
	l.line(after, "permits", id, fmt.Sprintf(`"step":0,"named":24,"allowed":%d,"took":%d,"tasks":3,"room":%d%s`, allowed, took, room, full))
}

func (l *useLog) end(id, state string, after, objective int) {
	l.line(after, "work ended", id, fmt.Sprintf(`"state":"%s","beforeGoal":%d`, state, objective-after))
}

// lookups adds works of three tasks, one on a worker of each speed or all on slow workers, and a gang that is as slow as
// its slowest member.
func (l *useLog) lookups(gang func(bool) string) {
	took := []int{600, 1000, 1600}
	for i := range 36 {
		id := fmt.Sprintf("lookup%02d", i)
		l.at = useLogStart.Add(time.Duration(i) * 50 * time.Millisecond)
		l.work(id, "lookups", 10, 1500)
		last := 0
		for task := range 3 {
			third := task
			if i%4 == 3 {
				third = 0 // a work on fast workers only
			}
			last = max(last, took[third])
			l.run(id, task, 3*third+(i+task)%3, 10, took[third], gang(false))
		}
		l.end(id, "completed", last+20, 1500)
	}
	l.at = useLogStart.Add(2 * time.Second)
	l.work("gang", "lookups", 30, 4000)
	for task := range 3 {
		l.run("gang", task, 3*task, 10, 3200, gang(true))
	}
	l.line(5000, "work is worth nothing any more", "gang", `"started":true`)
	l.work("straggler", "lookups", 10, 1500)
	l.run("straggler", 0, 0, 10, 4600, gang(false))
	l.end("straggler", "completed", 4620, 1500)
	l.work("dropped", "lookups", 5, 1500)
	l.end("dropped", "cancelled", 100, 1500)
}

// batches adds a work that waits for each cause, and one that is open.
func (l *useLog) batches(full string) {
	l.at = useLogStart.Add(4 * time.Second)
	l.work("batch1", "batches", 60, 8000)
	l.permits("batch1", 250, 200, 8, 0, full) // sent at 50
	l.permits("batch1", 300, 250, 8, 1, full) // sent at 50 as well: batch until 300, full until 400
	l.permits("batch1", 500, 100, 5, 3, full) // sent at 400: again until 500, room until 540
	l.run("batch1", 0, 0, 540, 2000, "")
	l.run("batch1", 1, 1, 540, 2000, "")
	l.run("batch1", 2, 1, 540, 2000, "")
	l.end("batch1", "failed", 2600, 8000)
	l.work("batch2", "batches", 40, 8000)
}

func (l *useLog) report(t *testing.T) *Report {
	t.Helper()
	d := New()
	is.New(t).NoErr(d.Read(strings.NewReader(l.String()), "vm1.log"))
	return d.Report()
}

func newUseLog(gang func(bool) string, full string) *useLog {
	l := &useLog{}
	l.lookups(gang)
	l.batches(full)
	return l
}

func logsGang(gang bool) string { return fmt.Sprintf(`"gang":%v,`, gang) }

// Guards against a wrong part of a report: core-seconds by outcome, works by the speed of their workers, run times, the
// use of permits, and the causes of waiting. Runs of gangs must not make workers look alike.
func TestUseOfTheCell(t *testing.T) {
	r := newUseLog(logsGang, `,"full":3`).report(t)
	for name, write := range map[string]func(*printer){
		"coreseconds": r.printCoreSeconds, "runs": r.printRuns, "permits": r.printPermits, "stages": r.printStages,
	} {
		var out bytes.Buffer
		p := &printer{w: tabwriter.NewWriter(&out, 0, 0, tabPadding, ' ', 0)}
		write(p)
		if p.err == nil {
			p.err = p.w.Flush()
		}
		is.New(t).NoErr(p.err)
		golden.Equal(t, "testdata/"+name+".txt", out.Bytes())
	}
}

// Guards against figures that are made up from lines of an older version, which lack a field.
func TestFiguresWithoutTheirFieldAreLeftOut(t *testing.T) {
	is := is.New(t)
	r := newUseLog(func(bool) string { return "" }, "").report(t)
	is.Equal(len(r.Speeds), 0)
	is.Equal(len(r.Permits), 1)
	is.Equal(r.Permits[0].Used, 2)
	is.Equal(r.Permits[0].Full, nil)
	is.Equal(r.Permits[0].Lapsed, nil)
}
