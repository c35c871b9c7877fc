package tdhost

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestRefusalOfServerThatRan guards against a status that means "not run" in the answer to a
// non-idempotent request whose server doesn't state that.
func TestRefusalOfServerThatRan(t *testing.T) {
	bodies := []string{"", "failed", strings.Repeat("x", maxAnswerInTest)}
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, c := range []struct {
			path       string
			resume     string
			idempotent bool
		}{
			{"/once/1", "", false},
			{"/stream/1", "", false},
			{"/plain/1", "", true},
			{"/resume/1", "", true},
			{"/resume/1", "4", true},
		} {
			for _, body := range bodies {
				fails := func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					w.WriteHeader(status)
					_, _ = fmt.Fprint(w, body)
				}
				e := newEntry(t, fails, fails)
				got := e.send(t, c.path, "Last-Event-Id", c.resume)
				switch {
				case c.idempotent && (got.status != status || got.header.Get("X-Server-Stamp") == "" || got.body != body):
					t.Errorf("%s, %d, %d bytes: status %d, %d bytes, not the server's answer", c.path, status, len(body), got.status, len(got.body))
				case !c.idempotent && (got.status != http.StatusBadGateway || got.header.Get("X-Server-Stamp") != ""):
					t.Errorf("%s, %d, %d bytes: status %d, stamp %q", c.path, status, len(body), got.status, got.header.Get("X-Server-Stamp"))
				}
			}
		}
	}
}

// maxAnswerInTest is the size of an answer that is too long to be buffered.
const maxAnswerInTest = 2 << 20
