//nolint:misspell // The libraries spell colour and centimetre in American English.
package tdreport

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"regexp"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"tarragondeal/internal/account/tdburn"
)

// Nominal size of a plot, which sets its proportions. In a browser it scales to
// the available width.
const (
	plotWidth  = 10 * vg.Centimeter
	plotHeight = 6.5 * vg.Centimeter
)

// palette holds the colours of the classes. They are distinguishable with
// colour vision deficiency.
var palette = []color.RGBA{
	{R: 0x00, G: 0x72, B: 0xb2, A: 0xff}, {R: 0xd5, G: 0x5e, B: 0x00, A: 0xff}, {R: 0x00, G: 0x9e, B: 0x73, A: 0xff},
	{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff}, {R: 0xe6, G: 0x9f, B: 0x00, A: 0xff}, {R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
}

var limitColour = color.RGBA{R: 0xb0, A: 0xff}

// maxPlottedClasses limits the classes in one plot; the tables show all.
const maxPlottedClasses = 6

func plottedClasses(r *tdburn.Report) []tdburn.ClassReport {
	return r.Classes[:min(len(r.Classes), maxPlottedClasses)]
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = y
	p.Title.TextStyle.Font.Size = 11
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = 10
	p.Add(plotter.NewGrid())
	return p
}

// burnPlot plots the burn rate of each class over each window.
func burnPlot(r *tdburn.Report) (template.HTML, error) {
	p := newPlot("Burn rate by window", "times the rate allowed")
	names := make([]string, 0, len(tdburn.Windows))
	classes := plottedClasses(r)
	width := vg.Points(48 / float64(max(len(classes), 1)))
	for n, c := range classes {
		values := make(plotter.Values, 0, len(c.Windows))
		for _, w := range c.Windows {
			values = append(values, w.BurnRate)
			if n == 0 {
				names = append(names, tdburn.FormatWindow(w.Window))
			}
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return "", err
		}
		bars.Color = palette[n]
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(n)-float64(len(classes)-1)/2)
		p.Add(bars)
		p.Legend.Add(c.Class, bars)
	}
	p.Add(limitLine(1, float64(len(names))-0.5))
	p.NominalX(names...)
	p.Y.Min, p.Y.Max = 0, max(p.Y.Max*1.25, 1.5)
	return renderSVG(p)
}

// limitLine returns a dashed line across a bar chart at the permitted rate y, up
// to the right edge.
func limitLine(y, right float64) *plotter.Line {
	l, _ := plotter.NewLine(plotter.XYs{{X: -0.5, Y: y}, {X: right, Y: y}}) // Fails only for no points, NaN or infinity.
	l.Color = limitColour
	l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	return l
}

// timelinePlot plots the attainment of each class over time.
func timelinePlot(r *tdburn.Report) (template.HTML, error) {
	p := newPlot("Attainment over the last hours", "per cent")
	p.X.Label.Text = "hours ago"
	for n, c := range plottedClasses(r) {
		var points plotter.XYs
		for _, x := range c.Timeline {
			if x.Requests > 0 {
				points = append(points, plotter.XY{X: -time.Duration(x.Ago).Hours(), Y: 100 * float64(x.Good) / float64(x.Requests)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", err
		}
		line.Color, dots.Color = palette[n], palette[n]
		line.Width = vg.Points(1.2)
		dots.Shape = draw.CircleGlyph{}
		dots.Radius = vg.Points(1.8)
		p.Add(line, dots)
		p.Legend.Add(c.Class, line)
	}
	p.Legend.Top = false
	p.X.Min, p.X.Max = -6, 0.1
	p.Y.Min, p.Y.Max = 0, 103
	return renderSVG(p)
}

// worstPlot plots the attainment of the worst-served workspaces.
func worstPlot(r *tdburn.Report) (template.HTML, error) {
	const shown = 8
	p := newPlot("Worst-served workspaces", "")
	p.X.Label.Text = "per cent attained, longest window"
	var values plotter.Values
	var names []string
	for n := min(len(r.Worst), shown) - 1; n >= 0; n-- { // The last bar is at the top.
		w := r.Worst[n]
		values = append(values, 100*w.Windows[len(w.Windows)-1].Attainment)
		names = append(names, w.Workspace+" "+w.Class)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(9))
	if err != nil {
		return "", err
	}
	bars.Horizontal = true
	bars.Color = palette[0]
	bars.LineStyle.Width = 0
	p.Add(bars)
	p.NominalY(names...)
	p.X.Min, p.X.Max = 0, 100
	return renderSVG(p)
}

// svgSizeAttributes matches the fixed size of an SVG image. It is replaced so
// that the plot scales with the page.
var svgSizeAttributes = regexp.MustCompile(`width="[^"]*" height="[^"]*"`)

var svgStart = []byte("<svg")

func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.NewWith(vgsvg.UseWH(plotWidth, plotHeight))
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if at := bytes.Index(text, svgStart); at >= 0 {
		text = text[at:]
	}
	if at := svgSizeAttributes.FindIndex(text); at != nil {
		head := fmt.Sprintf(`role="img" aria-label=%q`, template.HTMLEscapeString(p.Title.Text))
		text = append([]byte(string(text[:at[0]])+head), text[at[1]:]...)
	}
	// The library escapes the texts in the plot.
	return template.HTML(text), nil
}
