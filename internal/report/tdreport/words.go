package tdreport

import (
	"fmt"
	"strings"
	"time"

	"tarragondeal"
	"tarragondeal/internal/account/tdburn"
)

// noValue is shown in place of a value that does not exist.
const noValue = "–"

func percent(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) }

// share formats a percentage of a number of requests.
func share(v float64, requests int64) string {
	if requests == 0 {
		return noValue
	}
	return percent(v)
}

func rate(v float64, requests int64) string {
	if requests == 0 {
		return noValue
	}
	return fmt.Sprintf("%.2f", v)
}

func latency(d tarragondeal.Duration) string {
	v := time.Duration(d)
	switch {
	case v < time.Second:
		return fmt.Sprintf("%d ms", v.Milliseconds())
	default:
		return fmt.Sprintf("%.2f s", v.Seconds())
	}
}

func quantiles(q *tdburn.Quantile) string {
	if q == nil {
		return noValue
	}
	return latency(q.P50) + " / " + latency(q.P95) + " / " + latency(q.P99)
}

// targets lists the latency targets of a class.
func targets(c *tdburn.ClassReport) string {
	var parts []string
	if c.FirstToken > 0 {
		parts = append(parts, "first token "+latency(c.FirstToken))
	}
	if c.BetweenTokens > 0 {
		parts = append(parts, "between tokens "+latency(c.BetweenTokens))
	}
	if c.Completion > 0 {
		parts = append(parts, "completion "+latency(c.Completion))
	}
	if len(parts) == 0 {
		return "its deadline"
	}
	return strings.Join(parts, ", ")
}

// coverage states which nodes and what time the figures cover.
func coverage(r *tdburn.Report) string {
	text := fmt.Sprintf("%d nodes answered", len(r.Nodes))
	if len(r.Missing) > 0 {
		names := make([]string, 0, len(r.Missing))
		for _, n := range r.Missing {
			names = append(names, string(n))
		}
		text += "; no answer from " + strings.Join(names, ", ") + ", whose requests are not in the figures"
	}
	return text + fmt.Sprintf(". They have been measuring for %s to %s.", approximate(r.MeasuredFor), approximate(r.MeasuredForMax))
}

// approximate formats a duration, rounded.
func approximate(d tarragondeal.Duration) string {
	v := time.Duration(d)
	switch {
	case v >= time.Hour:
		return fmt.Sprintf("%.1f h", v.Hours())
	case v >= time.Minute:
		return fmt.Sprintf("%.0f min", v.Minutes())
	}
	return fmt.Sprintf("%.0f s", v.Seconds())
}

// budget formats the remaining error budget of a class.
func budget(c *tdburn.ClassReport) string {
	if c.Windows[len(c.Windows)-1].Requests == 0 {
		return noValue
	}
	if c.BudgetLeft < 0 {
		return fmt.Sprintf("overspent by %s", percent(-c.BudgetLeft))
	}
	return percent(c.BudgetLeft) + " left"
}

func money(v float64) string { return fmt.Sprintf("%.2f", v) }
