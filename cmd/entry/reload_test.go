package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"turmericgap/platform"
)

const settingsFile = `{"NodeName":"edge-1","Ip":"10.1.0.13","Zone":"kochi-hall",
"Listen":{"Frontend":"10.1.0.13:8161","Readiness":"10.1.0.13:8167"},"InternalPorts":[7720,7735],
"platform":{"Address":"10.200.1.7:8169"},"Bounds":{"HoldLimitMs":10000,"GraceS":6}}`

// SIGHUP must not end the process: it must log the changed settings, and report an unreadable file while the settings
// from process start stay in force.
func TestReload(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "boot.json")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(settingsFile)
	settings, err := platform.LoadSettings(path)
	is.NoErr(err)
	core, logs := observer.New(zapcore.InfoLevel)
	p := &program{settings: settings, log: zap.New(core)}
	p.reloadOnSIGHUP(path)
	for _, c := range []struct{ text, want string }{
		{strings.Replace(settingsFile, `"GraceS":6`, `"GraceS":9`, 1), "ShutdownWithin"},
		{"{", "cannot be read"},
	} {
		write(c.text)
		logs.TakeAll()
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
		var logged string
		for range 200 {
			if all := logs.All(); len(all) > 0 {
				logged = all[0].Message + " " + strings.Join(changedNames(all[0]), " ")
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(strings.Contains(logged, c.want))
	}
}

func changedNames(e observer.LoggedEntry) []string {
	list, _ := e.ContextMap()["changedForTheNextStart"].([]any)
	var out []string
	for _, name := range list {
		out = append(out, name.(string))
	}
	return out
}
