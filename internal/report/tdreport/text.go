package tdreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"tarragondeal/internal/account/tdburn"
)

// page collects lines and tables. The first error of writing stays.
type page struct {
	w   io.Writer
	err error
}

func (p *page) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *page) table(rows [][]string) {
	if p.err != nil {
		return
	}
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, p.err = fmt.Fprintln(tw, strings.Join(row, "\t")); p.err != nil {
			return
		}
	}
	p.err = tw.Flush()
}

func writeText(w io.Writer, r *tdburn.Report) error {
	p := &page{w: w}
	p.line("Service-level burn, %s", r.At.UTC().Format(time.RFC3339))
	p.line("%s", coverage(r))
	p.line("")
	if len(r.Alerts) == 0 {
		p.line("No class burns its budget too fast.")
	}
	for _, a := range r.Alerts {
		p.line("%s: %s", strings.ToUpper(string(a.Severity)), a.Text)
	}
	for n := range r.Classes {
		p.class(&r.Classes[n])
	}
	p.worst(r)
	p.waste(r)
	p.cost(r)
	return p.err
}

func (p *page) class(c *tdburn.ClassReport) {
	p.line("\n%s (tier %d): %s of requests within %s; budget %s", c.Class, c.Tier, percent(c.Objective), owed(c), budget(c))
	rows := [][]string{{"  OVER", "REQUESTS", "ATTAINED", "BURN", "REFUSED", "FAILED", "RECLAIMABLE", "FIRST TOKEN P50 / P95 / P99", "BETWEEN TOKENS", "WHOLE ANSWER"}}
	for _, w := range c.Windows {
		rows = append(rows, []string{
			"  " + tdburn.FormatWindow(w.Window), fmt.Sprint(w.Requests), share(w.Attainment, w.Requests), rate(w.BurnRate, w.Requests),
			fmt.Sprint(w.Refused), fmt.Sprint(w.Failed), share(w.ReclaimableShare, w.Requests),
			quantiles(w.FirstToken), quantiles(w.BetweenTokens), quantiles(w.Total),
		})
	}
	p.table(rows)
}

func (p *page) worst(r *tdburn.Report) {
	p.line("\nWorst-served workspaces, by how fast they burn their budget over the longest window")
	if len(r.Worst) == 0 {
		p.line("  none has enough requests to tell")
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
	p.table(rows)
	if r.FoldedPairs > 0 {
		p.line("  %d pairs of workspace and class had no room and are counted together as %s", r.FoldedPairs, tdburn.Other)
	}
}

func (p *page) waste(r *tdburn.Report) {
	p.line("\nWasted work over the longest window")
	if len(r.Waste) == 0 {
		p.line("  none")
		return
	}
	rows := [][]string{{"  CAUSE", "CLASS", "REQUESTS", "TOKENS"}}
	for _, x := range r.Waste {
		rows = append(rows, []string{"  " + x.Cause, x.Class, fmt.Sprint(x.Requests), fmt.Sprint(x.Tokens)})
	}
	p.table(rows)
}

func (p *page) cost(r *tdburn.Report) {
	p.line("\nSpending on the servers that run now: %s an hour, of that %s on reclaimable ones", money(r.Spending.PerHour), money(r.Spending.ReclaimablePerHour))
	rows := [][]string{{"  SERVER POOL", "SERVERS", "AN HOUR", "RECLAIMABLE"}}
	for _, x := range r.Cost {
		rows = append(rows, []string{"  " + x.Pool, fmt.Sprint(x.Servers), money(x.PerHour), yes(x.Reclaimable)})
	}
	p.table(rows)
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
