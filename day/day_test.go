package day

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"turmericgap/standin/golden"

	"github.com/matryer/is"
)

const logFile = "testdata/day.log"

func readLog(t *testing.T, opts ...Option) *Report {
	t.Helper()
	raw, err := os.ReadFile(logFile)
	if err != nil {
		t.Fatal(err)
	}
	d := New(opts...)
	if err := d.Read(bytes.NewReader(raw), logFile); err != nil {
		t.Fatal(err)
	}
	r := d.Report()
	if err := r.AttachLines(bytes.NewReader(raw)); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestReport(t *testing.T) {
	is := is.New(t)
	r := readLog(t)
	var text bytes.Buffer
	is.NoErr(r.WriteText(&text))
	golden.Equal(t, "testdata/day.txt", text.Bytes())
	raw, err := json.MarshalIndent(r, "", "  ")
	is.NoErr(err)
	golden.Equal(t, "testdata/day.json", append(raw, '\n'))
}

// Each VM has a log of its own, and nobody merges them. A work's lines then come in any order: the report is the same.
func TestOrderOfLinesDoesNotMatter(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(logFile)
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	slices.Reverse(lines)
	d := New()
	is.NoErr(d.Read(strings.NewReader(strings.Join(lines, "\n")), logFile))
	got, want := d.Report(), readLog(t)
	got.Findings, want.Findings = nil, nil
	for _, list := range [][]WorkDetail{want.Lost, want.Slowest} {
		for i := range list {
			list[i].Lines = nil
		}
	}
	a, err := json.Marshal(got)
	is.NoErr(err)
	b, err := json.Marshal(want)
	is.NoErr(err)
	is.Equal(string(a), string(b))
}

// A log is cut within a line, and a line is longer than any of ours. Both are told of by their place, and the lines
// after them count.
func TestUnreadableLines(t *testing.T) {
	is := is.New(t)
	good := `{"time":"2026-10-07T22:55:00Z","msg":"owner: this VM owns the cell","vm":"kochi-1","fence":4}` + "\n"
	log := good + `{"time":"2026-10-07T22:` + "\n" + strings.Repeat("x", 3*mostLine) + "\n" + strings.Repeat("{\n", mostFindings) + good
	d := New()
	is.NoErr(d.Read(strings.NewReader(log), "log"))
	r := d.Report()
	is.Equal(r.Lines, 2)
	is.Equal(r.Unreadable, mostFindings+2)
	is.Equal(len(r.Findings), mostFindings+1)
	is.Equal(r.Findings[0].Path, "log:2")
	is.Equal(r.Findings[1].Path, "log:3")
	is.Equal(r.Findings[mostFindings].Reason, "2 cannot be read either")
}

// A log of weeks has more works than memory holds. Those beyond the bound are counted, not followed.
func TestWorksAreBounded(t *testing.T) {
	is := is.New(t)
	r := readLog(t, MaxWorks(2), MaxNamed(1))
	is.True(r.LeftOut > 0)
	works := 0
	for _, g := range r.Groups {
		if g.Zone == "" && g.Class == "" {
			works += g.Works
		}
	}
	is.Equal(works, 2)
	is.True(len(r.Slowest) <= 1)
}

// A fault gives each caller a reason of its own. Those beyond the bound are counted together, and none of them is
// said to have another's method or status.
func TestReasonsAreBounded(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	const more = 5
	for i := range mostReasons + more {
		word := strings.Repeat("x", i+1)
		fmt.Fprintf(&log, `{"time":"2026-10-07T22:55:00Z","msg":"entry: answered","method":"POST","status":503,"error":"%s"}`+"\n", word)
	}
	d := New()
	is.NoErr(d.Read(strings.NewReader(log.String()), "log"))
	refusals := d.Report().Refusals
	is.Equal(len(refusals), mostReasons+1)
	is.Equal(refusals[0].Reason, otherReasons)
	is.Equal(refusals[0].Count, more)
	is.Equal(refusals[0].Method, "")
	is.Equal(refusals[0].Status, 0)
}

// A caller chooses the names of queues, and a page shows them.
func TestPageEscapes(t *testing.T) {
	is := is.New(t)
	d := New()
	is.NoErr(d.Read(strings.NewReader(`{"time":"2026-10-07T22:55:00Z","msg":"dispatch: work taken","id":"a","queue":"<script>x</script>","class":"usual","age":0}`), "log"))
	var page bytes.Buffer
	is.NoErr(d.Report().WritePage(&page))
	is.True(!strings.Contains(page.String(), "<script>"))
	page.Reset()
	is.NoErr(readLog(t).WritePage(&page))
	is.Equal(strings.Count(page.String(), "<svg"), 5) // three of rosters, two of checks, which never wait as gangs
	is.Equal(strings.Count(page.String(), "<?xml"), 0)
}
