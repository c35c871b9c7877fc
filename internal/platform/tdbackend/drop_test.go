package tdbackend

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"tarragondeal"
)

// TestDropSparesTheNextRequest guards against a request whose connection is closed since an
// earlier answer on it is dropped: the connection was free again as soon as that answer,
// which has no body, was read.
func TestDropSparesTheNextRequest(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
			_, _ = io.WriteString(w, "done")
		}
	}))
	defer srv.Close()
	b := NewWith(Options{Verbatim: true})
	server := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	first, err := b.Send(t.Context(), server, tarragondeal.Call{Method: http.MethodGet, Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	next := make(chan error, 1)
	go func() {
		answer, err := b.Send(t.Context(), server, tarragondeal.Call{Method: http.MethodGet, Path: "/wait"})
		if err == nil {
			_, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
		}
		next <- err
	}()
	time.Sleep(50 * time.Millisecond)
	first.Drop()
	time.Sleep(20 * time.Millisecond)
	close(release)
	if err := <-next; err != nil {
		t.Errorf("the next request: %v", err)
	}
	_ = first.Body.Close()
	b.CloseIdle()
}
