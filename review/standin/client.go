package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
	// otherKey is a key of the same tenant, which some cases withdraw.
	otherKey = "anfqasnmgkcuyj8pjbvk"
)

var requests atomic.Int64

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

// send sends one client attempt on a new connection to a node.
func send(rec *recorder, n *node, id, method, path, body string, deadline time.Duration) answer {
	return sendAs(rec, n, key, id, method, path, body, deadline)
}

// sendAs does the same with a key.
func sendAs(rec *recorder, n *node, bearer, id, method, path, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+bearer)
	rec.add("client sends %s %s %s to %s", id, method, path, n.name)
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		rec.add("client gets no answer to %s: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, stamp: res.Header.Get("X-Server-Stamp"), body: string(text), err: err}
	rec.add("client gets %d to %s, signature %q, retry after %q, %d bytes, error %v", a.status, id, a.stamp, res.Header.Get("Retry-After"), len(text), err)
	return a
}

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+requests.Add(1)) }

// config returns a configuration like that of a small deployment, without its engines.
func config(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 800, "sloMs": 100, "priority": 2,
			"service": "leie-system", "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("kjede-booking", "/book/", "non_idempotent", 1), route("lager-sjekk", "/stock/", "idempotent", 2)},
		"services": []any{map[string]any{"name": "leie-system", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": keys}},
	}
}
