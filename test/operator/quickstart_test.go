package operator_test

import (
	"net/http"
	"os/exec"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

var curlPattern = regexp.MustCompile(`curl -N (\S+) -H 'Authorization: (Bearer \S+)' \\\n\s+-d '([^']+)'`)

var _ = Describe("the quickstart", func() {
	It("shows every step and exits", func() {
		s := command("quickstart")
		Expect(s).To(gexec.Exit(exitOK))
		for _, want := range []string{"in force at all nodes", "noPermittedPlace, ran: notRun", "ran it once", "keyWithdrawn", " of 20, desk "} {
			Expect(string(s.Out.Contents())).To(ContainSubstring(want))
		}
	})

	It("keeps running with -stay, and prints a request that succeeds", func() {
		s, err := gexec.Start(exec.Command(binary, "quickstart", "-stay"), GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { s.Kill().Wait("10s") })
		Eventually(s.Out, "60s").Should(gbytes.Say("serve -name node4"))
		m := curlPattern.FindStringSubmatch(string(s.Out.Contents()))
		Expect(m).To(HaveLen(4))
		req, err := http.NewRequest(http.MethodPost, m[1], strings.NewReader(m[3]))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", m[2])
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		s.Interrupt()
		Eventually(s, "30s").Should(gexec.Exit(exitOK))
	})
})
