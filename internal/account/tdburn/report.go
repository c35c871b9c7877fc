package tdburn

import (
	"cmp"
	"slices"
	"time"

	"tarragondeal"
)

const (
	// DefaultObjective applies to classes without an objective.
	DefaultObjective = 0.95
	// MaxWorst limits the list of the worst-served workspaces.
	MaxWorst = 20
	// minRequests is the number of requests in the longest window that a
	// workspace needs to be listed.
	minRequests = 10
)

// Report shows how well the request classes meet their objectives.
type Report struct {
	At time.Time `json:"at"`
	// Nodes answered. Missing did not, and the figures lack their requests.
	Nodes   []tarragondeal.NodeID `json:"nodes"`
	Missing []tarragondeal.NodeID `json:"missing"`
	// MeasuredFor and MeasuredForMax are the shortest and the longest time for
	// which the nodes have been measuring; the longest includes that of nodes
	// that handed over to others. Longer windows are not filled yet.
	MeasuredFor    tarragondeal.Duration `json:"measuredFor"`
	MeasuredForMax tarragondeal.Duration `json:"measuredForMax"`
	Alerts         []Alert               `json:"alerts"`
	Classes        []ClassReport         `json:"classes"`
	// Worst lists the workspaces with the highest burn rates.
	Worst []WorkspaceReport `json:"worst"`
	// FoldedPairs counts evictions of pairs of workspace and class. Evicted
	// pairs are in the figures of their classes but not of their workspaces.
	FoldedPairs int64        `json:"foldedPairs,omitempty"`
	Waste       []WasteLine  `json:"waste"`
	Cost        []PoolCost   `json:"cost"`
	Spending    SpendingRate `json:"spending"`
}

// ClassReport is the part of a report on one class.
type ClassReport struct {
	Class         string                `json:"class"`
	Tier          int                   `json:"tier"`
	Objective     float64               `json:"objective"`
	FirstToken    tarragondeal.Duration `json:"firstToken,omitempty"`
	BetweenTokens tarragondeal.Duration `json:"betweenTokens,omitempty"`
	Completion    tarragondeal.Duration `json:"completion,omitempty"`
	// BudgetLeft is the unused share of the error budget, the requests that may
	// miss their targets, over the longest window. It is negative if the
	// objective is missed.
	BudgetLeft float64        `json:"budgetLeft"`
	Windows    []WindowReport `json:"windows"`
	Timeline   []Point        `json:"timeline"` // Oldest first.
}

// WindowReport holds the figures of a class over a window that ends at the time
// of the report.
type WindowReport struct {
	Window     tarragondeal.Duration `json:"window"`
	Requests   int64                 `json:"requests"`
	Good       int64                 `json:"good"`
	Refused    int64                 `json:"refused"`
	Failed     int64                 `json:"failed"`
	Attainment float64               `json:"attainment"` // 1 with no requests.
	// BurnRate is the rate at which the error budget is used: at 1 exactly the
	// permitted share of requests misses its targets.
	BurnRate         float64   `json:"burnRate"`
	ReclaimableShare float64   `json:"reclaimableShare"` // Of the time spent at backend servers.
	FirstToken       *Quantile `json:"firstToken,omitempty"`
	BetweenTokens    *Quantile `json:"betweenTokens,omitempty"`
	Total            *Quantile `json:"total,omitempty"`
}

// Quantile holds quantiles of a latency.
type Quantile struct {
	P50 tarragondeal.Duration `json:"p50"`
	P95 tarragondeal.Duration `json:"p95"`
	P99 tarragondeal.Duration `json:"p99"`
}

// Point is one step of a timeline.
type Point struct {
	Ago      tarragondeal.Duration `json:"ago"` // Since the end of the step.
	Requests int64                 `json:"requests"`
	Good     int64                 `json:"good"`
}

// WorkspaceReport is the part of a report on one workspace in one class.
type WorkspaceReport struct {
	Workspace string            `json:"workspace"`
	Class     string            `json:"class"`
	Windows   []WorkspaceWindow `json:"windows"`
}

// WorkspaceWindow holds the figures of a workspace over one window.
type WorkspaceWindow struct {
	Window     tarragondeal.Duration `json:"window"`
	Requests   int64                 `json:"requests"`
	Attainment float64               `json:"attainment"`
	BurnRate   float64               `json:"burnRate"`
}

// WasteLine counts work that was done but not delivered, over the longest
// window.
type WasteLine struct {
	Cause    string `json:"cause"`
	Class    string `json:"class"`
	Requests int64  `json:"requests"`
	Tokens   int64  `json:"tokens"`
}

// PoolCost is the cost of the running servers of a pool.
type PoolCost struct {
	Pool        string  `json:"pool"`
	Reclaimable bool    `json:"reclaimable"`
	Servers     int     `json:"servers"`
	PerHour     float64 `json:"perHour"`
}

// SpendingRate is the total cost of the running servers.
type SpendingRate struct {
	PerHour            float64 `json:"perHour"`
	ReclaimablePerHour float64 `json:"reclaimablePerHour"`
}

