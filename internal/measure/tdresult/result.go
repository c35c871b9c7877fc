// Package tdresult turns what a run recorded into figures.
//
// # Usage
//
//	r := tdresult.Of(deployment, history, elapsed)
//	r.Violations = tdcheck.All(history)
//	tdresult.Table(os.Stdout, []tdresult.Result{r})
package tdresult

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tarragondeal"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/standin/tdcheck"
)

// Class is how one request class fared.
type Class struct {
	Name       string  `json:"name"`
	Tier       int     `json:"tier"`
	Asked      int     `json:"asked"`
	Met        int     `json:"met"`
	Refused    int     `json:"refused"`
	Attainment float64 `json:"attainment"`
	FirstP50   float64 `json:"firstP50Ms"`
	FirstP95   float64 `json:"firstP95Ms"`
	FirstP99   float64 `json:"firstP99Ms"`
}

// Result is the figures of one run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`

	Classes []Class `json:"classes"`
	// Goodput is the tokens a second of answers that met their targets.
	Goodput float64 `json:"goodput"`
	// Wasted is the part of the engines' tokens that reached no caller whole.
	Wasted float64 `json:"wasted"`
	// Worst is the least that a workspace got of its fair share.
	Worst     float64 `json:"worstWorkspace"`
	WorstName string  `json:"worstName"`
	Cost      float64 `json:"cost"`
	// Reclaimable is the part of tokens made on reclaimable servers.
	Reclaimable float64 `json:"reclaimable"`
	Inversions  int     `json:"inversions"`
	StoreCalls  float64 `json:"storeCallsPerNodeSecond"`
	PeerBytes   float64 `json:"peerBytesPerNodeSecond"`
	// BilledShort and BilledExcess are the most tokens by which a workspace
	// was billed less, or more, than its callers got.
	BilledShort  int64 `json:"billedShort"`
	BilledExcess int64 `json:"billedExcess"`
	Orders       int   `json:"orders"`
	Reports      int   `json:"reports"`
	// Violations are broken promises.
	Violations []string `json:"violations,omitempty"`
}

// Of works the figures out.
func Of(d *tddeploy.Deployment, h tdcheck.History, length time.Duration) Result {
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
	r.Wasted = wasted(h)
	r.Worst, r.WorstName = worst(d, h.Requests)
	r.Inversions = len(tdcheck.Inversions(h))
	r.Reclaimable = reclaimable(view, h.Runs)
	return r
}

// met reports whether a request got what its class promises.
func met(c *tarragondeal.RequestClass, q *tdcheck.Request) bool {
	if q.Status != 200 || !q.Whole || !q.Mine {
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
		if q.Class != c.Name || unfair(q) {
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
	out.FirstP50, out.FirstP95, out.FirstP99 = ms(50), ms(95), ms(99)
	return out
}

// unfair reports whether a request is none that could be served: it crashes
// engines, its key is withdrawn, or it repeats one that was asked before.
func unfair(q *tdcheck.Request) bool {
	repeat := !q.Idempotent && q.ID != q.Body
	withdrawn := !q.Withdrawn.IsZero() || q.Code == string(tarragondeal.ReasonKeyWithdrawn)
	return q.Body == "poison" || withdrawn || repeat
}

func wasted(h tdcheck.History) float64 {
	made, delivered := 0, 0
	for _, r := range h.Runs {
		made += r.Tokens
	}
	for _, q := range h.Requests {
		if q.Whole && q.Mine {
			delivered += q.Tokens
		}
	}
	if made == 0 {
		return 0
	}
	return max(0, 1-float64(delivered)/float64(made))
}

func reclaimable(v *tarragondeal.View, runs []tdcheck.Run) float64 {
	all, cheap := 0, 0
	for _, r := range runs {
		all += r.Tokens
		if p := v.ServerPools[r.Pool]; p != nil && p.Reclaimable {
			cheap += r.Tokens
		}
	}
	if all == 0 {
		return 0
	}
	return float64(cheap) / float64(all)
}
