// Package tdresult computes the figures of a run from its recorded history.
//
// # Usage
//
//	r := tdresult.Compute(deployment, history, elapsed)
//	for _, v := range tdcheck.All(history) {
//		r.Violations = append(r.Violations, v.String())
//	}
//	tdresult.Table(os.Stdout, []tdresult.Result{r})
package tdresult

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tarragondeal"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/standin/tdcheck"
)

// Class holds the figures of one request class.
type Class struct {
	Name       string  `json:"name"`
	Tier       int     `json:"tier"`
	Asked      int     `json:"asked"` // Requests that count, see excluded.
	Met        int     `json:"met"`   // Requests that met the class's targets.
	Refused    int     `json:"refused"`
	Attainment float64 `json:"attainment"` // Met divided by Asked.
	// Percentiles of the time to the first token, in milliseconds.
	FirstTokenP50 float64 `json:"firstP50Ms"`
	FirstTokenP95 float64 `json:"firstP95Ms"`
	FirstTokenP99 float64 `json:"firstP99Ms"`
}

// Result holds the figures of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Classes []Class `json:"classes"`
	// Goodput is the rate of tokens in answers that met their targets, in
	// tokens per second.
	Goodput float64 `json:"goodput"`
	// Wasted is the fraction of the engines' tokens that were not part of a
	// complete answer.
	Wasted float64 `json:"wasted"`
	// WorstShare is the smallest fraction of its fair share that a workspace
	// got, and WorstName is that workspace.
	WorstShare float64 `json:"worstWorkspace"`
	WorstName  string  `json:"worstName"`
	Cost       float64 `json:"cost"`
	// Reclaimable is the fraction of tokens generated on reclaimable servers.
	Reclaimable float64 `json:"reclaimable"`
	Inversions  int     `json:"inversions"`
	StoreCalls  float64 `json:"storeCallsPerNodeSecond"`
	PeerBytes   float64 `json:"peerBytesPerNodeSecond"`
	// BilledShort and BilledExcess are the largest numbers of tokens by which a
	// workspace was billed less, or more, than its callers received.
	BilledShort  int64 `json:"billedShort"`
	BilledExcess int64 `json:"billedExcess"`
	Orders       int   `json:"orders"`
	Reports      int   `json:"reports"`
	// Violations are the guarantees that the run violated.
	Violations []string `json:"violations,omitempty"`
}

// Compute returns the figures of a run of the given length as far as they follow
// from its requests and the engines' work. The caller sets the other fields.
func Compute(d *tddeploy.Deployment, h tdcheck.History, length time.Duration) Result {
	var r Result
	view := tarragondeal.NewView(1, d.Set)
	for n := range d.Set.RequestClasses {
		r.Classes = append(r.Classes, classResult(&d.Set.RequestClasses[n], h.Requests))
	}
	good := 0
	for n := range h.Requests {
		q := &h.Requests[n]
		if met(view.RequestClasses[q.Class], q) {
			good += q.Tokens
		}
	}
	r.Goodput = float64(good) / length.Seconds()
	r.Wasted = wastedShare(h)
	r.WorstShare, r.WorstName = worstShare(d, h.Requests)
	r.Inversions = len(tdcheck.Inversions(h))
	r.Reclaimable = reclaimableShare(view, h.Runs)
	return r
}

// met reports whether a request was served within the targets of its class.
func met(c *tarragondeal.RequestClass, q *tdcheck.Request) bool {
	if q.Status != 200 || !q.Complete || !q.Matches {
		return false
	}
	if c.Completion > 0 {
		return q.Ended.Sub(q.Intended) <= time.Duration(c.Completion)
	}
	return q.FirstToken.Sub(q.Intended) <= time.Duration(c.FirstToken) &&
		q.LongestGap <= time.Duration(c.BetweenTokens)
}

func classResult(c *tarragondeal.RequestClass, requests []tdcheck.Request) Class {
	out := Class{Name: c.Name, Tier: c.Tier}
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for n := range requests {
		q := &requests[n]
		if q.Class != c.Name || excluded(q) {
			continue
		}
		out.Asked++
		if met(c, q) {
			out.Met++
		}
		if q.Refused() {
			out.Refused++
		}
		if !q.FirstToken.IsZero() {
			_ = h.RecordValue(max(1, q.FirstToken.Sub(q.Intended).Microseconds()))
		}
	}
	if out.Asked > 0 {
		out.Attainment = float64(out.Met) / float64(out.Asked)
	}
	ms := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	out.FirstTokenP50, out.FirstTokenP95, out.FirstTokenP99 = ms(50), ms(95), ms(99)
	return out
}

// excluded reports whether a request does not count as one that could be
// served: it crashes engines, its key is withdrawn, or it repeats an earlier
// request.
func excluded(q *tdcheck.Request) bool {
	repeat := !q.Idempotent && q.ID != q.Body
	withdrawn := !q.Withdrawn.IsZero() || q.Code == string(tarragondeal.ReasonKeyWithdrawn)
	return q.Body == "poison" || withdrawn || repeat
}

func wastedShare(h tdcheck.History) float64 {
	generated, delivered := 0, 0
	for _, r := range h.Runs {
		generated += r.Tokens
	}
	for _, q := range h.Requests {
		if q.Complete && q.Matches {
			delivered += q.Tokens
		}
	}
	if generated == 0 {
		return 0
	}
	return max(0, 1-float64(delivered)/float64(generated))
}

func reclaimableShare(v *tarragondeal.View, runs []tdcheck.Run) float64 {
	total, onReclaimable := 0, 0
	for _, r := range runs {
		total += r.Tokens
		if p := v.ServerPools[r.Pool]; p != nil && p.Reclaimable {
			onReclaimable += r.Tokens
		}
	}
	if total == 0 {
		return 0
	}
	return float64(onReclaimable) / float64(total)
}
