package tdscenario_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/measure/tdscenario"
)

func TestScenario(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Scenario")
}

var invalidScenarios = []struct{ title, text, wantErr string }{
	{"an unknown fault", "{length: 10s, load: 1, faults: [{kind: flood, at: 1s}]}", "flood"},
	{"a fault after the end", "{length: 10s, load: 1, faults: [{kind: burst, at: 11s}]}", "outside the run"},
	{"no load", "{length: 10s}", "must be positive"},
	{"an unknown field", "{length: 10s, load: 1, speed: 3}", "speed"},
}

var _ = Describe("scenarios", func() {
	for _, s := range invalidScenarios {
		It("are rejected for "+s.title, func() {
			_, err := tdscenario.Parse("file", []byte(s.text))
			Expect(err).To(BeAssignableToTypeOf(&tdscenario.InvalidError{}))
			Expect(err).To(MatchError(ContainSubstring(s.wantErr)))
		})
	}

	It("are determined by their seed", func() {
		a := tdscenario.Random(7, "lakeshore", time.Minute)
		Expect(tdscenario.Random(7, "lakeshore", time.Minute)).To(Equal(a))
		Expect(tdscenario.Random(8, "lakeshore", time.Minute)).NotTo(Equal(a))
	})
})
