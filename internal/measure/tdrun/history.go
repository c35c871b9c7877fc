package tdrun

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"

	"tarragondeal"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/measure/tdfleet"
	"tarragondeal/internal/standin/tdcheck"
	"tarragondeal/internal/standin/tdcluster"
)

const (
	withdrawalBound = 3 * time.Second
	leavingBound    = 3 * time.Second
	watchEvery      = 250 * time.Millisecond
)

// workspaceText is how a request's workspace stands in its body.
var workspaceText = regexp.MustCompile(`workspace [0-9]+ `)

// crasher names a request that crashes engines, which is the same one however
// often it is sent.
func crasher(body string) string {
	if !strings.Contains(body, tddeploy.CrashMarker) {
		return ""
	}
	return "the request of " + workspaceText.FindString(body)
}

// requestID is how a request's id stands in its body.
var requestID = regexp.MustCompile(`q-[0-9]+`)

func history(f *tdfleet.Fleet, requests []tdcheck.Request, seen []tdcheck.InForce) tdcheck.History {
	h := tdcheck.History{
		Requests: requests, InForce: seen,
		WithdrawalBound: withdrawalBound, LeavingBound: leavingBound,
	}
	for _, s := range f.Cluster.All() {
		h.Runs = append(h.Runs, runs(s)...)
		if at := s.Leaving(); !at.IsZero() {
			h.Leaving = append(h.Leaving, tdcheck.Leaving{Server: s.VM.Name, Since: at})
		}
		if s.Engine == nil {
			continue
		}
		for _, o := range s.Engine.Orders() {
			h.Orders = append(h.Orders, tdcheck.Order{
				Receiver: s.VM.Name, Duty: "engine orders to " + s.VM.Name, Sender: o.Order.Sender,
				Fence: o.Order.Fence, At: o.At, Accepted: o.Accepted,
			})
		}
	}
	rec := f.Cluster.Platform.Recorded()
	for _, o := range rec.Orders {
		h.Orders = append(h.Orders, tdcheck.Order{
			Receiver: "platform", Duty: "orders for " + o.Order.DataCentre, Sender: o.Order.Sender,
			Fence: o.Order.Fence, At: o.At, Accepted: o.Accepted,
		})
	}
	for _, u := range rec.Usage {
		h.Reports = append(h.Reports, tdcheck.Report{
			Window: u.Report.Window, Figures: figures(u.Report), Sender: string(u.Report.Sender),
			Fence: u.Report.Fence, At: u.At, Accepted: u.Accepted,
		})
	}
	return h
}

func figures(r tarragondeal.UsageReport) string {
	b, err := json.Marshal(r.Lines)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

func runs(s *tdcluster.Server) []tdcheck.Run {
	var out []tdcheck.Run
	base := tdcheck.Run{Server: s.VM.Name, Pool: s.VM.Pool, DataCentre: s.VM.DataCentre}
	if s.Engine != nil {
		for _, e := range s.Engine.Seen() {
			r := base
			r.Request = requestID.FindString(string(e.Body))
			r.At, r.Started, r.Tokens, r.Done = e.At, e.Started, e.Tokens, e.Done
			r.Crasher = crasher(string(e.Body))
			r.Seen = fmt.Sprint(e.Header, e.Path, string(e.Body))
			out = append(out, r)
		}
		return out
	}
	for _, e := range s.Service.Seen() {
		r := base
		r.Request, r.At, r.Started, r.Done = e.ID, e.At, e.At, true
		r.Seen = fmt.Sprint(e.Header, e.URL)
		out = append(out, r)
	}
	return out
}

// watch reads each node's version in force while a run goes on.
type watch struct {
	fleet  *tdfleet.Fleet
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	seen   []tdcheck.InForce
}

func newWatch(f *tdfleet.Fleet) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{fleet: f, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

func (w *watch) run(ctx context.Context) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		for _, n := range w.fleet.Nodes {
			w.read(ctx, n)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *watch) read(ctx context.Context, n *tdfleet.Node) {
	ctx, cancel := context.WithTimeout(ctx, watchEvery)
	defer cancel()
	var status struct {
		Version tarragondeal.Version `json:"version"`
	}
	if err := n.Operator(ctx, "GET", "/operator/status", nil, &status); err != nil || status.Version == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = append(w.seen, tdcheck.InForce{Node: n.Name, Version: status.Version, At: time.Now()})
}

func (w *watch) stop() []tdcheck.InForce {
	w.cancel()
	<-w.done
	return w.seen
}
