package tdfront_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdfront"
	"tarragondeal/internal/entry/tdkey"
)

// FuzzRequest checks that a request which is passed on contains no key, that its
// path has no dotted parts, and that its body is within the limit, for any path,
// query, header and body.
func FuzzRequest(f *testing.F) {
	text, stored, err := tdkey.Issue("k", "auditors")
	if err != nil {
		f.Fatal(err)
	}
	f.Add("POST", "/v1/completions", "", "mine", []byte(`{"model":"narrate"}`))
	f.Add("PUT", "/services/enter/a/b", "x=1", "", []byte(`{}`))
	f.Add("GET", "/services/enter/../x", "", "", []byte(nil))
	f.Add("GET", "/services/enter/a", "k="+text, "", []byte(nil))
	f.Add("POST", "/services/enter/a", "", text, []byte(nil))
	f.Add("POST", "/v1/chat/completions", "", "", []byte(`{"model":"narrate","messages":"`+text+`"}`))
	f.Add("GET", "/entry", "count=9999999999999999999", "", []byte(nil))
	f.Fuzz(func(t *testing.T, method, path, query, id string, body []byte) {
		o := &fakeNode{view: tarragondeal.NewView(1, &tarragondeal.Set{
			ServerPools:    []tarragondeal.ServerPool{{Name: "m", Kind: tarragondeal.PoolModel}, {Name: "s", Kind: tarragondeal.PoolService}},
			RequestClasses: []tarragondeal.RequestClass{{Name: "c"}},
			Workspaces:     []tarragondeal.Workspace{{Name: "auditors"}},
			Routes: []tarragondeal.Route{
				{Name: "narrate", Class: "c", Pools: []string{"m"}}, {Name: "enter", Class: "c", Pools: []string{"s"}},
			},
			Keys: []tarragondeal.Key{stored},
		})}
		front := tdfront.New(tdfront.Deps{
			Config: o, Limiter: o, Flow: o, Addresses: tdaddress.New(o, o, time.Second), Clock: tdclock.New(),
		}, tdfront.Options{MaxBody: 1 << 10, BodyTimeout: time.Minute, MaxOpenPerKey: 1})
		r := &http.Request{
			Method: method, URL: &url.URL{Path: path, RawQuery: query}, Body: http.NoBody,
			Header: http.Header{"Authorization": {"Bearer " + text}, "X-Request-Id": {id}},
		}
		if len(body) > 0 {
			r = r.Clone(t.Context())
			r.Body, r.ContentLength = readCloser{bytes.NewReader(body)}, int64(len(body))
		}
		w := httptest.NewRecorder()
		front.Handler().ServeHTTP(w, r)
		for _, q := range o.requests {
			if tdkey.Contains([]byte(q.Path)) || tdkey.Contains(q.Body) || strings.Contains(q.Path, "/../") {
				t.Fatalf("request to %q with body %q was passed on", q.Path, q.Body)
			}
			if len(q.Body) > 1<<10 || q.Header.Get("Authorization") != "" {
				t.Fatalf("request with %d bytes and header %v was passed on", len(q.Body), q.Header)
			}
		}
	})
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }
