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

// tabPadding is the least space between two columns.
const tabPadding = 2

// table prints aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(head ...string) *table {
	t := &table{tabwriter.NewWriter(os.Stdout, 0, 0, tabPadding, ' ', 0)}
	t.row(head...)
	return t
}

// row adds one line; control characters, which a terminal would obey, are left out.
func (t *table) row(cells ...string) {
	for i := range cells {
		cells[i] = plain(cells[i])
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) print() error { return t.w.Flush() }

func plain(s string) string {
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

func indent(raw []byte) string {
	var b bytes.Buffer
	if json.Indent(&b, raw, "", "  ") != nil {
		return string(raw)
	}
	return b.String()
}

func compact(v any) string {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return err.Error()
	}
	return strings.TrimSpace(b.String())
}
