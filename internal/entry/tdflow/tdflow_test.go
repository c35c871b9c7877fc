package tdflow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestFlow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Flow")
}

var _ = Describe("the next step", func() {
	base := State{Idempotent: true, Stream: true, Attempts: 1, MaxAttempts: 3, Remaining: time.Second}
	with := func(f Failure, change func(*State)) State {
		s := base
		s.Failure = f
		if change != nil {
			change(&s)
		}
		return s
	}
	delivered := func(s *State) { s.Delivered = true }
	for _, c := range []struct {
		name  string
		state State
		want  Step
	}{
		{"complete answer", with(FailNone, delivered), StepDone},
		{"crashed before the first byte", with(FailCrashed, nil), StepRetry},
		{"crashed, attempts used up", with(FailCrashed, func(s *State) { s.Attempts = 3 }), StepRefuse},
		{"crashed, no time left", with(FailCrashed, func(s *State) { s.Remaining = 0 }), StepRefuse},
		{"crashed, not idempotent", with(FailCrashed, func(s *State) { s.Idempotent = false }), StepRefuse},
		{"unsent, not idempotent", with(FailUnreachable, func(s *State) { s.Idempotent = false }), StepRetry},
		{"server fault, not idempotent", with(FailServerError, func(s *State) { s.Idempotent = false }), StepRefuse},
		{"broke in the middle", with(FailCrashed, delivered), StepResume},
		{"broke in the middle, not idempotent", with(FailTruncated, func(s *State) { s.Delivered, s.Idempotent = true, false }), StepResume},
		{"broke again after resuming", with(FailCrashed, func(s *State) { s.Delivered, s.Resumed = true, true }), StepRetry},
		{"broke again, not idempotent", with(FailCrashed, func(s *State) { s.Delivered, s.Resumed, s.Idempotent = true, true, false }), StepFail},
		{"broke in the middle, can't be continued", with(FailCrashed, func(s *State) { s.Delivered, s.Resumed, s.Final = true, true, true }), StepFail},
		{"event of another request in the middle", with(FailInvalid, delivered), StepRetry},
		{"retry differs", with(FailDiverged, delivered), StepFail},
		{"plain answer broke", with(FailCrashed, func(s *State) { s.Delivered, s.Stream = true, false }), StepAbort},
		{"caller disconnected", with(FailCallerGone, delivered), StepCallerGone},
		{"key withdrawn before the answer", with(FailKeyWithdrawn, nil), StepRefuse},
		{"key withdrawn in the middle", with(FailKeyWithdrawn, delivered), StepFail},
		{"deadline passed in the middle", with(FailDeadline, delivered), StepFail},
		{"no server granted", with(FailNoServer, nil), StepRefuse},
		{"no server granted to continue", with(FailNoServer, delivered), StepFail},
		{"redirect", with(FailRedirect, nil), StepRefuse},
	} {
		It("is correct: "+c.name, func() { Expect(Next(c.state)).To(Equal(c.want)) })
	}

	It("never runs a non-idempotent request again once a byte was sent", func() {
		for f := FailNone; f <= FailDeadline; f++ {
			for _, stream := range []bool{false, true} {
				s := State{Failure: f, Stream: stream, Attempts: 1, MaxAttempts: 3, Remaining: time.Second}
				if f != FailUnreachable && f != FailPlacement {
					Expect(Next(s)).NotTo(Equal(StepRetry))
				}
				s.Delivered = true
				Expect(Next(s)).NotTo(Equal(StepRetry))
			}
		}
	})
})

var _ = Describe("CombineRan", func() {
	It("ranks RanYes above RanUnknown above RanNot", func() {
		order := []tarragondeal.Ran{tarragondeal.RanNot, tarragondeal.RanUnknown, tarragondeal.RanYes}
		for n, a := range order {
			for k, b := range order {
				Expect(CombineRan(a, b)).To(Equal(order[max(n, k)]))
			}
		}
	})
})

