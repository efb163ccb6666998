package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"unicode"
)

// tabPadding is the minimum space between two columns.
const tabPadding = 2

// table prints aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(head ...string) *table {
	t := &table{tabwriter.NewWriter(os.Stdout, 0, 0, tabPadding, ' ', 0)}
	t.row(head...)
	return t
}

// row adds one line. It removes control characters, which a terminal would interpret.
func (t *table) row(cells ...string) {
	for i := range cells {
		cells[i] = stripControls(cells[i])
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) print() error { return t.w.Flush() }

func stripControls(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return -1
		}
		return r
	}, s)
}

func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

func indentJSON(raw []byte) string {
	var b bytes.Buffer
	if json.Indent(&b, raw, "", "  ") != nil {
		return string(raw)
	}
	return b.String()
}

func compactJSON(v any) string {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return err.Error()
	}
	return strings.TrimSpace(b.String())
}
