package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// A wrong file or flag must end with code 2 before any report. Unreadable lines must not prevent the report; they are
// listed after it, also with code 2.
func TestDay(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const validLine = `{"time":"2026-10-07T22:55:00Z","msg":"owner: this VM owns the cell","vm":"vm1","fence":4}` + "\n"
	good, cut := write("good.log", validLine), write("cut.log", validLine+`{"time":`+"\n"+validLine)
	page := filepath.Join(dir, "day.html")
	for name, c := range map[string]struct {
		args []string
		want int
	}{
		"a log":                         {[]string{"day", good, "--page", page}, 0},
		"two logs, as JSON":             {[]string{"day", "--json", good, good}, 0},
		"a line that cannot be read":    {[]string{"day", cut}, exitUsage},
		"no such file":                  {[]string{"day", filepath.Join(dir, "none.log")}, exitUsage},
		"a folder":                      {[]string{"day", dir}, exitUsage},
		"no log":                        {[]string{"day"}, exitUsage},
		"a wrong number":                {[]string{"day", "--named", "-1", good}, exitUsage},
		"a page that cannot be written": {[]string{"day", good, "--page", filepath.Join(dir, "none", "day.html")}, exitFailed},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(run(c.args), c.want) })
	}
	_, err := os.Stat(page)
	is.New(t).NoErr(err)
}
