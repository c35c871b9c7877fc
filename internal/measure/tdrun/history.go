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
	pollInterval    = 250 * time.Millisecond
)

// workspacePattern matches the workspace in the body of a request.
var workspacePattern = regexp.MustCompile(`workspace [0-9]+ `)

// crasherName returns a name for a request that crashes engines, the same for
// all its repeats, and an empty string for other requests.
func crasherName(body string) string {
	if !strings.Contains(body, tddeploy.CrashMarker) {
		return ""
	}
	return "the request of " + workspacePattern.FindString(body)
}

// requestIDPattern matches the request ID in the body of a request.
var requestIDPattern = regexp.MustCompile(`q-[0-9]+`)

// newHistory returns the history of a run from the records of the callers, the
// servers and the platform.
func newHistory(f *tdfleet.Fleet, requests []tdcheck.Request, seen []tdcheck.InForce) tdcheck.History {
	h := tdcheck.History{
		Requests: requests, InForce: seen,
		WithdrawalBound: withdrawalBound, LeavingBound: leavingBound,
	}
	for _, s := range f.Cluster.All() {
		h.Runs = append(h.Runs, serverRuns(s)...)
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
			Window: u.Report.Window, Figures: encodeLines(u.Report), Sender: string(u.Report.Sender),
			Fence: u.Report.Fence, At: u.At, Accepted: u.Accepted,
		})
	}
	return h
}

// encodeLines returns the lines of a usage report as JSON, so that reports can be
// compared.
func encodeLines(r tarragondeal.UsageReport) string {
	b, err := json.Marshal(r.Lines)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// serverRuns returns the requests that a server received.
func serverRuns(s *tdcluster.Server) []tdcheck.Run {
	var out []tdcheck.Run
	base := tdcheck.Run{Server: s.VM.Name, Pool: s.VM.Pool, DataCentre: s.VM.DataCentre}
	if s.Engine != nil {
		for _, e := range s.Engine.Seen() {
			r := base
			r.Request = requestIDPattern.FindString(string(e.Body))
			r.At, r.Started, r.Tokens, r.Done = e.At, e.Started, e.Tokens, e.Done
			r.Crasher = crasherName(string(e.Body))
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

// versionWatcher records which configuration version is in force at each node
// during a run.
type versionWatcher struct {
	fleet  *tdfleet.Fleet
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	seen   []tdcheck.InForce
}

func newVersionWatcher(f *tdfleet.Fleet) *versionWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatcher{fleet: f, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

func (w *versionWatcher) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
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

func (w *versionWatcher) read(ctx context.Context, n *tdfleet.Node) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
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

func (w *versionWatcher) stop() []tdcheck.InForce {
	w.cancel()
	<-w.done
	return w.seen
}
