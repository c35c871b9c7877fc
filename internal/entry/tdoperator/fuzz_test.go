package tdoperator_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/entry/tdoperator"
)

// FuzzCall sends arbitrary bodies to the endpoints that take one. Without a token
// the request must be rejected and change nothing. With a token the response must
// be JSON and no internal error.
func FuzzCall(f *testing.F) {
	set, err := json.Marshal(tdoperator.Published{Text: setText, Note: "first"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(0, true, set)
	f.Add(0, false, set)
	f.Add(0, true, []byte(`{"set":{"routes":[{}]}} x`))
	f.Add(1, true, []byte(`{"key":{"name":"k","workspace":"auditors"}}`))
	f.Add(2, true, []byte(`{}`))
	f.Add(0, true, []byte(`{"version":10}`)) // A version that does not exist.
	endpoints := []struct{ method, path string }{
		{"PUT", "/operator/set"}, {"POST", "/operator/keys"}, {"POST", "/operator/keys/k/withdraw"},
	}
	f.Fuzz(func(t *testing.T, n int, authenticated bool, body []byte) {
		pub := newPublisher()
		api := tdoperator.New(tdoperator.Deps{
			Config: pub, Members: members{}, Clock: tdclock.New(), Metrics: http.NotFoundHandler(),
			Tokens: []tdoperator.Token{{Name: "anna", Text: anna}}, Servers: func() []tarragondeal.Server { return nil },
		})
		c := endpoints[uint(n)%uint(len(endpoints))]
		r := httptest.NewRequest(c.method, c.path, bytes.NewReader(body))
		if authenticated {
			r.Header.Set("Authorization", "Bearer "+anna)
		}
		w := httptest.NewRecorder()
		api.Handler().ServeHTTP(w, r)
		if !authenticated && (w.Code != http.StatusUnauthorized || pub.View() != nil) {
			t.Fatalf("status %d without a token", w.Code)
		}
		if w.Code == http.StatusInternalServerError || !json.Valid(w.Body.Bytes()) {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
