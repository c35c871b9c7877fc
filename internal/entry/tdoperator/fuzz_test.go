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

// FuzzCall hands any body to the calls that take one. Without a token nothing
// is changed; with one the answer is JSON and no fault of the node.
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
	f.Add(0, true, []byte(`{"version":10}`)) // A version that nobody knows.
	calls := []struct{ method, path string }{
		{"PUT", "/operator/set"}, {"POST", "/operator/keys"}, {"POST", "/operator/keys/k/withdraw"},
	}
	f.Fuzz(func(t *testing.T, n int, known bool, body []byte) {
		pub := newPublisher()
		op := tdoperator.New(tdoperator.Deps{
			Config: pub, Members: members{}, Clock: tdclock.New(), Metrics: http.NotFoundHandler(),
			Tokens: []tdoperator.Token{{Name: "anna", Text: anna}}, Servers: func() []tarragondeal.Server { return nil },
		})
		c := calls[uint(n)%uint(len(calls))]
		r := httptest.NewRequest(c.method, c.path, bytes.NewReader(body))
		if known {
			r.Header.Set("Authorization", "Bearer "+anna)
		}
		w := httptest.NewRecorder()
		op.Handler().ServeHTTP(w, r)
		if !known && (w.Code != http.StatusUnauthorized || pub.View() != nil) {
			t.Fatalf("status %d without a token", w.Code)
		}
		if w.Code == http.StatusInternalServerError || !json.Valid(w.Body.Bytes()) {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
