package tdcheck_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/standin/tdcheck"
)

func TestCheck(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Check")
}

var baseTime = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return baseTime.Add(d) }

// validHistory returns a history that violates no invariant.
func validHistory() tdcheck.History {
	return tdcheck.History{
		Requests: []tdcheck.Request{
			{
				ID: "r1", Body: "b1", Workspace: "auditors", Route: "narrate", Class: "bench", Tier: 1, Pools: []string{"narrator"},
				Permitted: []string{"duluth"}, Idempotent: true, KeyText: "td_a_secret", Sent: at(0), Ended: at(time.Second),
				Status: 200, ServedIn: "duluth", Node: "node1", Tokens: 10, Complete: true, Matches: true,
			},
			{
				ID: "r2", Body: "b2", Workspace: "auditors", Route: "narrate", Class: "draft", Tier: 3, Pools: []string{"narrator"},
				Permitted: []string{"duluth"}, Idempotent: true, Sent: at(0), Ended: at(time.Second),
				Status: 503, Code: "overload", Ran: tarragondeal.RanNot, Node: "node1",
			},
			{
				ID: "r3", Body: "b3", Workspace: "auditors", Route: "enter", Class: "entry", Tier: 2, Pools: []string{"records"},
				Permitted: []string{"duluth"}, Sent: at(0), Ended: at(time.Second), Status: 200, Complete: true, Matches: true, Node: "node1",
			},
		},
		Runs: []tdcheck.Run{
			{Request: "r1", Server: "s1", Pool: "narrator", DataCentre: "duluth", At: at(0), Started: at(0), Tokens: 10, Done: true, Seen: "X-Request-Id: r1.1"},
			{Request: "r3", Server: "s3", Pool: "records", DataCentre: "duluth", At: at(0), Started: at(0), Done: true},
		},
		Orders: []tdcheck.Order{
			{Receiver: "platform", Duty: "orders", Sender: "node1", Fence: 1, At: at(0), Accepted: true},
			{Receiver: "platform", Duty: "orders", Sender: "node2", Fence: 2, At: at(2 * time.Second), Accepted: true},
			{Receiver: "platform", Duty: "orders", Sender: "node1", Fence: 1, At: at(3 * time.Second)},
		},
		Reports: []tdcheck.Report{
			{Window: at(0), Figures: "a", Sender: "node1", Fence: 1, At: at(0), Accepted: true},
			{Window: at(0), Figures: "a", Sender: "node2", Fence: 2, At: at(time.Second), Accepted: true},
		},
		InForce:         []tdcheck.InForce{{Node: "node1", Version: 1, At: at(0)}, {Node: "node1", Version: 2, At: at(time.Second)}},
		Leaving:         []tdcheck.Leaving{{Server: "s1", Since: at(0)}},
		Stops:           []tdcheck.Stop{{Node: "node1", From: at(500 * time.Millisecond), To: at(2 * time.Second)}},
		WithdrawalBound: 3 * time.Second,
		LeavingBound:    3 * time.Second,
	}
}

