package tdburn

import (
	"fmt"
	"time"

	"tarragondeal"
)

// Severity is how soon an alert needs attention.
type Severity string

// The severities.
const (
	SeverityPage   Severity = "page"   // Immediately, at any hour.
	SeverityTicket Severity = "ticket" // On the next working day.
)

// Alert reports a class that uses its error budget too fast.
type Alert struct {
	Class    string                `json:"class"`
	Severity Severity              `json:"severity"`
	BurnRate float64               `json:"burnRate"` // Over the longer window.
	Limit    float64               `json:"limit"`
	Long     tarragondeal.Duration `json:"long"`
	Short    tarragondeal.Duration `json:"short"`
	Text     string                `json:"text"`
}

// rule is a multi-window burn rate alert: it fires if the burn rate reaches
// limit over both windows. The long window shows that the burn is significant,
// the short one that it is still going on.
type rule struct {
	severity    Severity
	long, short int // Indices into Windows.
	limit       float64
	minRequests int64 // Minimum in the long window; with fewer the rate says little.
}

var rules = []rule{
	{severity: SeverityPage, long: 1, short: 0, limit: 6, minRequests: 20},
	{severity: SeverityTicket, long: 3, short: 2, limit: 1, minRequests: 20},
}

// maxLimitShare caps a rule's limit at this share of the highest burn rate that
// the class can reach, 1/(1-objective): with an objective of 0.5 the rate never
// exceeds 2.
const maxLimitShare = 0.9

// alerts returns an alert for each rule that the class violates.
func alerts(c *ClassReport) []Alert {
	var out []Alert
	for _, r := range rules {
		long, short := c.Windows[r.long], c.Windows[r.short]
		limit := min(r.limit, maxLimitShare/(1-c.Objective))
		if long.Requests < r.minRequests || long.BurnRate < limit || short.BurnRate < limit {
			continue
		}
		out = append(out, Alert{
			Class: c.Class, Severity: r.severity, BurnRate: long.BurnRate, Limit: limit, Long: long.Window, Short: short.Window,
			Text: fmt.Sprintf("%s burns its budget %.1f times as fast as its objective of %.4g allows, over %s and over %s",
				c.Class, long.BurnRate, c.Objective, FormatWindow(long.Window), FormatWindow(short.Window)),
		})
	}
	return out
}

// FormatWindow formats a duration in whole days, hours or minutes if it can,
// such as 3d, 6h or 5m, and like time.Duration.String otherwise.
func FormatWindow(d tarragondeal.Duration) string {
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
