package tdreport

import (
	_ "embed" // The page's template.
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"tarragondeal/internal/account/tdburn"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent, "share": share, "rate": rate, "quantiles": quantiles, "owed": owed, "budget": budget,
	"coverage": coverage, "money": money, "yes": yes, "span": tdburn.FormatWindow, "number": number,
	"time": func(t time.Time) string { return t.UTC().Format("2 January 2006, 15:04:05 UTC") },
	"mark": mark,
}).Parse(pageText))

// view is what the page shows.
type view struct {
	*tdburn.Report
	Plots []template.HTML
}

func writeHTML(w io.Writer, r *tdburn.Report) error {
	v := view{Report: r}
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

// number writes a count with thin spaces between the thousands.
func number(n int64) string {
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

// mark names the style of a burn rate.
func mark(rate float64, requests int64) string {
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
