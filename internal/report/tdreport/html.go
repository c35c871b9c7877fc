package tdreport

import (
	_ "embed" // For page.html.
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"tarragondeal/internal/account/tdburn"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent, "share": share, "rate": rate, "quantiles": quantiles, "targets": targets, "budget": budget,
	"coverage": coverage, "money": money, "yes": yesNo, "span": tdburn.FormatWindow, "number": groupThousands,
	"time": func(t time.Time) string { return t.UTC().Format("2 January 2006, 15:04:05 UTC") },
	"mark": burnStyle,
}).Parse(pageSource))

// pageData is the data of the page template.
type pageData struct {
	*tdburn.Report
	Plots []template.HTML
}

func writeHTML(w io.Writer, r *tdburn.Report) error {
	v := pageData{Report: r}
	plots := []func(*tdburn.Report) (template.HTML, error){burnPlot, timelinePlot}
	if len(r.Worst) > 0 {
		plots = append(plots, worstPlot)
	}
	if len(r.Classes) == 0 {
		plots = nil
	}
	for _, draw := range plots {
		p, err := draw(r)
		if err != nil {
			return err
		}
		v.Plots = append(v.Plots, p)
	}
	return pageTemplate.Execute(w, v)
}

// groupThousands formats a count with narrow no-break spaces between groups of
// three digits.
func groupThousands(n int64) string {
	s := fmt.Sprint(n)
	var b strings.Builder
	for k, c := range s {
		if k > 0 && (len(s)-k)%3 == 0 {
			b.WriteString("\u202f")
		}
		b.WriteRune(c)
	}
	return b.String()
}

// burnStyle returns the CSS class for a burn rate.
func burnStyle(rate float64, requests int64) string {
	switch {
	case requests == 0:
		return "none"
	case rate > 1:
		return "bad"
	case rate > 0.5:
		return "near"
	}
	return "good"
}
