package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"time"
)

// timeLimit is how long a play may take.
const timeLimit = 115 * time.Second

// errBroken is the result of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the plays by name. Each returns errBroken or wraps it if its rule was broken; trouble is false for a play
// without the disruption.
var cases = map[string]func(c *Cell, trouble bool) error{}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	runtime.LockOSThread() // the processes end with the thread that has started them
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cell CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, record string) int {
	c, err := newCell(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer c.Close()
	time.AfterFunc(timeLimit, func() {
		c.Log("result: the play took too long")
		c.Close()
		os.Exit(exitFailed)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	c.Log("case %s, disruption: %v", name, trouble)
	err = cases[name](c, trouble)
	c.Log("result: %v", err)
	switch {
	case err == nil:
		fmt.Println("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