// violations are changes to the valid history that violate one invariant each.
var violations = []struct {
	Check string
	Apply func(*tdcheck.History)
}{
	{"no inversion", func(h *tdcheck.History) {
		h.Requests[0].Status, h.Requests[0].Code = 503, "overload"
		h.Requests[1].Status, h.Requests[1].Code = 200, ""
		h.Runs[0] = tdcheck.Run{Request: "r2", Server: "s1", Pool: "narrator", DataCentre: "duluth", At: at(0), Started: at(2 * time.Second)}
	}},
	{"no starvation", func(h *tdcheck.History) {
		for n := range 20 {
			q := h.Requests[1]
			q.ID = fmt.Sprintf("s%d", n)
			h.Requests = append(h.Requests, q)
		}
	}},
	{"permitted data centre", func(h *tdcheck.History) { h.Runs[0].DataCentre = "erie" }},
	{"permitted data centre", func(h *tdcheck.History) { h.Requests[0].ServedIn = "erie" }},
	{"valid key", func(h *tdcheck.History) { h.Requests[0].Workspace = "" }},
	{"no key at a backend server", func(h *tdcheck.History) { h.Runs[1].Seen = "?key=td_a_secret" }},
	{"withdrawal", func(h *tdcheck.History) { h.Requests[0].Withdrawn = at(-time.Minute) }},
	{"one order sender", func(h *tdcheck.History) { h.Orders[2].Accepted = true }},
	{"one order sender", func(h *tdcheck.History) { h.Orders[1].Fence = 1 }},
	{"one report", func(h *tdcheck.History) { h.Reports[1].Figures = "b" }},
	{"one report", func(h *tdcheck.History) { h.Reports[1].Fence = 1 }},
	{"complete answer", func(h *tdcheck.History) { h.Requests[0].Matches = false }},
	{"complete answer", func(h *tdcheck.History) { h.Requests[0].Complete = false }},
	{"accurate notRun", func(h *tdcheck.History) { h.Runs[0].Request = "r2" }},
	{"at most once", func(h *tdcheck.History) {
		q := h.Requests[2]
		q.ID = "r4"
		h.Requests = append(h.Requests, q)
		h.Runs = append(h.Runs, tdcheck.Run{Request: "r4", Server: "s4", Pool: "records", DataCentre: "duluth"})
	}},
	{"crashing request", func(h *tdcheck.History) {
		for range 3 {
			h.Runs = append(h.Runs, tdcheck.Run{Server: "s5", Started: at(0), Crasher: "poison of workspace 1"})
		}
	}},
	{"leaving servers", func(h *tdcheck.History) { h.Runs[0].At = at(4 * time.Second) }},
	{"planned stops", func(h *tdcheck.History) { h.Requests[0].Broken = true }},
	{"planned stops", func(h *tdcheck.History) { h.Stops[0].ExitCode = 2 }},
	{"configuration never reverts", func(h *tdcheck.History) { h.InForce[1].Version = 0 }},
}

var _ = Describe("checks", func() {
	It("find no violation in a valid history", func() {
		Expect(tdcheck.All(validHistory())).To(BeEmpty())
	})

	for n, p := range violations {
		It(fmt.Sprintf("%s finds violation %d", p.Check, n), func() {
			h := validHistory()
			p.Apply(&h)
			for _, c := range tdcheck.Checks() {
				if c.Name == p.Check {
					Expect(c.Run(h)).To(HaveLen(1))
				}
			}
		})
	}

	It("have a violation each", func() {
		for _, c := range tdcheck.Checks() {
			Expect(violations).To(ContainElement(HaveField("Check", c.Name)))
		}
	})

	It("count an inversion only if the node of the shed request was not paused", func() {
		h := validHistory()
		violations[0].Apply(&h)
		h.Pauses = []tdcheck.Pause{{Node: "node1", From: at(2 * time.Second), To: at(3 * time.Second)}}
		Expect(tdcheck.Inversions(h)).To(HaveLen(1))
		h.Pauses[0].From = at(500 * time.Millisecond)
		Expect(tdcheck.Inversions(h)).To(BeEmpty())
	})

	It("do not take a refusal of a node that admits no requests as use of a withdrawn key", func() {
		h := validHistory()
		h.Requests[0].Withdrawn = at(-time.Minute)
		h.Requests[0].Status, h.Requests[0].Code = 503, "notReady"
		Expect(tdcheck.Withdrawals(h)).To(BeEmpty())
		h.Requests[0].Code = "overload"
		Expect(tdcheck.Withdrawals(h)).To(HaveLen(1))
	})

	It("do not take a stream ended by the withdrawal of its key as cut by a stop", func() {
		h := validHistory()
		h.Requests[0].Broken, h.Requests[0].Code = true, "keyWithdrawn"
		Expect(tdcheck.Stops(h)).To(BeEmpty())
		h.Requests[0].Code = "backendFailed"
		Expect(tdcheck.Stops(h)).To(HaveLen(1))
	})

	It("compare billed tokens with those that callers received", func() {
		short, excess := tdcheck.Billing(validHistory(), map[string]int64{"auditors": 7, "other": 2})
		Expect(short).To(Equal(int64(3)))
		Expect(excess).To(Equal(int64(2)))
	})
})
