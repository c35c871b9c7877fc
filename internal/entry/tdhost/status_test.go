package tdhost

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

// TestStatusOutOfRange guards against callers that get the status of a server that is in
// trouble, or a connection that a panic of the handler closes.
func TestStatusOutOfRange(t *testing.T) {
	for _, c := range []struct {
		path  string
		retry bool // A further server is asked.
	}{{"/plain/1", true}, {"/once/1", false}, {"/stream/1", false}} {
		for _, status := range []string{"000", "099", "+20", "600", "999"} {
			var odd, sound scriptServer
			odd.set(script{answers: []string{strings.Replace(plainAnswers[0].text, "200", status, 1)}})
			sound.set(script{answers: []string{plainAnswers[0].text}})
			e := newEntry(t)
			e.reset([]netip.AddrPort{odd.start(t), sound.start(t)})
			got := e.send(t, c.path)
			want := http.StatusBadGateway
			if c.retry {
				want = http.StatusOK
			}
			if got.err != nil || got.status != want || got.header.Get("X-Server-Stamp") != "" && !c.retry {
				t.Errorf("%s, status %s: %+v", c.path, status, got)
			}
			if strings.Contains(e.logs.String(), "panic") {
				t.Errorf("%s, status %s: %s", c.path, status, e.logs.String())
			}
		}
	}
}
