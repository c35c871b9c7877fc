package tdmirror

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

// httpSource is a service of one key, over HTTP.
type httpSource struct{ url string }

type httpAnswer struct {
	Value    []byte
	Revision tarragondeal.Revision
}

func (s httpSource) get(ctx context.Context) (httpAnswer, error) {
	var out httpAnswer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, http.NoBody)
	if err != nil {
		return out, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = res.Body.Close() }()
	return out, json.NewDecoder(res.Body).Decode(&out)
}

func (s httpSource) Page(context.Context, string, string) (tarragondeal.Page, error) {
	return tarragondeal.Page{Revision: 1}, nil
}

func (s httpSource) Watch(ctx context.Context, _ string, _ tarragondeal.Revision, _ time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	a, err := s.get(ctx)
	if err != nil {
		return nil, 0, err
	}
	return []tarragondeal.Entry{{Key: "a/x", Value: a.Value, Revision: a.Revision}}, a.Revision, nil
}

// TestLargeAnswerOnSlowLink guards against a large value that is read from the start
// again and again, since its answer takes longer than a watch may take.
func TestLargeAnswerOnSlowLink(t *testing.T) {
	const chunks = 30
	body, err := json.Marshal(httpAnswer{Value: make([]byte, 1<<20), Revision: 2})
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for n := range chunks {
			_, _ = w.Write(body[len(body)*n/chunks : len(body)*(n+1)/chunks])
			w.(http.Flusher).Flush()
			time.Sleep(1200 * time.Millisecond / chunks)
		}
	}))
	defer srv.Close()
	m := New(httpSource{url: srv.URL}, tdclock.New(), Options{Prefixes: []string{"a/"}, Log: zerolog.Nop()})
	steps(t, m, 1)
	m.recordFailure(errUnavailable) // The next watch has the shortest timeout.
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	time.Sleep(2 * time.Second)
	if rev := m.Position().Revision; rev != 2 {
		t.Errorf("holds revision %d", rev)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
