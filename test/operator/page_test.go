package operator_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var (
	codeBlockPattern = regexp.MustCompile("(?s)```sh\n(.*?)```")
	exitCodePattern  = regexp.MustCompile(`# exits with (\d+)\n$`)
	exportPattern    = regexp.MustCompile(`export (TARRAGONDEAL_.*)`)
)

// The commands of each page are run unchanged and in order, against a
// quickstart that keeps running.
var _ = Describe("the operators' pages", Ordered, func() {
	var env []string

	BeforeAll(func() {
		s, err := gexec.Start(exec.Command(binary, "quickstart", "-stay"), GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { s.Kill().Wait("10s") })
		Eventually(func() string { return string(s.Out.Contents()) }, "60s").Should(ContainSubstring("serve -name node4"))
		env = append(os.Environ(), "PATH="+filepath.Dir(binary)+":"+os.Getenv("PATH"))
		for _, line := range exportPattern.FindAllStringSubmatch(string(s.Out.Contents()), -1) {
			env = append(env, strings.Fields(line[1])...)
		}
	})

	pages, err := filepath.Glob("../../docs/operators/*.md")
	if err != nil {
		panic(err)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			panic(err)
		}
		blocks := codeBlockPattern.FindAllStringSubmatch(string(text), -1)
		if len(blocks) == 0 {
			continue
		}
		It("run as written: "+filepath.Base(page), func() {
			dir := GinkgoT().TempDir()
			for n, block := range blocks {
				want := 0
				if m := exitCodePattern.FindStringSubmatch(block[1]); m != nil {
					want, _ = strconv.Atoi(m[1])
				}
				cmd := exec.Command("bash", "-e", "-u", "-o", "pipefail", "-c", block[1])
				cmd.Dir, cmd.Env = dir, env
				out, _ := cmd.CombinedOutput()
				Expect(cmd.ProcessState.ExitCode()).To(Equal(want), fmt.Sprintf("block %d:\n%s\n%s", n+1, block[1], out))
			}
		})
	}
})
