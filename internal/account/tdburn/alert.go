package tdburn

import (
	"fmt"
	"time"

	"tarragondeal"
)

// Severity says how soon somebody should look.
type Severity string

// The severities.
const (
	SeverityPage   Severity = "page"   // Now, whatever the hour.
	SeverityTicket Severity = "ticket" // On the next working day.
)

// Alert is a class whose budget burns too fast.
type Alert struct {
	Class    string                `json:"class"`
	Severity Severity              `json:"severity"`
	BurnRate float64               `json:"burnRate"` // Over the longer window.
	Limit    float64               `json:"limit"`
	Long     tarragondeal.Duration `json:"long"`
	Short    tarragondeal.Duration `json:"short"`
	Text     string                `json:"text"`
}

// rule is a pair of windows over which a budget must not burn faster than a
// limit. The long one makes sure that it matters, the short one that it
// still goes on.
type rule struct {
	severity    Severity
	long, short int // Indices of Windows.
	limit       float64
	requests    int64 // In the long window, for the rate to mean anything.
}

var rules = []rule{
	{severity: SeverityPage, long: 1, short: 0, limit: 6, requests: 20},
	{severity: SeverityTicket, long: 3, short: 2, limit: 1, requests: 20},
}

// reach is the share of the highest burn rate that a class can have to which
// a rule's limit is lowered where it lies beyond: with an objective of 0.5
// the rate never passes 2.
const reach = 0.9

// alerts returns the rules that a class breaks now.
func alerts(c *ClassReport) []Alert {
	var out []Alert
	for _, r := range rules {
		long, short := c.Windows[r.long], c.Windows[r.short]
		limit := min(r.limit, reach/(1-c.Objective))
		if long.Requests < r.requests || long.BurnRate < limit || short.BurnRate < limit {
			continue
		}
		out = append(out, Alert{
			Class: c.Class, Severity: r.severity, BurnRate: long.BurnRate, Limit: limit, Long: long.Window, Short: short.Window,
			Text: fmt.Sprintf("%s burns its budget %.1f times as fast as its objective of %.4g allows, over %s and over %s",
				c.Class, long.BurnRate, c.Objective, Span(long.Window), Span(short.Window)),
		})
	}
	return out
}

// Span writes a window the way people say it.
func Span(d tarragondeal.Duration) string {
	const day = 24 * time.Hour
	v := time.Duration(d)
	switch {
	case v >= day && v%day == 0:
		return fmt.Sprintf("%dd", v/day)
	case v >= time.Hour && v%time.Hour == 0:
		return fmt.Sprintf("%dh", v/time.Hour)
	case v >= time.Minute && v%time.Minute == 0:
		return fmt.Sprintf("%dm", v/time.Minute)
	}
	return v.String()
}
