package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// An operator reports a day from the logs that there are. A wrong file or flag does nothing and is told with code 2;
// lines that cannot be read do not keep the report from being written, and are told with code 2 after it.
func TestDay(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const line = `{"time":"2026-10-07T22:55:00Z","msg":"owner: this VM owns the cell","vm":"vm1","fence":4}` + "\n"
	good, cut := write("good.log", line), write("cut.log", line+`{"time":`+"\n"+line)
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
