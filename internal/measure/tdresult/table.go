package tdresult

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table writes the results as a text table with one row per run.
func Table(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(results) == 0 {
		return nil
	}
	head := []string{"scenario", "policy", "seed"}
	for _, c := range results[0].Classes {
		head = append(head, c.Name)
	}
	head = append(head, "goodput", "wasted", "worst", "inversions", "reclaimable", "cost", "store/s", "peerB/s", "orders", "reports", "short", "excess", "violations")
	_, _ = fmt.Fprintln(t, strings.Join(head, "\t"))
	for _, r := range results {
		row := []string{r.Scenario, r.Policy, fmt.Sprint(r.Seed)}
		for _, c := range r.Classes {
			row = append(row, fmt.Sprintf("%.3f", c.Attainment))
		}
		row = append(row,
			fmt.Sprintf("%.0f", r.Goodput), fmt.Sprintf("%.3f", r.Wasted), fmt.Sprintf("%.2f", r.WorstShare),
			fmt.Sprint(r.Inversions), fmt.Sprintf("%.2f", r.Reclaimable), fmt.Sprintf("%.4f", r.Cost),
			fmt.Sprintf("%.1f", r.StoreCalls), fmt.Sprintf("%.0f", r.PeerBytes),
			fmt.Sprint(r.Orders), fmt.Sprint(r.Reports), fmt.Sprint(r.BilledShort), fmt.Sprint(r.BilledExcess), fmt.Sprint(len(r.Violations)))
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	return t.Flush()
}
