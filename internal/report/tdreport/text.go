package tdreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"tarragondeal/internal/account/tdburn"
)

// textWriter writes lines and tables. After the first error it writes nothing
// and keeps the error.
type textWriter struct {
	w   io.Writer
	err error
}

func (t *textWriter) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

func (t *textWriter) table(rows [][]string) {
	if t.err != nil {
		return
	}
	tw := tabwriter.NewWriter(t.w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, t.err = fmt.Fprintln(tw, strings.Join(row, "\t")); t.err != nil {
			return
		}
	}
	t.err = tw.Flush()
}

func writeText(w io.Writer, r *tdburn.Report) error {
	t := &textWriter{w: w}
	t.line("Service-level burn, %s", r.At.UTC().Format(time.RFC3339))
	t.line("%s", coverage(r))
	t.line("")
	if len(r.Alerts) == 0 {
		t.line("No class burns its budget too fast.")
	}
	for _, a := range r.Alerts {
		t.line("%s: %s", strings.ToUpper(string(a.Severity)), a.Text)
	}
	for n := range r.Classes {
		t.class(&r.Classes[n])
	}
	t.worst(r)
	t.waste(r)
	t.cost(r)
	return t.err
}

func (t *textWriter) class(c *tdburn.ClassReport) {
	t.line("\n%s (tier %d): %s of requests within %s; budget %s", c.Class, c.Tier, percent(c.Objective), targets(c), budget(c))
	rows := [][]string{{"  OVER", "REQUESTS", "ATTAINED", "BURN", "REFUSED", "FAILED", "RECLAIMABLE", "FIRST TOKEN P50 / P95 / P99", "BETWEEN TOKENS", "WHOLE ANSWER"}}
	for _, w := range c.Windows {
		rows = append(rows, []string{
			"  " + tdburn.FormatWindow(w.Window), fmt.Sprint(w.Requests), share(w.Attainment, w.Requests), rate(w.BurnRate, w.Requests),
			fmt.Sprint(w.Refused), fmt.Sprint(w.Failed), share(w.ReclaimableShare, w.Requests),
			quantiles(w.FirstToken), quantiles(w.BetweenTokens), quantiles(w.Total),
		})
	}
	t.table(rows)
}

func (t *textWriter) worst(r *tdburn.Report) {
	t.line("\nWorst-served workspaces, by how fast they burn their budget over the longest window")
	if len(r.Worst) == 0 {
		t.line("  none has enough requests to tell")
		return
	}
	rows := [][]string{{"  WORKSPACE", "CLASS"}}
	for _, w := range r.Worst[0].Windows {
		rows[0] = append(rows[0], strings.ToUpper(tdburn.FormatWindow(w.Window))+" REQUESTS", "ATTAINED", "BURN")
	}
	for _, x := range r.Worst {
		row := []string{"  " + x.Workspace, x.Class}
		for _, w := range x.Windows {
			row = append(row, fmt.Sprint(w.Requests), share(w.Attainment, w.Requests), rate(w.BurnRate, w.Requests))
		}
		rows = append(rows, row)
	}
	t.table(rows)
	if r.FoldedPairs > 0 {
		t.line("  %d pairs of workspace and class had no room and are counted together as %s", r.FoldedPairs, tdburn.Other)
	}
}

func (t *textWriter) waste(r *tdburn.Report) {
	t.line("\nWasted work over the longest window")
	if len(r.Waste) == 0 {
		t.line("  none")
		return
	}
	rows := [][]string{{"  CAUSE", "CLASS", "REQUESTS", "TOKENS"}}
	for _, x := range r.Waste {
		rows = append(rows, []string{"  " + x.Cause, x.Class, fmt.Sprint(x.Requests), fmt.Sprint(x.Tokens)})
	}
	t.table(rows)
}

func (t *textWriter) cost(r *tdburn.Report) {
	t.line("\nSpending on the servers that run now: %s an hour, of that %s on reclaimable ones", money(r.Spending.PerHour), money(r.Spending.ReclaimablePerHour))
	rows := [][]string{{"  SERVER POOL", "SERVERS", "AN HOUR", "RECLAIMABLE"}}
	for _, x := range r.Cost {
		rows = append(rows, []string{"  " + x.Pool, fmt.Sprint(x.Servers), money(x.PerHour), yesNo(x.Reclaimable)})
	}
	t.table(rows)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
