package tdquickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
	"tarragondeal/internal/account/tdburn"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdfront"
)

// answer is the response that a caller received.
type answer struct {
	status    int
	header    http.Header
	body      []byte
	firstByte time.Duration // Time to the first byte of the body.
}

func (a answer) dataCentre() string { return a.header.Get(tdflow.HeaderDataCentre) }

func (a answer) checkOK() error {
	if a.status != http.StatusOK {
		return fmt.Errorf("status %d: %s", a.status, a.body)
	}
	return nil
}

// checkRefused checks that the request was refused for the reason want and did
// not run.
func (a answer) checkRefused(want tarragondeal.Reason) error {
	var body struct {
		Error struct {
			Code tarragondeal.Reason `json:"code"`
			Ran  tarragondeal.Ran    `json:"ran"`
		} `json:"error"`
	}
	if err := json.Unmarshal(a.body, &body); err != nil || body.Error.Code != want || body.Error.Ran != tarragondeal.RanNot {
		return fmt.Errorf("expected the refusal %s, got status %d: %s", want, a.status, a.body)
	}
	return nil
}

// post sends body as JSON to a node with the named key. An empty idempotency
// sends no idempotency key.
func (d *demo) post(ctx context.Context, node int, key, path, idempotency string, body any) (answer, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.fleet.callers(node).String()+path, bytes.NewReader(b))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+d.keys[key])
	if idempotency != "" {
		req.Header.Set(tdfront.HeaderIdempotency, idempotency)
	}
	start := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	out := answer{status: res.StatusCode, header: res.Header}
	var one [1]byte
	n, err := io.ReadFull(res.Body, one[:])
	out.firstByte = time.Since(start)
	if err == nil {
		out.body, err = io.ReadAll(res.Body)
	}
	out.body = append(one[:n:n], out.body...)
	return out, err
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

func (d *demo) chat(ctx context.Context, node int, key, route, text string, tokens int) (answer, error) {
	return d.post(ctx, node, key, "/v1/chat/completions", "", chat{
		Model: route, Stream: true, MaxTokens: tokens, Messages: []message{{Role: "user", Content: text}},
	})
}

func (d *demo) stream(ctx context.Context) (string, error) {
	const tokens = 12
	a, err := d.chat(ctx, 1, "technician", "narrate", "bench log of meter 7", tokens)
	if err == nil {
		err = a.checkOK()
	}
	if err == nil && !bytes.HasSuffix(a.body, []byte("data: [DONE]\n\n")) {
		err = fmt.Errorf("the stream is incomplete: %s", a.body)
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("served in %s by %s; first byte after %s, %d events, complete",
		a.dataCentre(), a.header.Get(tdflow.HeaderServer), a.firstByte.Round(time.Millisecond), bytes.Count(a.body, []byte("data: "))), nil
}

func (d *demo) requestForbiddenDataCentre(ctx context.Context) (string, error) {
	a, err := d.chat(ctx, 0, "auditor", "sarnia-logs", "any deviations?", 4)
	if err == nil {
		err = a.checkRefused(tarragondeal.ReasonNoPlace)
	}
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("refused with status %d, %s, ran: %s: the workspace and the route have no permitted data centre in common",
		a.status, tarragondeal.ReasonNoPlace, tarragondeal.RanNot), nil
}

func (d *demo) repeatEntry(ctx context.Context) (string, error) {
	const meter = "meter7-2026"
	body := map[string]string{"id": meter}
	for node := range 2 {
		a, err := d.post(ctx, node, "auditor", "/services/certificate/enter", "quickstart-1", body)
		if err == nil {
			err = a.checkOK()
		}
		if err != nil {
			return "", err
		}
	}
	runs := 0
	for _, s := range d.cluster.Servers {
		if s.Service != nil {
			runs += s.Service.Executions(meter)
		}
	}
	if runs != 1 {
		return "", fmt.Errorf("the entry ran %d times", runs)
	}
	return "both requests succeeded, and the records servers ran it once", nil
}

func (d *demo) checkNoKeys(context.Context) (string, error) {
	seen := 0
	for _, s := range d.cluster.Servers {
		var dump []byte
		var err error
		switch {
		case s.Engine != nil:
			seen += len(s.Engine.Seen())
			dump, err = json.Marshal(s.Engine.Seen())
		case s.Service != nil:
			seen += len(s.Service.Seen())
			dump, err = json.Marshal(s.Service.Seen())
		}
		if err != nil {
			return "", err
		}
		for name, text := range d.keys {
			if secret := strings.TrimPrefix(text, "td_"+name+"_"); bytes.Contains(dump, []byte(secret)) {
				return "", fmt.Errorf("a backend server saw the key %s", name)
			}
		}
	}
	return fmt.Sprintf("no key in the %d requests that they received", seen), nil
}

// waitForServers waits until the nodes have taken over the backend servers.
// Until then they refuse requests as not run, which callers may retry.
func (d *demo) waitForServers(ctx context.Context) (string, error) {
	start := time.Now()
	refused := 0
	for node := range nodeCount {
		for {
			a, err := d.chat(ctx, node, "technician", "summarise", "ready?", 1)
			if err != nil {
				return "", err
			}
			if a.checkOK() == nil {
				break
			}
			if err := a.checkRefused(tarragondeal.ReasonNoServer); err != nil {
				return "", err
			}
			refused++
			time.Sleep(pollInterval)
		}
	}
	return fmt.Sprintf("after %s and %d requests refused as not run", time.Since(start).Round(time.Millisecond), refused), nil
}

// classCount counts the good requests and all requests of a class.
type classCount struct{ good, requests int64 }

// classCounts returns the counts by class from the last window of the report
// over all nodes.
func (d *demo) classCounts(ctx context.Context) (map[string]classCount, error) {
	var r tdburn.Report
	if err := d.client.Report(ctx, &r); err != nil {
		return nil, err
	}
	out := make(map[string]classCount)
	for _, c := range r.Classes {
		w := c.Windows[len(c.Windows)-1]
		out[c.Class] = classCount{w.Good, w.Requests}
	}
	return out, nil
}

func (d *demo) burst(ctx context.Context) (string, error) {
	before, err := d.classCounts(ctx)
	if err != nil {
		return "", err
	}
	const count = 60
	p := pool.New().WithErrors().WithMaxGoroutines(12)
	for n := range count {
		p.Go(func() error { return d.sendBurstRequest(ctx, n) })
	}
	if err := p.Wait(); err != nil {
		return "", err
	}
	after, err := d.classCounts(ctx)
	if err != nil {
		return "", err
	}
	parts := make([]string, 0, len(after))
	for _, name := range slices.Sorted(maps.Keys(after)) {
		a, b := after[name], before[name]
		parts = append(parts, fmt.Sprintf("%s %d of %d", name, a.good-b.good, a.requests-b.requests))
	}
	return "within target, by the report over all nodes: " + strings.Join(parts, ", "), nil
}

// sendBurstRequest sends the n-th request of the burst.
func (d *demo) sendBurstRequest(ctx context.Context, n int) error {
	var a answer
	var err error
	node, text := n%nodeCount, fmt.Sprintf("query %d", n)
	switch n % 3 {
	case 0:
		a, err = d.chat(ctx, node, "technician", "narrate", text, 8)
	case 1:
		a, err = d.chat(ctx, node, "technician", "summarise", text, 16)
	default:
		a, err = d.post(ctx, node, "technician", "/services/certificate/enter", "burst-"+text, map[string]string{"id": text})
	}
	if err != nil {
		return err
	}
	return a.checkOK()
}
