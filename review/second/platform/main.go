// Command platform runs one case of the second review: a small deployment of the project's entry program on stand-ins of
// the users' platform, its runners and its clients. See ../../REPORT-2.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is how long a case may take in all.
const limit = 115 * time.Second

// play runs a case and returns what broke the rule, or an empty string. trouble is false for the same without the
// disruption.
type play func(log *record, trouble bool) (broken string, err error)

var plays = map[string]play{
	"one-crash":   playOneCrash,
	"quarantine":  playQuarantine,
	"isolation":   playIsolation,
	"lost-runner": playLostRunner,
	"oversize":    playOversize,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE RECORD")
		os.Exit(exitNotRun)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := plays[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = fmt.Errorf("interrupted")
		closeAll()
	case <-time.After(limit):
		r.err = fmt.Errorf("the case took longer than %v", limit)
		closeAll()
	}
	switch {
	case r.err != nil:
		log.printf("not run: %v", r.err)
		fmt.Println("not run:", r.err)
		os.Exit(exitNotRun)
	case r.broken != "":
		log.printf("broken: %s", r.broken)
		fmt.Println("broken:", r.broken)
		os.Exit(exitBroken)
	}
	log.printf("held")
	fmt.Println("held")
	os.Exit(exitHeld)
}
