// Command ctl is the command line client for operators, and for callers who use a cell manually.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"turmericgap/finding"
)

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
	// exitConflict means that another edit was written first.
	exitConflict = 5
	// exitBehind means that a process does not have the newest rules.
	exitBehind = 6
)

// commonOptions holds the options of every command.
type commonOptions struct {
	Gate      string `long:"gate" env:"TURMERICGAP_GATE" default:"127.0.0.1:7801" description:"callers' address of a gate, IP number and port"`
	Scheduler string `long:"scheduler" env:"TURMERICGAP_SCHEDULER" default:"127.0.0.1:7010" description:"rpc address of any scheduler, IP number and port"`
	Store     string `long:"store" env:"TURMERICGAP_STORE" default:"http://127.0.0.1:7100" description:"endpoint of the platform's key-value service"`
	StoreKind string `long:"store-kind" env:"TURMERICGAP_STORE_KIND" default:"etcd" description:"how that service is spoken to: etcd, or platform with IP number and port as its endpoint"`
	JSON      bool   `long:"json" description:"print JSON"`
	Seconds   int    `long:"seconds" default:"10" description:"time limit of the command"`
}

// exitError is an error with a process exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func main() { os.Exit(run(os.Args[1:])) }

// run executes a command line and returns the exit code.
func run(args []string) int {
	_, err := newParser(&commonOptions{}).ParseArgs(args)
	return reportError(err)
}

// newParser returns a parser with all commands. The manual is generated from it.
func newParser(c *commonOptions) *flags.Parser {
	parser := flags.NewNamedParser("ctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "drives a turmericgap cell"
	parser.LongDescription = "Exit codes: 0 done, 1 failed, 2 wrong usage or findings, 3 surely not run, 4 may have run or unknown, 5 another edit came first, 6 some process lacks the newest rules."
	if _, err := parser.AddGroup("Common options", "", c); err != nil {
		panic(err)
	}
	addCommands(parser.Command, callerCommands(c))
	addCommands(parser.Command, cellCommands(c))
	rules, err := parser.AddCommand("rules", "read and change the rules", "Reads and changes the operators' rules (docs/RULES.md).", &rulesGroup{})
	if err != nil {
		panic(err)
	}
	addCommands(rules, rulesCommands(c))
	addCommands(parser.Command, []command{{"manual", "print the manual", "Prints the manual of all commands in Markdown.", &manual{parser: parser}}})
	return parser
}

func addCommands(to *flags.Command, commands []command) {
	for _, cmd := range commands {
		if _, err := to.AddCommand(cmd.name, cmd.short, cmd.long, cmd.run); err != nil {
			panic(err)
		}
	}
}

// command describes one command of the command line.
type command struct {
	name, short, long string
	run               flags.Commander
}

// reportError prints an error with advice and returns the exit code.
func reportError(err error) int {
	var flagsErr *flags.Error
	var e *exitError
	var l finding.List
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(flagsErr.Message)
		return 0
	case errors.As(err, &flagsErr):
		fmt.Fprintf(os.Stderr, "ctl: %s\nTry ctl --help.\n", flagsErr.Message)
		return exitUsage
	case errors.As(err, &l):
		fmt.Fprintf(os.Stderr, "ctl: nothing was done; findings: %d\n%s\n", len(l), l)
		return exitUsage
	case errors.As(err, &e):
		fmt.Fprintf(os.Stderr, "ctl: %s\n", oneLine(e.err))
		return e.code
	default:
		fmt.Fprintf(os.Stderr, "ctl: %s\n", oneLine(err))
		return exitFailed
	}
}

// oneLine joins the lines of an error with several causes.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
