package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

type manual struct{ parser *flags.Parser }

// Execute prints the manual.
func (m *manual) Execute([]string) error {
	writeManual(os.Stdout, m.parser)
	return nil
}

const manualHead = `# ctl

Printed by ` + "`ctl manual`" + `; do not edit.

ctl %s. %s

Every command takes the common options and ` + "`--help`" + `. With ` + "`--json`" + ` it prints one JSON value on standard output; notes and errors go to standard error.

For completion in bash, once in a session or in .bashrc:

    _ctl() { COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}")); }
    complete -F _ctl ctl

## Common options

`

func writeManual(w io.Writer, p *flags.Parser) {
	fmt.Fprintf(w, manualHead, p.ShortDescription, p.LongDescription)
	for _, g := range p.Groups() {
		if g.ShortDescription == "Common options" {
			writeOptions(w, g.Options())
		}
	}
	for _, c := range p.Commands() {
		writeCommand(w, "ctl", c)
	}
}

func writeOptions(w io.Writer, options []*flags.Option) {
	for _, o := range options {
		fmt.Fprintf(w, "- `--%s`: %s", o.LongName, o.Description)
		if len(o.Default) > 0 {
			fmt.Fprintf(w, "; default `%s`", strings.Join(o.Default, ","))
		}
		if o.EnvDefaultKey != "" {
			fmt.Fprintf(w, "; or `$%s`", o.EnvDefaultKey)
		}
		if o.Required {
			fmt.Fprint(w, "; required")
		}
		fmt.Fprintln(w)
	}
}

func writeCommand(w io.Writer, above string, c *flags.Command) {
	name := above + " " + c.Name
	if len(c.Commands()) > 0 {
		for _, sub := range c.Commands() {
			writeCommand(w, name, sub)
		}
		return
	}
	fmt.Fprintf(w, "\n## %s", name)
	for _, a := range c.Args() {
		fmt.Fprintf(w, " %s", strings.ToUpper(a.Name))
	}
	fmt.Fprintf(w, "\n\n%s\n", c.LongDescription)
	if len(c.Options()) > 0 {
		fmt.Fprintln(w)
		writeOptions(w, c.Options())
	}
}
