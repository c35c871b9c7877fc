package tdkv

import (
	"errors"
	"net/http"
	"testing"

	"tarragondeal"
	"tarragondeal/internal/platform/tdwire"
)

// FuzzDecode checks that the result of a call follows the response's status: only
// 409 is a conflict, and only 200 a success.
func FuzzDecode(f *testing.F) {
	f.Add(200, []byte(`{"entries":[{"key":"a","value":"eA==","revision":3}],"revision":3}`))
	f.Add(409, []byte(`{"entry":{"key":"a","revision":2},"holder":"node1"}`))
	f.Add(409, []byte(`x`))
	f.Add(429, []byte(`slow down`))
	f.Add(200, []byte(`{"entries":`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		var out tdwire.Entries
		err := decode("list", "a", status, body, &out)
		var conflict *tarragondeal.ConflictError
		var store *tarragondeal.StoreError
		switch {
		case err == nil && status != http.StatusOK:
			t.Fatalf("status %d decoded as success", status)
		case errors.As(err, &conflict) && status != http.StatusConflict:
			t.Fatalf("status %d decoded as conflict", status)
		case err != nil && conflict == nil && !errors.As(err, &store):
			t.Fatalf("got error %v, want a *StoreError or *ConflictError", err)
		case err == nil && len(entries(out)) != len(out.Entries):
			t.Fatal("entries are missing")
		}
	})
}