func (m *mergedMeasures) report(v *tarragondeal.View, servers []tarragondeal.Server, at time.Time) *Report {
	if v == nil {
		v = tarragondeal.NewView(0, &tarragondeal.Set{})
	}
	slices.Sort(m.nodes)
	slices.Sort(m.missing)
	r := &Report{
		At: at, Nodes: m.nodes, Missing: append([]tarragondeal.NodeID{}, m.missing...),
		MeasuredFor: tarragondeal.Duration(m.minObserved), MeasuredForMax: tarragondeal.Duration(m.maxObserved),
		Alerts: []Alert{}, Classes: []ClassReport{}, Worst: []WorkspaceReport{}, Waste: []WasteLine{}, Cost: []PoolCost{},
		FoldedPairs: m.foldedPairs,
	}
	for name, c := range m.classes {
		r.Classes = append(r.Classes, c.report(name, v.RequestClasses[name]))
	}
	slices.SortFunc(r.Classes, func(a, b ClassReport) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})
	for n := range r.Classes {
		r.Alerts = append(r.Alerts, alerts(&r.Classes[n])...)
	}
	r.Worst = m.worst(v)
	r.Waste = append(r.Waste, m.wasteLines()...)
	r.costs(v, servers)
	return r
}

func objectiveOf(c *tarragondeal.RequestClass) float64 {
	if c == nil || c.Objective == 0 {
		return DefaultObjective
	}
	return c.Objective
}

// burnRate returns the share of bad requests, divided by the share that the
// objective permits.
func burnRate(good, bad int64, objective float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}

func attainment(good, bad int64) float64 {
	if good+bad == 0 {
		return 1
	}
	return float64(good) / float64(good+bad)
}

func (c *mergedClass) report(name string, rc *tarragondeal.RequestClass) ClassReport {
	out := ClassReport{Class: name, Objective: objectiveOf(rc)}
	if rc != nil {
		out.Tier, out.FirstToken, out.BetweenTokens, out.Completion = rc.Tier, rc.FirstToken, rc.BetweenTokens, rc.Completion
	}
	for k := range c.windows {
		out.Windows = append(out.Windows, c.windows[k].report(Windows[k], out.Objective))
	}
	out.BudgetLeft = 1 - out.Windows[len(out.Windows)-1].BurnRate
	for k := timelinePoints - 1; k >= 0; k-- {
		out.Timeline = append(out.Timeline, Point{
			Ago: tarragondeal.Duration(time.Duration(k) * timelineStep), Requests: c.timelineGood[k] + c.timelineBad[k], Good: c.timelineGood[k],
		})
	}
	return out
}

func (w *mergedWindow) report(window time.Duration, objective float64) WindowReport {
	out := WindowReport{
		Window: tarragondeal.Duration(window), Requests: w.good + w.bad, Good: w.good, Refused: w.refused, Failed: w.failed,
		Attainment: attainment(w.good, w.bad), BurnRate: burnRate(w.good, w.bad, objective),
		FirstToken: quantile(w.latency[firstToken]), BetweenTokens: quantile(w.latency[betweenTokens]), Total: quantile(w.latency[total]),
	}
	if w.work > 0 {
		out.ReclaimableShare = w.reclaimableWork.Seconds() / w.work.Seconds()
	}
	return out
}

func quantile(c bins) *Quantile {
	h := c.histogram()
	if h.TotalCount() == 0 {
		return nil
	}
	at := func(q float64) tarragondeal.Duration {
		return tarragondeal.Duration(time.Duration(h.ValueAtQuantile(q)) * latencyUnit)
	}
	return &Quantile{P50: at(50), P95: at(95), P99: at(99)}
}

// worst returns the workspaces with the highest burn rates over the longest
// window, at most MaxWorst.
func (m *mergedMeasures) worst(v *tarragondeal.View) []WorkspaceReport {
	out := []WorkspaceReport{}
	for key, p := range m.pairs {
		objective := objectiveOf(v.RequestClasses[key.class])
		w := WorkspaceReport{Workspace: key.workspace, Class: key.class}
		for k, window := range pairWindows {
			w.Windows = append(w.Windows, WorkspaceWindow{
				Window: tarragondeal.Duration(window), Requests: p.good[k] + p.bad[k],
				Attainment: attainment(p.good[k], p.bad[k]), BurnRate: burnRate(p.good[k], p.bad[k], objective),
			})
		}
		if w.longestWindow().Requests >= minRequests {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b WorkspaceReport) int {
		return cmp.Or(cmp.Compare(b.longestWindow().BurnRate, a.longestWindow().BurnRate), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Class, b.Class))
	})
	return out[:min(len(out), MaxWorst)]
}

func (w *WorkspaceReport) longestWindow() *WorkspaceWindow { return &w.Windows[len(w.Windows)-1] }

func (m *mergedMeasures) wasteLines() []WasteLine {
	out := make([]WasteLine, 0, len(m.waste))
	for key, w := range m.waste {
		out = append(out, WasteLine{Cause: key.cause, Class: key.class, Requests: w.requests, Tokens: w.tokens})
	}
	slices.SortFunc(out, func(a, b WasteLine) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// costs adds the cost of the running servers.
func (r *Report) costs(v *tarragondeal.View, servers []tarragondeal.Server) {
	running := make(map[string]int)
	for _, s := range servers {
		running[s.Pool]++
	}
	for n := range v.Set.ServerPools {
		p := &v.Set.ServerPools[n]
		cost := PoolCost{Pool: p.Name, Reclaimable: p.Reclaimable, Servers: running[p.Name]}
		cost.PerHour = p.CostPerHour * float64(cost.Servers)
		r.Cost = append(r.Cost, cost)
		r.Spending.PerHour += cost.PerHour
		if p.Reclaimable {
			r.Spending.ReclaimablePerHour += cost.PerHour
		}
	}
}
