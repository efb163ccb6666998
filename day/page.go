package day

import (
	"bytes"
	_ "embed"
	"html/template"
	"image/color"
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// colors of a plot's lines, which differ in lightness as well.
var colors = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
	color.RGBA{R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xff},
}

// content is what a page shows.
type content struct {
	Report   *Report
	Sections []section
	Text     string
}

// section is what a page shows of a queue.
type section struct {
	Queue string
	Plots []template.HTML
}

// WritePage writes the report as one HTML page: plots of each queue, owners and outages as bands in them, and the text.
func (r *Report) WritePage(out io.Writer) error {
	var text bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		return err
	}
	var sections []section
	for i := range r.Groups {
		if g := &r.Groups[i]; g.Zone == "" && g.Class == "" {
			s, err := r.section(g)
			if err != nil {
				return err
			}
			sections = append(sections, s)
		}
	}
	return eris.Wrap(page.Execute(out, &content{r, sections, text.String()}), "write the page of a day")
}

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

func (r *Report) section(g *Group) (section, error) {
	s := section{Queue: g.Queue}
	for _, p := range []struct {
		title  string
		curves []curve
	}{
		{"share served, by when works were accepted", r.servedCurves(g.Queue)},
		{"what gangs wait for, gang-seconds", waitCurves(g)},
		{"mean time before the first start, ms", stageCurves(g)},
	} {
		svg, err := r.plot(p.title, p.curves)
		if err != nil {
			return s, err
		}
		if svg != "" {
			s.Plots = append(s.Plots, svg)
		}
	}
	return s, nil
}

func (r *Report) servedCurves(queue string) []curve {
	var out []curve
	for i := range r.Groups {
		g := &r.Groups[i]
		if g.Queue != queue || g.Zone != "" {
			continue
		}
		c := curve{name: g.of()}
		for _, w := range g.Windows {
			if w.Owed > 0 {
				c.points = append(c.points, plotter.XY{X: w.After / 1000, Y: w.Served})
			}
		}
		out = append(out, c)
	}
	return out
}

func waitCurves(g *Group) []curve {
	var out []curve
	for _, word := range waitWords {
		if g.GangSeconds[word] == 0 {
			continue
		}
		c := curve{name: word}
		for _, w := range g.Windows {
			c.points = append(c.points, plotter.XY{X: w.After / 1000, Y: float64(w.GangSeconds[word])})
		}
		out = append(out, c)
	}
	return out
}

func stageCurves(g *Group) []curve {
	var out []curve
	for _, s := range []Stage{StageTurn, StagePermits, StageAgain, StageRoom} {
		c := curve{name: string(s)}
		for _, w := range g.Windows {
			if t, ok := w.Stages[s]; ok {
				c.points = append(c.points, plotter.XY{X: w.After / 1000, Y: t})
			}
		}
		out = append(out, c)
	}
	return out
}

// plot draws curves over the seconds of the day, with a dotted line where the cell got an owner and a grey band
// where the store gave no answers; it is empty where there is nothing to draw.
func (r *Report) plot(title string, curves []curve) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "s"
	p.Legend.Top = true
	top, drawn := 0.0, 0
	for i, c := range curves {
		if len(c.points) == 0 {
			continue
		}
		l, err := plotter.NewLine(c.points)
		if err != nil {
			return "", eris.Wrap(err, "plot a day")
		}
		l.Color = colors[i%len(colors)]
		p.Add(l)
		p.Legend.Add(c.name, l)
		for _, xy := range c.points {
			top = max(top, xy.Y)
		}
		drawn++
	}
	if drawn == 0 {
		return "", nil
	}
	if err := r.bands(p, top); err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", eris.Wrap(err, "write a plot")
	}
	// A page has no place for the declaration that begins a file.
	_, drawing, _ := bytes.Cut(svg.Bytes(), []byte("?>"))
	return template.HTML(drawing), nil //nolint:gosec // the library's own drawing, which escapes its texts
}

func (r *Report) bands(p *plot.Plot, top float64) error {
	for _, o := range r.Outages {
		from, until := o.From.Sub(r.From).Seconds(), o.Until.Sub(r.From).Seconds()
		band, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: until}, {X: until, Y: top}, {X: from, Y: top}})
		if err != nil {
			return eris.Wrap(err, "plot an outage")
		}
		band.Color = color.RGBA{R: 0x80, G: 0x80, B: 0x80, A: 0x40}
		band.Width = 0
		p.Add(band)
	}
	for _, t := range r.Tenures {
		at := t.From.Sub(r.From).Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: at}, {X: at, Y: top}})
		if err != nil {
			return eris.Wrap(err, "plot a tenure")
		}
		l.Dashes = []vg.Length{vg.Points(1), vg.Points(3)}
		p.Add(l)
	}
	return nil
}
