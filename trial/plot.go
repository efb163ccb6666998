package trial

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth = 22 * vg.Centimeter
	plotLine  = 0.9 * vg.Centimeter
	plotFrame = 3 * vg.Centimeter
)

// Plot writes the differences of the days with their intervals to a file. Its extension determines the format.
func (c *Comparison) Plot(path string) error {
	p := plot.New()
	p.Title.Text = "difference in worth, new less old, 95 %"
	rows := append([]Difference{c.Worth}, c.ByDay...)
	points := intervals{XYs: make(plotter.XYs, len(rows)), XErrors: make(plotter.XErrors, len(rows))}
	names := make([]string, len(rows))
	for i := range rows {
		y := len(rows) - 1 - i
		names[y] = rows[i].Name
		points.XYs[i] = plotter.XY{X: rows[i].Mean, Y: float64(y)}
		points.XErrors[i].Low, points.XErrors[i].High = rows[i].HalfWidth, rows[i].HalfWidth
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return eris.Wrap(err, "plot a comparison")
	}
	bars, err := plotter.NewXErrorBars(points)
	if err != nil {
		return eris.Wrap(err, "plot a comparison")
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -1}, {X: 0, Y: float64(len(rows))}})
	if err != nil {
		return eris.Wrap(err, "plot a comparison")
	}
	p.Add(zero, bars, dots)
	p.NominalY(names...)
	return eris.Wrap(p.Save(plotWidth, plotFrame+vg.Length(len(rows))*plotLine, path), "save plot of a comparison")
}

// intervals holds points with error bars along X.
type intervals struct {
	plotter.XYs
	plotter.XErrors
}
