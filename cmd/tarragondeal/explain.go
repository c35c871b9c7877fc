package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/entry/tdhost"
	"tarragondeal/platform"
)

// maxExplanationBytes is the maximum size of an explanation.
const maxExplanationBytes = 8 << 20

// explained describes the request that is explained.
type explained struct {
	platform.Description
	host, path, workspace string
	servers               int
}

func (t *tool) explain() *ffcli.Command {
	fs := t.flags("explain")
	node := fs.String("node", "", "metrics address of a node on the users' platform")
	format := fs.String("format", "text", "text or json")
	var e explained
	fs.StringVar(&e.host, "host", "", "host of the request")
	fs.StringVar(&e.path, "path", "/", "path of the request")
	fs.StringVar(&e.workspace, "workspace", "", "workspace of the request; empty on open routes")
	fs.StringVar(&e.Tokens, "tokens", "", "prompt tokens and maximum output tokens, as INPUT,OUTPUT")
	fs.StringVar(&e.Prefix, "prefix", "", "parts of the prompt, as ID:TOKENS,ID:TOKENS")
	fs.StringVar(&e.Hint, "hint", "", "estimate of the output tokens")
	fs.DurationVar(&e.Deadline, "deadline", 0, "time that the caller waits; 0: that of the route")
	fs.IntVar(&e.servers, "servers", 10, "number of servers to show; 0: all")
	return &ffcli.Command{
		Name: "explain", ShortUsage: "tarragondeal explain [flags]",
		ShortHelp: "Show where a request would be sent now, and why, without sending it.",
		LongHelp: example("tarragondeal explain -node 10.0.0.5:7355 -host api.example -path /chat/ \\",
			"    -workspace depot -tokens 1460,80 -prefix 5c1e07a2:800,91bd3f06:410"),
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *node == "" || e.host == "" {
				return usagef("-node and -host are required")
			}
			if *format != "text" && *format != "json" {
				return usagef("-format is text or json, not %q", *format)
			}
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			out, err := fetchExplanation(ctx, *node, &e)
			if err != nil {
				return err
			}
			if *format == "json" {
				return json.NewEncoder(t.out).Encode(out)
			}
			return t.printExplanation(&out)
		},
	}
}

// fetchExplanation asks a node where it would send a request.
func fetchExplanation(ctx context.Context, node string, e *explained) (out tarragondeal.Explanation, err error) {
	query := url.Values{
		"host": {e.host}, "path": {e.path}, "workspace": {e.workspace}, "servers": {strconv.Itoa(e.servers)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node+tdhost.ExplainPath+"?"+query.Encode(), nil)
	if err != nil {
		return out, eris.Wrapf(err, "node %s", node)
	}
	e.Encode(req.Header)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxExplanationBytes))
	if err != nil {
		return out, err
	}
	if res.StatusCode != http.StatusOK {
		return out, fmt.Errorf("node %s: %s", node, strings.TrimSpace(string(body)))
	}
	return out, eris.Wrap(json.Unmarshal(body, &out), "decode explanation")
}

func (t *tool) printExplanation(e *tarragondeal.Explanation) error {
	t.printf("route %s, class %s, tier %d, configuration %d, node %s\n", e.Route, e.Class, e.Tier, e.Version, e.Node)
	t.printf("action: %s", e.Action)
	if e.Reason != "" {
		t.printf(" (%s)", e.Reason)
	}
	if e.RetryAfter > 0 {
		t.printf(", retry after %s", time.Duration(e.RetryAfter))
	}
	t.printf("\n\n")
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVER\tDATA CENTRE\tCOST\tRUNNING\tCACHED\tBACKLOG\tWHY")
	for n := range e.Servers {
		s := &e.Servers[n]
		why := s.Excluded
		if why == "" {
			parts := make([]string, 0, len(s.Parts))
			for _, p := range s.Parts {
				parts = append(parts, p.Name+" "+time.Duration(p.Time).Round(time.Millisecond/10).String())
			}
			why = strings.Join(parts, ", ")
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d/%d\t%d\t%s\t%s\n", s.Server, s.DataCentre, time.Duration(s.Cost).Round(time.Millisecond/10),
			s.Running, s.Slots, s.Cached, time.Duration(s.Backlog).Round(time.Millisecond), why)
	}
	return w.Flush()
}
