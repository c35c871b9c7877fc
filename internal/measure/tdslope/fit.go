package tdslope

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Line is the least-squares line of one figure over the sizes of a sweep.
type Line struct {
	Figure    string  `json:"figure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// At returns the line's value at the size x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Result is the result of one sweep.
type Result struct {
	Axis       string  `json:"axis"`
	Points     []Point `json:"points"`
	Lines      []Line  `json:"lines"`
	LoadBefore string  `json:"loadBefore"` // The machine's load averages.
	LoadAfter  string  `json:"loadAfter"`
}

// Fit returns a line for each figure that any of the points has. A point without
// the figure counts as zero. Fit returns no lines for fewer than two points. R2 is
// 0 for a figure that does not change.
func Fit(points []Point) []Line {
	if len(points) < 2 {
		return nil
	}
	var out []Line
	for _, name := range figureNames(points) {
		var x, y []float64
		for _, p := range points {
			x, y = append(x, p.X), append(y, p.Value(name))
		}
		l := Line{Figure: name}
		l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
		if stat.Variance(y, nil) > 0 {
			l.R2 = stat.RSquared(x, y, nil, l.Intercept, l.Slope)
		}
		out = append(out, l)
	}
	return out
}

// figureNames returns the names of all figures in the order of their first
// occurrence.
func figureNames(points []Point) []string {
	var out []string
	seen := make(map[string]bool)
	for _, p := range points {
		for _, f := range p.Figures {
			if !seen[f.Name] {
				seen[f.Name] = true
				out = append(out, f.Name)
			}
		}
	}
	return out
}

// Table writes a sweep as a text table with one row per figure.
func Table(w io.Writer, r Result) error {
	_, _ = fmt.Fprintf(w, "axis %s, load averages %s before, %s after\n", r.Axis, r.LoadBefore, r.LoadAfter)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"figure"}
	for _, p := range r.Points {
		head = append(head, fmt.Sprintf("%.4g", p.X))
	}
	_, _ = fmt.Fprintln(t, strings.Join(append(head, "intercept", "slope", "r2"), "\t"))
	for _, name := range figureNames(r.Points) {
		row := []string{name}
		for _, p := range r.Points {
			row = append(row, fmt.Sprintf("%.4g", p.Value(name)))
		}
		_, _ = fmt.Fprintln(t, strings.Join(append(row, r.line(name)...), "\t"))
	}
	for _, p := range r.Points {
		if p.Sent > 0 {
			_, _ = fmt.Fprintf(t, "at %.4g: %d requests, %d failed %s\n", p.X, p.Sent, p.Failed, strings.Join(p.Failures, ", "))
		}
	}
	return t.Flush()
}

// line returns the columns of the figure's line, or nil if it has none.
func (r Result) line(name string) []string {
	for _, l := range r.Lines {
		if l.Figure == name {
			return []string{fmt.Sprintf("%.4g", l.Intercept), fmt.Sprintf("%.4g", l.Slope), fmt.Sprintf("%.2f", l.R2)}
		}
	}
	return nil
}
