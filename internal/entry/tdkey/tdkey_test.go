package tdkey

import (
	"context"
	"encoding/base64"
	"errors"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"tarragondeal"
)

func TestKey(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Key")
}

func view(version tarragondeal.Version, keys ...tarragondeal.Key) *tarragondeal.View {
	return tarragondeal.NewView(version, &tarragondeal.Set{Keys: keys})
}

func reason(err error) tarragondeal.Reason {
	var refused *tarragondeal.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

var _ = Describe("a key", func() {
	It("is checked against the current configuration", func() {
		text, key, err := Issue("depot_1", "roadside")
		Expect(err).NotTo(HaveOccurred())
		withdrawn := key
		withdrawn.Withdrawn = true
		other, _, err := Issue("depot_1", "roadside")
		Expect(err).NotTo(HaveOccurred())
		for _, c := range []struct {
			name string
			view *tarragondeal.View
			text string
			want tarragondeal.Reason
		}{
			{"good", view(1, key), text, ""},
			{"withdrawn", view(1, withdrawn), text, tarragondeal.ReasonKeyWithdrawn},
			{"unknown", view(1), text, tarragondeal.ReasonBadKey},
			{"another secret", view(1, key), other, tarragondeal.ReasonBadKey},
			{"cut", view(1, key), text[:len(text)-1], tarragondeal.ReasonBadKey},
			{"empty", view(1, key), "", tarragondeal.ReasonBadKey},
			{"a zero secret of an unknown key", view(1), "td_x_" + base64.RawURLEncoding.EncodeToString(make([]byte, secretBytes)), tarragondeal.ReasonBadKey},
		} {
			got, err := Check(c.view, c.text)
			Expect(reason(err)).To(Equal(c.want), c.name)
			if err != nil {
				Expect(err.Error()).NotTo(ContainSubstring("depot"), c.name)
				continue
			}
			Expect(got.Name).To(Equal("depot_1"))
		}
	})

	It("is detected at any position in a text", func() {
		text, _, err := Issue("depot.1", "roadside")
		Expect(err).NotTo(HaveOccurred())
		for _, in := range []string{text, "key=" + text + "&a=b", "td_td_" + text, `"` + text + `"`, "Bearer " + text + "="} {
			Expect(Contains([]byte(in))).To(BeTrue(), in)
		}
		for _, in := range []string{"", "td_", "td_depot_short", "td_a b_" + strings.Repeat("x", 50), strings.Repeat("td_", 9)} {
			Expect(Contains([]byte(in))).To(BeFalse(), in)
		}
	})

	It("has a valid name", func() {
		for _, name := range []string{"", "a b", "a/b", strings.Repeat("a", maxNameBytes+1)} {
			_, _, err := Issue(name, "roadside")
			Expect(err).To(HaveOccurred(), name)
		}
	})
})

// config is a configuration that a test can replace.
type config struct {
	mu      sync.Mutex
	view    *tarragondeal.View
	changed chan struct{}
}

func (c *config) View() *tarragondeal.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *config) set(v *tarragondeal.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
	close(c.changed)
	c.changed = make(chan struct{})
}

var _ = Describe("the guard", func() {
	It("cancels requests whose key is withdrawn, and no others", func() {
		defer goleak.VerifyNone(GinkgoT(), goleak.IgnoreCurrent())
		a := tarragondeal.Key{Name: "a", Workspace: "w", Digest: "1"}
		b := tarragondeal.Key{Name: "b", Workspace: "w", Digest: "2"}
		cfg := &config{view: view(1, a, b), changed: make(chan struct{})}
		g := NewGuard(cfg)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- g.Run(ctx) }()
		cancelledA, cancelledB, cancelledEnded := make(chan error, 9), make(chan error, 9), make(chan error, 9)
		defer g.Watch(&a, func(err error) { cancelledA <- err })()
		defer g.Watch(&b, func(err error) { cancelledB <- err })()
		g.Watch(&a, func(err error) { cancelledEnded <- err })()

		withdrawn := a
		withdrawn.Withdrawn = true
		cfg.set(view(2, withdrawn, b))
		var err error
		Eventually(cancelledA, "5s").Should(Receive(&err))
		Expect(reason(err)).To(Equal(tarragondeal.ReasonKeyWithdrawn))
		Expect(cancelledB).To(BeEmpty())
		Expect(cancelledEnded).To(BeEmpty())

		By("cancelling at once a request that was admitted just before")
		late := make(chan error, 9)
		defer g.Watch(&a, func(err error) { late <- err })()
		Expect(late).To(Receive())
		cancel()
		Eventually(done, "5s").Should(Receive(BeNil()))
	})
})

// FuzzSplit checks that the parts of a parsed key give the same text again, and
// that Contains detects every text that can be parsed.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{"", "td_", "td_a_b", "td_0_0000000000000000000000000000000000000\r\r\r000", "td__" + strings.Repeat("A", secretTextLen), "td_a_" + strings.Repeat("A", secretTextLen), "td_a_b_" + strings.Repeat("_", secretTextLen-1) + "A"} {
		f.Add("td_td.td_", seed)
	}
	f.Fuzz(func(t *testing.T, noise, text string) {
		name, secret, ok := parse(text)
		if len(secret) != secretBytes {
			t.Fatalf("secret of %d bytes", len(secret))
		}
		if !ok {
			return
		}
		if again := prefix + name + "_" + base64.RawURLEncoding.EncodeToString(secret); again != text {
			t.Fatalf("%q was parsed as %q", text, again)
		}
		if !Contains([]byte(noise + text + noise)) {
			t.Fatalf("%q is not detected between %q", text, noise)
		}
	})
}
