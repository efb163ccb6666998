package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Wrong flags and unreadable reports must be printed and end with code 2.
func TestRun(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "site.day.1.json"), []byte(`{"G":0.5}`), 0o644))
	empty := t.TempDir()
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"good":         {[]string{dir, dir, "--json", filepath.Join(empty, "out"), "--plot", filepath.Join(empty, "out.svg")}, 0, ""},
		"no folders":   {nil, 2, "required"},
		"unknown flag": {[]string{"--jsn", dir, dir}, 2, "jsn"},
		"no reports":   {[]string{dir, filepath.Join(empty, "none")}, 2, "no reports"},
		"wrong plot":   {[]string{dir, dir, "--plot", filepath.Join(empty, "out.doc")}, 2, "doc"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(run(c.args, &out, &errs), c.code)
			is.True(strings.Contains(errs.String(), c.want))
		})
	}
}