var _ = Describe("a body", func() {
	for _, c := range []struct{ name, in, fault string }{
		{"that is truncated", `{"model":"m","messages":[`, "not complete"},
		{"that is not an object", `[1]`, "not a JSON object"},
		{"that is empty", ``, "not a JSON object"},
		{"with trailing data", `{"model":"m"} {}`, "follows"},
		{"with a field twice", `{"model":"m","model":"n"}`, "twice"},
		{"whose model is not a string", `{"model":7}`, "wrong type"},
	} {
		It("is refused "+c.name, func() {
			_, err := ParseBody([]byte(c.in))
			Expect(err).To(MatchError(ContainSubstring(c.fault)))
		})
	}

	It("is refused with too many fields", func() {
		fields := func(n int) []byte {
			text := []byte(`{"model":"m"`)
			for k := range n - 1 {
				text = fmt.Appendf(text, `,"field%d":1`, k)
			}
			return append(text, '}')
		}
		_, err := ParseBody(fields(maxFields))
		Expect(err).NotTo(HaveOccurred())
		_, err = ParseBody(fields(maxFields + 1))
		Expect(err).To(MatchError(ContainSubstring("more than 256 fields")))
	})

	It("is sent to an engine with the router's fields set and all others unchanged", func() {
		b, err := ParseBody([]byte(`{"seed": 9007199254740993, "model":"narrate","priority":0,"cache_salt":"mine","stream":true,"stream_options":{"x":1},"messages":[{"content":"<é>"}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b.ForEngine("m-7b", 3, "salt"))).To(Equal(
			`{"model":"m-7b","priority":3,"cache_salt":"salt","stream_options":{"include_usage":true,"x":1},"seed":9007199254740993,"stream":true,"messages":[{"content":"<é>"}]}`))
	})
})

// FuzzBody checks that an accepted body is sent to the engine as one JSON object
// with the router's fields set and all others unchanged.
func FuzzBody(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `{"model":"m"}`, `{"model":"m","stream":true,"stream_options":null}`, "{}\f", `{"a":1,"a":2}`, `{"":{}}`,
		`{"model":"m","messages":[{"role":"user","content":"\u0000"}],"n":1e9}`, `{"model":"m"`, `{"max_tokens":"x"}`, ` {"stop":["\""]} `,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		b, err := ParseBody(in)
		if err != nil {
			return
		}
		var before, after map[string]json.RawMessage
		if err := json.Unmarshal(in, &before); err != nil {
			t.Fatalf("accepted %q, which is not valid JSON: %v", in, err)
		}
		if err := json.Unmarshal(b.ForEngine("m", 2, "s"), &after); err != nil {
			t.Fatalf("body for the engine is not valid JSON for %q: %v", in, err)
		}
		if string(after["model"]) != `"m"` || string(after["priority"]) != "2" || string(after["cache_salt"]) != `"s"` {
			t.Fatalf("%q lacks the router's fields", in)
		}
		for name, raw := range before {
			own := name == "model" || name == "priority" || name == "cache_salt" || name == "stream_options"
			if !own && !bytes.Equal(raw, after[name]) {
				t.Fatalf("field %q changed", name)
			}
		}
	})
}

// TestPrefixAllocations checks that messages beyond maxPrefixDigests are not
// decoded, so that the cost of a prompt with very many messages is bounded.
func TestPrefixAllocations(t *testing.T) {
	prompt := []byte("[" + strings.Repeat("0,", 100_000) + "0]")
	if n := testing.AllocsPerRun(10, func() { Prefix("w", prompt) }); n > 10*maxPrefixDigests {
		t.Fatalf("%.0f allocations", n)
	}
	if n := len(Prefix("w", prompt)); n != maxPrefixDigests {
		t.Fatalf("%d digests", n)
	}
}

// TestPrefix checks that two conversations have the same digests for their common
// messages, and only within one workspace.
func TestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.Map(rapid.StringN(0, 3*prefixBlockBytes, -1), func(s string) json.RawMessage {
			raw, _ := json.Marshal(map[string]string{"role": "user", "content": s})
			return raw
		})
		long := rapid.SliceOfN(message, 2, 5).Draw(t, "messages")
		text := func(m []json.RawMessage) []byte { raw, _ := json.Marshal(m); return raw }
		whole := Prefix("w", text(long))
		part := Prefix("w", text(long[:len(long)-1]))
		if len(whole) > maxPrefixDigests || len(part) == 0 {
			t.Fatalf("%d and %d digests", len(whole), len(part))
		}
		for n := range part {
			if part[n] != whole[n] {
				t.Fatalf("digest %d differs", n)
			}
		}
		if Prefix("v", text(long))[0] == whole[0] || Salt("v") == Salt("w") {
			t.Fatal("two workspaces share a prefix")
		}
	})
}

// FuzzPrefix checks that the number of digests is bounded and that they don't
// depend on white space between messages.
func FuzzPrefix(f *testing.F) {
	for _, seed := range []string{"", "null", "[", `["a","b"]`, `[{"role":"user","content":"x"}]`, `"text"`, `[1 2]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, prompt []byte) {
		got := Prefix("w", prompt)
		if len(got) > maxPrefixDigests {
			t.Fatalf("%d digests", len(got))
		}
		var messages []json.RawMessage
		if json.Unmarshal(prompt, &messages) != nil || messages == nil {
			return
		}
		var spaced []byte
		for n, m := range messages {
			if n > 0 {
				spaced = append(spaced, " , "...)
			}
			spaced = append(spaced, m...)
		}
		if again := Prefix("w", fmt.Appendf(nil, "[ %s ]", spaced)); !slices.Equal(got, again) {
			t.Fatalf("%d and %d digests", len(got), len(again))
		}
	})
}
