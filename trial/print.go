package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// figuresShown bounds the figures of a printed comparison; its JSON form holds all.
const figuresShown = 24

// Print writes a comparison as text.
func (c *Comparison) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure\tpairs\told\tnew\tdifference\t± (95 %)\tpairs for ± 0.01\t")
	line(t, &c.Worth)
	for i := range c.ByDay {
		line(t, &c.ByDay[i])
	}
	for i := range c.Figures[:min(len(c.Figures), figuresShown)] {
		line(t, &c.Figures[i])
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

func line(w io.Writer, d *Difference) {
	fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f\t%+.4f\t%.4f\t%d\t\n", d.Name, d.Pairs, d.Old, d.New, d.Mean, d.HalfWidth, d.PairsNeeded)
}
