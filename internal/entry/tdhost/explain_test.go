package tdhost

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"tarragondeal"
)

// recordingExplainer records what is asked.
type recordingExplainer struct{ ask tarragondeal.Ask }

func (e *recordingExplainer) Explain(a tarragondeal.Ask, out *tarragondeal.Explanation) {
	e.ask = a
	out.Action = "send"
	out.Servers = make([]tarragondeal.ServerAssessment, 30)
}

// TestExplain guards against explanations of another request than the one described, and
// against invalid queries that are answered as if they were valid.
func TestExplain(t *testing.T) {
	e := newEntry(t)
	for _, c := range []struct {
		query   string
		status  int
		route   string
		servers int
	}{
		{"host=x.example&path=/plain/1", http.StatusOK, "plain", 10},
		{"host=x.example&path=/stream/1&servers=0", http.StatusOK, "stream", 30},
		{"host=X.example:80&path=/stream/1?a=b&servers=-3", http.StatusOK, "stream", 30},
		{"host=x.example&path=/none", http.StatusBadRequest, "", 0},
		{"path=/plain/1", http.StatusBadRequest, "", 0},
		{"host=x.example&path=/plain/1&workspace=none", http.StatusBadRequest, "", 0},
	} {
		x := &recordingExplainer{}
		r := httptest.NewRequest(http.MethodGet, ExplainPath+"?"+c.query, nil)
		r.Header.Set("X-Token-Count", "900,40")
		r.Header.Set("X-Prompt-Prefix", "a:300,b:600")
		w := httptest.NewRecorder()
		e.host.Explain(x).ServeHTTP(w, r)
		var got tarragondeal.Explanation
		if w.Code != c.status || w.Code == http.StatusOK && json.Unmarshal(w.Body.Bytes(), &got) != nil {
			t.Errorf("%s: status %d, %s", c.query, w.Code, w.Body)
		}
		if got.Route != c.route || len(got.Servers) != c.servers || c.route != "" && (x.ask.Input != 900 || x.ask.Output != 40 || len(x.ask.Parts) != 2) {
			t.Errorf("%s: %+v of %+v", c.query, got, x.ask)
		}
	}
	if len(e.ended()) != 0 {
		t.Error("a request was sent")
	}
}
