package tdrelay

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
)

var _ = Describe("the usage that a server tells", func() {
	for _, in := range []string{
		`{"usage":{"prompt_tokens":-1}}`, `{"usage":{"completion_tokens":-1}}`, `{"usage":{"prompt_tokens":100000001}}`,
		`{"usage":{"completion_tokens":9000000000000000000}}`, `{"usage":{"prompt_tokens_details":{"cached_tokens":-1}}}`,
	} {
		It("is not taken with figures that can't be: "+in, func() {
			Expect(usage([]byte(in))).To(BeNil())
		})
	}

	It("is taken up to the bound", func() {
		Expect(usage([]byte(`{"usage":{"prompt_tokens":100000000,"completion_tokens":2}}`))).To(Equal(&Usage{Input: maxTokens, Output: 2}))
	})
})

// FuzzWhole checks that a plain answer which counts as whole reaches the
// caller byte for byte.
func FuzzWhole(f *testing.F) {
	f.Add("application/json", []byte(`{"usage":{"prompt_tokens":3,"completion_tokens":4}}`), int64(-1))
	f.Add("application/json", []byte(`{"usage":`), int64(-1))
	f.Add("text/plain", []byte("x"), int64(2))
	f.Add("text/event-stream", []byte("data: x\n\n"), int64(9))
	f.Add("", bytes.Repeat([]byte("x"), heldBytes+2), int64(heldBytes+2))
	f.Fuzz(func(t *testing.T, media string, body []byte, length int64) {
		length = max(length, -1)
		o, err := Read(&tarragondeal.Answer{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {media}},
			Body: io.NopCloser(bytes.NewReader(body)), Length: length,
		})
		if err != nil {
			return
		}
		if u := o.Usage; u != nil && (min(u.Input, u.Output, u.Detail.Cached) < 0 || max(u.Input, u.Output, u.Detail.Cached) > maxTokens) {
			t.Fatalf("usage %+v was taken", u)
		}
		w := httptest.NewRecorder()
		if err := o.Deliver(w, 0); err != nil {
			return
		}
		if !bytes.Equal(w.Body.Bytes(), body) || length >= 0 && length != int64(len(body)) {
			t.Fatalf("%d bytes of %d announced as %d were delivered as whole", w.Body.Len(), len(body), length)
		}
	})
}
