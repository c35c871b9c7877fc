package tdslope

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSlope(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tdslope")
}

var _ = Describe("Metrics", func() {
	const text = `# TYPE tarragondeal_store_calls counter
tarragondeal_store_calls{node="entry1",op="swap"} 12
tarragondeal_store_calls{node="entry1",op="watch"} 3
tarragondeal_peer_linkSentBytes{node="entry1"} 1.5e+06
tarragondeal_peer_sentBytes{method="Membership_Exchange",node="entry1"} 800
go_goroutines 40
`

	It("are parsed by name and kind of call, and summed", func() {
		one, err := parseMetrics(strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		sum := fleetCounters{all: mergeCounters(append(one, one...))}
		Expect(sum.all).To(HaveLen(4))
		Expect(sum.value("store_calls", "swap")).To(Equal(24.0))
		Expect(sum.value("store_calls", "watch")).To(Equal(6.0))
		Expect(sum.value("peer_linkSentBytes", "")).To(Equal(3e6))
		Expect(sum.value("peer_sentBytes", "Membership_Exchange")).To(Equal(1600.0))
		Expect(sum.value("peer_sentBytes", "other")).To(BeZero())
	})

	It("that are truncated are an error", func() {
		_, err := parseMetrics(strings.NewReader(`tarragondeal_store_calls{op="swap" 12`))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Fit", func() {
	points := func(of func(x float64) float64, xs ...float64) []Point {
		var out []Point
		for _, x := range xs {
			out = append(out, Point{X: x, Figures: []Figure{{Name: CPUPercent, Value: of(x)}}})
		}
		return out
	}

	for _, c := range []struct {
		name             string
		of               func(x float64) float64
		intercept, slope float64
		r2               float64
	}{
		{"a line", func(x float64) float64 { return 2 + 0.5*x }, 2, 0.5, 1},
		{"a constant", func(float64) float64 { return 3 }, 3, 0, 0},
	} {
		It("finds "+c.name, func() {
			lines := Fit(points(c.of, 1, 2, 4, 8))
			Expect(lines).To(HaveLen(1))
			Expect(lines[0].Intercept).To(BeNumerically("~", c.intercept, 1e-9))
			Expect(lines[0].Slope).To(BeNumerically("~", c.slope, 1e-9))
			Expect(lines[0].R2).To(BeNumerically("~", c.r2, 1e-9))
			Expect(lines[0].At(350)).To(BeNumerically("~", c.of(350), 1e-6))
		})
	}

	It("counts a missing figure as zero", func() {
		all := points(func(x float64) float64 { return x }, 1, 2)
		all[1].add(FleetWrites, 4)
		lines := Fit(all)
		Expect(lines).To(HaveLen(2))
		Expect(lines[1].Figure).To(Equal(FleetWrites))
		Expect(lines[1].Slope).To(BeNumerically("~", 4, 1e-9))
	})

	It("needs two points", func() {
		Expect(Fit(points(func(x float64) float64 { return x }, 1))).To(BeEmpty())
	})
})

var _ = Describe("Table", func() {
	It("writes a single point without a line", func() {
		p := Point{X: 32}
		p.add(FleetWrites, 4.5)
		out := new(strings.Builder)
		Expect(Table(out, Result{Axis: AxisNodes, Points: []Point{p}, Lines: Fit([]Point{p})})).To(Succeed())
		Expect(out.String()).To(MatchRegexp(`(?m)^fleet store writes/s +4\.5$`))
	})
})

var _ = Describe("Schedule", func() {
	for _, c := range []struct {
		axis     string
		x        float64
		requests int
		tokens   int
	}{
		{AxisRequests, 10, 400, 1},
		{AxisTokens, 500, 200, 100},
		{AxisStreams, 32, 128, maxTokens},
		{AxisClaims, 5, 200, 1},
		{AxisLimits, 50, 200, 1},
		{AxisRequests, 0, 0, 0},
	} {
		It("of "+c.axis+" has the requested size", func() {
			plan := schedule(c.axis, c.x, 4, 10*time.Second)
			Expect(plan).To(HaveLen(c.requests))
			for _, a := range plan {
				Expect(a.Tokens).To(Equal(c.tokens))
				Expect(a.At).To(BeNumerically("<", 10*time.Second))
			}
		})
	}
})

var _ = Describe("Sweep", func() {
	It("lists the axes when given an unknown one", func() {
		_, err := Sweep(context.Background(), "moons", Options{})
		var unknown *AxisError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring("moons"), ContainSubstring(AxisListed)))
	})
})
