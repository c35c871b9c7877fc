package tdquickstart_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"tarragondeal/internal/node/tdquickstart"
)

func TestQuickstart(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Quickstart")
}

var _ = Describe("the quickstart", func() {
	It("runs every step, and its three nodes leak no goroutines", func() {
		before := goleak.IgnoreCurrent()
		var out, logs bytes.Buffer
		Expect(tdquickstart.Run(context.Background(), tdquickstart.Options{Out: &out, Logs: &logs})).To(Succeed(), out.String())
		Expect(out.String()).To(ContainSubstring("by the report over all nodes"))
		Expect(logs.String()).NotTo(ContainSubstring(`"level":"error"`))
		http.DefaultClient.CloseIdleConnections()
		Eventually(func() error { return goleak.Find(before) }, "20s").Should(Succeed())
	})

	It("returns early with the failed step when its context is cancelled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var out bytes.Buffer
		err := tdquickstart.Run(ctx, tdquickstart.Options{Out: &out})
		var step *tdquickstart.StepError
		Expect(err).To(BeAssignableToTypeOf(step))
		Expect(err).To(MatchError(context.Canceled))
	})
})
