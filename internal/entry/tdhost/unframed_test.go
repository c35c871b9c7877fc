package tdhost

import (
	"net/http"
	"testing"

	"tarragondeal"
)

// unframed answers with text as an event stream that ends with its connection.
func unframed(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Transfer-Encoding", "identity") // Neither a length nor chunks.
		stream(text)(w, r)
		_ = http.NewResponseController(w).Flush()
	}
}

// TestStreamThatEndsWithItsConnection guards against a stream that is passed on as
// complete although its server crashed before the first event or inside one, and
// against a whole one that is taken for broken.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	served, crashed := tarragondeal.OutcomeServed, tarragondeal.OutcomeCrashed
	for _, c := range []struct {
		name     string
		first    string
		next     string
		outcomes []tarragondeal.OutcomeKind
	}{
		{"whole", events(1, 5), "", []tarragondeal.OutcomeKind{served}},
		{"inside an event", events(1, 3) + "id: 4\nda", events(4, 5), []tarragondeal.OutcomeKind{crashed, served}},
		{"inside the first event", "id: 1\nda", events(1, 5), []tarragondeal.OutcomeKind{crashed, served}},
		{"before the first event", "", events(1, 5), []tarragondeal.OutcomeKind{crashed, served}},
		{"after an empty line", "\n", events(1, 5), []tarragondeal.OutcomeKind{crashed, served}},
	} {
		e := newEntry(t, unframed(c.first), unframed(c.next))
		if got := e.send(t, "/resume/1"); got.err != nil || got.body != events(1, 5) {
			t.Errorf("%s: got %q, error %v", c.name, got.body, got.err)
		}
		kinds := e.ended()
		if len(kinds) != len(c.outcomes) || kinds[0] != c.outcomes[0] {
			t.Errorf("%s: outcomes %v", c.name, kinds)
		}
	}
	e := newEntry(t, unframed(""), unframed(""))
	if got := e.send(t, "/resume/1"); got.err == nil && got.status == http.StatusOK {
		t.Errorf("two servers that crash before the first event: got %+v", got)
	}
}
