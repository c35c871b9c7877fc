package tdreport_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/account/tdburn"
	"tarragondeal/internal/report/tdreport"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Report")
}

const ms = tarragondeal.Duration(time.Millisecond)

// sampleReport has two classes, one of them with an alert.
func sampleReport() *tdburn.Report {
	r := &tdburn.Report{
		At:    time.Date(2026, 12, 3, 23, 40, 0, 0, time.UTC),
		Nodes: []tarragondeal.NodeID{"node1", "node2"}, Missing: []tarragondeal.NodeID{"node3"},
		MeasuredFor: 90 * 60000 * ms, MeasuredForMax: 70 * 3600000 * ms,
		Alerts: []tdburn.Alert{{Class: "bench", Severity: tdburn.SeverityPage, Text: "bench burns its budget 7.2 times as fast as its objective of 0.95 allows, over 1h and over 5m"}},
		Waste:  []tdburn.WasteLine{{Cause: "crash", Class: "bench", Requests: 12, Tokens: 48211}, {Cause: "cancelled", Class: "deviations", Requests: 3, Tokens: 911}},
		Cost: []tdburn.PoolCost{
			{Pool: "narrator", Servers: 9, PerHour: 18}, {Pool: "narrator-spot", Servers: 4, PerHour: 3.2, Reclaimable: true}, {Pool: "records", Servers: 4, PerHour: 2},
		},
		Spending: tdburn.SpendingRate{PerHour: 23.2, ReclaimablePerHour: 3.2},
	}
	r.Classes = append(r.Classes, classReport("bench", 1, []float64{9.1, 7.2, 2.4, 0.62}), classReport("deviations", 3, []float64{0, 0.2, 0.6, 0.41}))
	for _, name := range []string{"toledo-benches", "erie-benches", "auditors", "compliance-desk"} {
		w := tdburn.WorkspaceReport{Workspace: name, Class: "bench"}
		for k, window := range []time.Duration{time.Hour, 6 * time.Hour, 72 * time.Hour} {
			bad := 0.02 * float64(k+len(name)%5)
			w.Windows = append(w.Windows, tdburn.WorkspaceWindow{Window: tarragondeal.Duration(window), Requests: int64(120 * (k + 1)), Attainment: 1 - bad, BurnRate: bad / 0.05})
		}
		r.Worst = append(r.Worst, w)
	}
	return r
}

func classReport(name string, tier int, rates []float64) tdburn.ClassReport {
	c := tdburn.ClassReport{Class: name, Tier: tier, Objective: 0.95, FirstToken: 330 * ms, BetweenTokens: 30 * ms, BudgetLeft: 1 - rates[3]}
	for k, window := range tdburn.Windows {
		c.Windows = append(c.Windows, tdburn.WindowReport{
			Window: tarragondeal.Duration(window), Requests: int64(1800 * (k*k*k + 1)), Good: int64(1700 * (k*k*k + 1)), Refused: 3, Failed: 1,
			Attainment: 1 - rates[k]*0.05, BurnRate: rates[k], ReclaimableShare: 0.22,
			FirstToken: &tdburn.Quantile{P50: 120 * ms, P95: 410 * ms, P99: 1250 * ms}, Total: &tdburn.Quantile{P50: 2200 * ms, P95: 6100 * ms, P99: 9800 * ms},
		})
	}
	for k := range 36 {
		c.Timeline = append(c.Timeline, tdburn.Point{Ago: tarragondeal.Duration(time.Duration(35-k) * 10 * time.Minute), Requests: 300, Good: int64(300 - (k*k*tier)%61)})
	}
	return c
}

func render(f tdreport.Format, r *tdburn.Report) string {
	var b bytes.Buffer
	Expect(tdreport.Write(&b, f, r)).To(Succeed())
	return b.String()
}

var _ = Describe("the report", func() {
	for _, f := range []tdreport.Format{tdreport.FormatText, tdreport.FormatHTML} {
		It("contains the figures, as "+string(f), func() {
			text := render(f, sampleReport())
			for _, want := range []string{
				"no answer from node3", "1.5 h to 70.0 h", "over 1h and over 5m", "first token 330 ms", "38.0% left", "7.20",
				"120 ms / 410 ms / 1.25 s", "toledo-benches", "crash", "23.20", "narrator-spot",
			} {
				Expect(text).To(ContainSubstring(want))
			}
		})

		It("is valid without any request, as "+string(f), func() {
			text := render(f, &tdburn.Report{Nodes: []tarragondeal.NodeID{"node1"}})
			Expect(text).To(ContainSubstring("No class burns its budget too fast."))
			Expect(text).NotTo(ContainSubstring("NaN"))
		})
	}

	It("is self-contained HTML without scripts", func() {
		text := render(tdreport.FormatHTML, sampleReport())
		Expect(strings.Count(text, "<svg")).To(Equal(3))
		Expect(text).To(ContainSubstring(`name="viewport"`))
		Expect(text).NotTo(MatchRegexp(`(?i)<script|src=|href="http|url\(|@import`))
		if dir := os.Getenv("TARRAGONDEAL_TEST_PAGES"); dir != "" {
			Expect(os.WriteFile(dir+"/burn.html", []byte(text), 0o600)).To(Succeed())
		}
	})

	It("escapes names that look like markup", func() {
		r := sampleReport()
		r.Worst[0].Workspace = "<script>alert(1)</script>"
		r.Classes[0].Class = "<b>"
		text := render(tdreport.FormatHTML, r)
		Expect(text).NotTo(ContainSubstring("<script>"))
		Expect(strings.Count(text, "<b>")).To(Equal(4)) // Those of the template.
	})

	It("survives a round trip through JSON", func() {
		var r tdburn.Report
		Expect(json.Unmarshal([]byte(render(tdreport.FormatJSON, sampleReport())), &r)).To(Succeed())
		Expect(&r).To(Equal(sampleReport()))
	})

	It("rejects unknown formats", func() {
		var wrong *tdreport.FormatError
		Expect(errors.As(tdreport.Write(&bytes.Buffer{}, "pdf", sampleReport()), &wrong)).To(BeTrue())
		Expect(wrong.Format).To(Equal(tdreport.Format("pdf")))
	})
})
