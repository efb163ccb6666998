package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"turmericgap/standin/golden"
)

const (
	goodEntry = `{"cmd":"score","site":"north","head":"abc","error":null,"days":[
		{"name":"quiet-1","kind":"quiet","G":0.9,"gate":true,"rules":{},"fault":null,"short":[]},
		{"name":"trouble-1","kind":"trouble","G":0.5,"gate":true,"rules":{},"fault":null,"short":[]},
		{"name":"scale-1","kind":"scale","G":0.6,"gate":true,"rules":{},"fault":null,"short":[]},
		{"name":"drawn","kind":"replay","G":0.1,"gate":true,"rules":{},"fault":null,"short":[]}]}`
	badEntry = `{"cmd":"score","site":"south","head":"abc","error":null,"days":[
		{"name":"trouble-1","kind":"trouble","G":0.4,"gate":false,"rules":{"TWICE":2},"fault":"exit","short":["rosters"]}]}`
	huntEntry  = `{"cmd":"hunt","site":"north","error":null,"days":[]}`
	unfinished = `{"cmd":"score","site":"north","error":"the run did not finish","days":[]}`
	landing    = `[{"site":"north","worth":0.56},{"site":"south","worth":0.5}]`
)

// Regressions must be listed and end with code 1; wrong flags and unreadable files must all be listed and end with
// code 2.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad, last := file("good.json", goodEntry), file("bad.json", badEntry), file("last.json", landing)
	hunt, cut := file("hunt.json", huntEntry), file("cut.json", unfinished)
	for name, c := range map[string]struct {
		args []string
		code int
		want []string
	}{
		"good":          {[]string{"--against", last, "--keep", filepath.Join(dir, "kept.json"), good}, 0, nil},
		"worse":         {[]string{"--against", last, good, bad}, exitRegression, nil},
		"nothing":       {nil, exitFindings, []string{"required"}},
		"unknown flag":  {[]string{"--nosuch", last, good}, exitFindings, []string{"nosuch"}},
		"all findings":  {[]string{"--against", filepath.Join(dir, "none"), hunt, cut, good}, exitFindings, []string{"of a hunt", "did not finish", "none"}},
		"kept and read": {[]string{"--against", last, good}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(run(c.args, &out, &errs), c.code)
			for _, s := range c.want {
				is.True(strings.Contains(errs.String(), s))
			}
			if name == "worse" {
				golden.Equal(t, "testdata/worse.golden", out.Bytes())
			}
		})
	}
}
