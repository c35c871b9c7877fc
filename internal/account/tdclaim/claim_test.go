package tdclaim

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/test/tdmemstore"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Claim")
}

var _ = Describe("a claim", func() {
	var (
		store  *tdmemstore.Store
		claims *Claims
	)
	BeforeEach(func() {
		store = tdmemstore.New()
		claims = New(Deps{Store: store, Members: fixedMembers{}, Clock: fixedClock{}, Log: zerolog.Nop()},
			Config{MaxRun: time.Minute, MaxAnswer: 10, Wait: time.Minute, Pending: 1})
	})

	repeat := func(ctx context.Context) *tarragondeal.ClaimError {
		_, err := claims.Take(ctx, testKey, "digest")
		var taken *tarragondeal.ClaimError
		Expect(errors.As(err, &taken)).To(BeTrue())
		return taken
	}

	It("is ended when the store recovers, even while the node is stopping", func(ctx context.Context) {
		claim, err := claims.Take(ctx, testKey, "digest")
		Expect(err).NotTo(HaveOccurred())
		store.Fault = func(string, string) tdmemstore.Fault { return tdmemstore.Refuse }
		Expect(claims.Finish(ctx, claim, tarragondeal.RecordedAnswer{Status: 200, Body: []byte("ok")})).To(Succeed())
		Expect(claims.Abandon(ctx, claim)).NotTo(Succeed(), "only one write may be queued")
		store.Fault = nil
		Expect(repeat(ctx).Ran).To(Equal(tarragondeal.RanUnknown))
		stopped, cancel := context.WithCancel(ctx)
		cancel()
		Expect(claims.Run(stopped)).To(Succeed())
		Expect(repeat(ctx).Answer.Body).To(BeEquivalentTo("ok"))
	})

	It("keeps the digest of an answer that is too large", func(ctx context.Context) {
		claim, err := claims.Take(ctx, testKey, "digest")
		Expect(err).NotTo(HaveOccurred())
		Expect(claims.Finish(ctx, claim, tarragondeal.RecordedAnswer{Status: 200, Body: make([]byte, 11), Digest: "d"})).To(Succeed())
		Expect(*repeat(ctx).Answer).To(Equal(tarragondeal.RecordedAnswer{Status: 200, Digest: "d", Omitted: true}))
	})

	keys := []struct{ name, key string }{{"a missing key", ""}, {"a key that is too long", strings.Repeat("k", maxKeyBytes+1)}}
	for _, k := range keys {
		It("is refused for "+k.name, func(ctx context.Context) {
			_, err := claims.Take(ctx, tarragondeal.ClaimKey{Key: k.key}, "digest")
			var refused *tarragondeal.RefusedError
			Expect(errors.As(err, &refused)).To(BeTrue())
			Expect(refused.Ran).To(Equal(tarragondeal.RanNot))
		})
	}
})
