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

var _ = Describe("the usage that a server reports", func() {
	for _, in := range []string{
		`{"usage":{"prompt_tokens":-1}}`, `{"usage":{"completion_tokens":-1}}`, `{"usage":{"prompt_tokens":100000001}}`,
		`{"usage":{"completion_tokens":9000000000000000000}}`, `{"usage":{"prompt_tokens_details":{"cached_tokens":-1}}}`,
	} {
		It("is ignored if a count is out of range: "+in, func() {
			Expect(parseUsage([]byte(in))).To(BeNil())
		})
	}

	It("is accepted up to the limit", func() {
		Expect(parseUsage([]byte(`{"usage":{"prompt_tokens":100000000,"completion_tokens":2}}`))).To(Equal(&Usage{Input: maxUsageTokens, Output: 2}))
	})
})

// FuzzWhole checks that an answer which is not streamed and is accepted as
// complete is delivered unchanged.
func FuzzWhole(f *testing.F) {
	f.Add("application/json", []byte(`{"usage":{"prompt_tokens":3,"completion_tokens":4}}`), int64(-1))
	f.Add("application/json", []byte(`{"usage":`), int64(-1))
	f.Add("text/plain", []byte("x"), int64(2))
	f.Add("text/event-stream", []byte("data: x\n\n"), int64(9))
	f.Add("", bytes.Repeat([]byte("x"), maxBufferedBytes+2), int64(maxBufferedBytes+2))
	f.Fuzz(func(t *testing.T, media string, body []byte, length int64) {
		length = max(length, -1)
		o, err := ReadPlain(&tarragondeal.Answer{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {media}},
			Body: io.NopCloser(bytes.NewReader(body)), Length: length,
		})
		if err != nil {
			return
		}
		if u := o.Usage; u != nil && (min(u.Input, u.Output, u.Detail.Cached) < 0 || max(u.Input, u.Output, u.Detail.Cached) > maxUsageTokens) {
			t.Fatalf("usage %+v was accepted", u)
		}
		w := httptest.NewRecorder()
		if err := o.Deliver(w, 0); err != nil {
			return
		}
		if !bytes.Equal(w.Body.Bytes(), body) || length >= 0 && length != int64(len(body)) {
			t.Fatalf("delivered %d bytes of %d as complete, with Content-Length %d", w.Body.Len(), len(body), length)
		}
	})
}
