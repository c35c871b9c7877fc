package tdrelay

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Relay")
}

// event returns a chunk of an answer as an engine writes it.
func event(id, content, finish string) string {
	f := "null"
	if finish != "" {
		f = strconv.Quote(finish)
	}
	return fmt.Sprintf(`data: {"id":%q,"created":1,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`+"\n\n", id, content, f)
}

const (
	usageEvent = `data: {"id":"a","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":3}}` + "\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

var _ = Describe("a streamed answer", func() {
	a1, a2, a3 := event("a", "one", ""), event("a", "two", ""), event("a", "", "stop")
	b1, b2, b3 := event("b", "one", ""), event("b", "two", ""), event("b", "", "stop")
	type part struct {
		text  string
		broke bool // The connection breaks at the end of the text.
		rerun bool // Another run, which is compared with what was delivered.
		want  End
	}
	cases := []struct {
		name  string
		parts []part
		want  string
	}{
		{"is relayed if it is complete", []part{{text: a1 + a2 + a3 + doneEvent, want: EndComplete}}, a1 + a2 + a3 + doneEvent},
		{"keeps comments and carriage returns", []part{{text: ": ping\r\n\r\n" + a1 + a3 + doneEvent, want: EndComplete}}, ": ping\r\n\r\n" + a1 + a3 + doneEvent},
		{"is truncated before the head of an error", []part{{text: a1 + "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed\n\n", want: EndTruncated}}, a1},
		{"is truncated before the text of an error", []part{{text: a1 + "failed\n\n" + a2 + a3 + doneEvent, want: EndTruncated}}, a1},
		{"is truncated without its end marker", []part{{text: a1 + a3, want: EndTruncated}}, a1 + a3},
		{"is truncated if the end marker comes too early", []part{{text: a1 + doneEvent, want: EndTruncated}}, a1},
		{"never delivers part of an event", []part{{text: a1 + a2[:20], want: EndTruncated}}, a1},
		{"is broken when its connection breaks", []part{{text: a1, broke: true, want: EndBroken}}, a1},
		{"does not relay an engine's error", []part{{text: a1 + "data: {\"error\":{\"message\":\"x\"}}\n\n", want: EndTruncated}}, a1},
		{"does not relay data that is not JSON", []part{{text: a1 + "data: {\"choices\":[\n\n", want: EndInvalid}}, a1},
		{"does not relay an event of another answer", []part{{text: a1 + b2, want: EndInvalid}}, a1},
		{"stops at an event above the limit", []part{{text: "data: " + strings.Repeat("x", maxEventBytes) + "\n\n", want: EndInvalid}}, ""},
		{"hides usage that was not requested", []part{{text: a1 + a3 + usageEvent + doneEvent, want: EndComplete}}, a1 + a3 + doneEvent},
		{"is continued where it broke", []part{{text: a1, broke: true, want: EndBroken}, {text: a2 + a3 + doneEvent, want: EndComplete}}, a1 + a2 + a3 + doneEvent},
		{"is continued by a rerun with equal content", []part{{text: a1 + a2, broke: true, want: EndBroken}, {text: b1 + b2 + b3 + doneEvent, rerun: true, want: EndComplete}}, a1 + a2 + b3 + doneEvent},
		{"is not continued by a rerun with other content", []part{{text: a1 + a2, broke: true, want: EndBroken}, {text: b1 + event("b", "three", "") + b3 + doneEvent, rerun: true, want: EndDiverged}}, a1 + a2},
		{"is not continued by a shorter rerun", []part{{text: a1 + a2, broke: true, want: EndBroken}, {text: b1 + doneEvent, rerun: true, want: EndDiverged}}, a1 + a2},
	}
	for _, c := range cases {
		It(c.name, func() {
			w := httptest.NewRecorder()
			s := NewStream(w, Options{HideUsage: true, WriteTimeout: time.Minute, MaxRecordBytes: 1 << 20})
			for _, p := range c.parts {
				var body io.Reader = strings.NewReader(p.text)
				if p.broke {
					body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
				}
				skip := 0
				if p.rerun {
					skip = s.Events()
				}
				end, _ := s.Feed(body, skip)
				Expect(end).To(Equal(p.want))
			}
			Expect(w.Body.String()).To(Equal(c.want))
			recorded, _, omitted := s.Recorded()
			Expect(omitted).To(BeFalse())
			Expect(string(recorded)).To(Equal(c.want))
		})
	}

	It("ends with an error event and no end marker when it fails", func() {
		w := httptest.NewRecorder()
		s := NewStream(w, Options{})
		_, _ = s.Feed(strings.NewReader(a1), 0)
		s.Fail(&tarragondeal.RefusedError{Reason: tarragondeal.ReasonBackend, Ran: tarragondeal.RanYes})
		Expect(w.Body.String()).To(HavePrefix(a1 + "event: error\ndata: {\"error\":"))
		Expect(w.Body.String()).To(ContainSubstring(`"ran":"ran"`))
		Expect(w.Body.String()).NotTo(ContainSubstring("[DONE]"))
	})

	It("counts tokens and keeps the reported usage", func() {
		s := NewStream(httptest.NewRecorder(), Options{})
		_, _ = s.Feed(strings.NewReader(a1+a2+a3+usageEvent+doneEvent), 0)
		Expect(s.Tokens()).To(Equal(2))
		Expect(s.Usage()).To(Equal(&Usage{Input: 9, Output: 3}))
	})
})

var _ = Describe("an answer that is not streamed", func() {
	large := strings.Repeat("x", 2*maxBufferedBytes)
	cases := []struct {
		name, media, body string
		length            int64
		broke             bool
		read              End // EndComplete if it may be delivered.
		deliver           End
	}{
		{"is delivered", "application/json", `{"a":1}`, 7, false, EndComplete, EndComplete},
		{"is delivered without a length", "application/json", `{"a":1}`, -1, false, EndComplete, EndComplete},
		{"is not delivered if its JSON is truncated", "application/json", `{"a":`, -1, false, EndTruncated, EndComplete},
		{"is not delivered if it is shorter than Content-Length", "text/plain", `{"a":1}`, 9, false, EndTruncated, EndComplete},
		{"is not delivered if its connection breaks", "text/plain", `{"a":1}`, -1, true, EndBroken, EndComplete},
		{"is delivered if it is too large to buffer", "text/plain", large, int64(len(large)), false, EndComplete, EndComplete},
		{"is cut off if it is too large and truncated", "text/plain", large, int64(len(large)) + 1, false, EndComplete, EndTruncated},
		{"is cut off if it is too large and its connection breaks", "text/plain", large, -1, true, EndComplete, EndBroken},
	}
	for _, c := range cases {
		It(c.name, func() {
			var body io.Reader = strings.NewReader(c.body)
			if c.broke {
				body = io.MultiReader(body, iotest.ErrReader(io.ErrUnexpectedEOF))
			}
			h := http.Header{"Content-Type": {c.media}, "Set-Cookie": {"a=b"}, "Location": {"elsewhere"}}
			o, err := ReadPlain(&tarragondeal.Answer{Status: 200, Header: h, Body: io.NopCloser(body), Length: c.length})
			Expect(endOf(err)).To(Equal(c.read))
			if err != nil {
				return
			}
			w := httptest.NewRecorder()
			Expect(endOf(o.Deliver(w, time.Minute))).To(Equal(c.deliver))
			Expect(w.Body.String()).To(Equal(c.body))
			Expect(w.Header()).NotTo(Or(HaveKey("Set-Cookie"), HaveKey("Location")))
			Expect(hex.EncodeToString(o.Digest())).To(HaveLen(64))
		})
	}
})

func endOf(err error) End {
	var b *BrokenError
	if errors.As(err, &b) {
		return b.End
	}
	Expect(err).NotTo(HaveOccurred())
	return EndComplete
}

var _ = Describe("an error", func() {
	It("says whether the request has run and when to retry", func() {
		for _, c := range []struct {
			err    error
			status int
			body   []string
		}{
			{&tarragondeal.RefusedError{Reason: tarragondeal.ReasonOverload, Ran: tarragondeal.RanNot}, 503, []string{`"code":"overload"`, `"ran":"notRun"`}},
			{&tarragondeal.ClaimError{Reason: tarragondeal.ReasonAlreadyRunning, Ran: tarragondeal.RanUnknown}, 409, []string{`"code":"alreadyRunning"`, `"ran":"unknown"`}},
			{errors.New("secret detail"), 500, []string{`"code":"internal"`, `"ran":"unknown"`}},
		} {
			w := httptest.NewRecorder()
			WriteError(w, c.err)
			Expect(w.Code).To(Equal(c.status))
			for _, part := range c.body {
				Expect(w.Body.String()).To(ContainSubstring(part))
			}
			Expect(w.Body.String()).NotTo(ContainSubstring("secret"))
			Expect(w.Header().Get("Retry-After") != "").To(Equal(c.status == 503 || c.status == 409))
		}
	})

	It("adds jitter to Retry-After", func() {
		Expect(retryAfterSeconds(time.Second, 0)).To(Equal(1))
		Expect(retryAfterSeconds(time.Second, 0.99)).To(Equal(4))
		Expect(retryAfterSeconds(time.Minute, 0.99)).To(Equal(90))
	})
})

// TestScanChunk checks that scanning an event finds the same fields as decoding
// it, even if strings contain text that looks like fields.
func TestScanChunk(t *testing.T) {
	texts := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{
		`"finish_reason":"stop"`, `\"usage":{`, `","choices":[]`, `\`, `"content":`, "data: [DONE]",
	}))
	rapid.Check(t, func(t *rapid.T) {
		type delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		}
		type choice struct {
			Index  int     `json:"index"`
			Delta  delta   `json:"delta"`
			Finish *string `json:"finish_reason"`
		}
		var finish *string
		if rapid.Bool().Draw(t, "finished") {
			s := "length"
			finish = &s
		}
		in := struct {
			ID      string   `json:"id"`
			Note    string   `json:"note"`
			Choices []choice `json:"choices"`
		}{
			ID: rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "id"), Note: texts.Draw(t, "note"),
			Choices: []choice{{
				Index:  rapid.IntRange(0, maxChoiceIndex).Draw(t, "index"),
				Delta:  delta{Role: texts.Draw(t, "role"), Content: texts.Draw(t, "content")},
				Finish: finish,
			}},
		}
		data, err := json.Marshal(in)
		if err != nil {
			t.Fatal(err)
		}
		c := scanChunk(data)
		got := in.Choices[0]
		if !c.valid || c.failed || string(c.id) != in.ID || c.index != got.Index ||
			(len(c.finish) > 0) != (finish != nil) || c.hasContent() != (got.Delta.Content != "") || c.usage != nil {
			t.Fatalf("%s: %+v", data, c)
		}
	})
}

// FuzzEvents checks that events are split without changing a byte, that none is
// larger than the limit, and that no event makes scanChunk panic.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"", "\n\n", "data: [DONE]\n\n", "data: a\ndata: b\n\n", "event: error\r\ndata: x\r\n\r\n", ": ping\n\ndata",
		event("a", "x", "stop"), usageEvent, "data: {\"choices\":[{\"finish_reason\":\n\n", "data: {\"id\":\"\\\"\"}\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		e := NewEvents(strings.NewReader(string(in)))
		total := 0
		for {
			ev, err := e.Next()
			if err != nil {
				break
			}
			total += len(ev.Raw)
			if len(ev.Raw) > maxEventBytes || !strings.Contains(string(in), string(ev.Raw)) {
				t.Fatalf("event of %d bytes is not in the input", len(ev.Raw))
			}
			scanChunk(ev.Data)
		}
		if total > len(in) {
			t.Fatalf("events have %d bytes, the input %d", total, len(in))
		}
	})
}
