package tdhealth_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdhealth"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Health")
}

const ms = tarragondeal.Instant(time.Millisecond)

var _ = Describe("rates", func() {
	observe := func(r *tdhealth.Rates, id tarragondeal.ServerID, perSecond int) {
		for range 30 {
			r.Observe(0, id, "narrator", tdhealth.Sample{Tokens: perSecond + 1, FirstToken: time.Second, Total: 2 * time.Second})
		}
		r.Refresh(0, time.Minute)
	}

	It("give a straggler fewer slots until it recovers", func() {
		r := tdhealth.NewRates()
		observe(r, "a", 50)
		observe(r, "b", 50)
		Expect(r.UsableSlots("c", 8)).To(Equal(8))
		observe(r, "c", 10)
		Expect(r.Factor("c")).To(BeNumerically("~", 0.2, 0.01))
		Expect(r.UsableSlots("c", 8)).To(Equal(2))
		Expect(r.UsableSlots("c", 2)).To(Equal(1))
		observe(r, "c", 50)
		Expect(r.UsableSlots("c", 8)).To(Equal(8))
	})

	It("find no straggler in a pool with too few servers to compare", func() {
		r := tdhealth.NewRates()
		observe(r, "a", 50)
		observe(r, "b", 5)
		Expect(r.Factor("b")).To(Equal(1.0))
	})
})

var _ = Describe("a status", func() {
	It("is usable again only after a probe that began after the error", func() {
		var s tdhealth.Status
		Expect(s.Due(0, time.Second)).To(BeTrue())
		s.Crashed(1 * ms)
		s.Probed(2*ms, true, false) // It began before the crash.
		Expect(s.Usable()).To(BeFalse())
		Expect(s.Due(2*ms, time.Second)).To(BeTrue())
		s.Probed(3*ms, true, false)
		Expect(s.Usable()).To(BeTrue())
	})

	It("stops grants after a refusal until the next probe", func() {
		var s tdhealth.Status
		s.Refused(1 * ms)
		Expect(s.Usable()).To(BeTrue())
		Expect(s.Grantable()).To(BeFalse())
		Expect(s.Due(1*ms, time.Second)).To(BeTrue())
		s.Probed(2*ms, true, false)
		Expect(s.Grantable()).To(BeTrue())
	})

	It("goes down after two failed probes, with growing delays between probes", func() {
		var s tdhealth.Status
		now := tarragondeal.Instant(0)
		var waits []time.Duration
		for range 7 {
			from := now
			for !s.Due(now, time.Second) {
				now += 50 * ms
			}
			waits = append(waits, now.Sub(from))
			s.Probed(now, false, false)
		}
		Expect(s.Usable()).To(BeFalse())
		Expect(waits).To(Equal([]time.Duration{
			0, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
			1600 * time.Millisecond, 3200 * time.Millisecond, 5 * time.Second,
		}))
	})

	It("is leaving by the list or by the server's own report", func() {
		var s tdhealth.Status
		s.SetListedLeaving(true)
		Expect(s.Usable()).To(BeFalse())
		s.SetListedLeaving(false)
		s.Due(0, time.Second)
		s.Probed(1*ms, true, true)
		Expect(s.Usable()).To(BeFalse())
		Expect(s.Leaving()).To(BeTrue())
	})
})
