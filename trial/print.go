package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// maxPrintedFigures is the maximum number of figures that Print writes; the JSON form has all of them.
const maxPrintedFigures = 24

// Print writes the comparison as text.
func (c *Comparison) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure\tpairs\told\tnew\tdifference\t± (95 %)\tpairs for ± 0.01\t")
	printRow(t, &c.Worth)
	for i := range c.ByDay {
		printRow(t, &c.ByDay[i])
	}
	for i := range c.Figures[:min(len(c.Figures), maxPrintedFigures)] {
		printRow(t, &c.Figures[i])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, u := range c.Unpaired {
		fmt.Fprintln(w, "without its counterpart:", u)
	}
	for _, b := range c.Violations {
		fmt.Fprintln(w, "broken:", b)
	}
	return nil
}

func printRow(w io.Writer, d *Difference) {
	fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%.4f\t%d\t\n", d.Name, d.Pairs, d.Old, d.New, d.Mean, d.HalfWidth, d.PairsNeeded)
}
