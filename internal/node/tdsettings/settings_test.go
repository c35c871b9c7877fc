package tdsettings_test

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/node/tdsettings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings")
}

const goodFile = `name: node1
dataCentre: duluth
platform:
  url: http://10.0.0.9:2379
listen:
  callers: 10.0.0.5:8080 # For callers.
drain:
  wait: 12s
operator:
  token: 0123456789abcdef
`

func write(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func parse(args ...string) (tdsettings.Settings, error) {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	var s tdsettings.Settings
	s.Register(fs)
	if err := s.Parse(fs, args); err != nil {
		return s, err
	}
	return s, s.Check()
}

var _ = Describe("settings", func() {
	It("are read from flags, the environment and the file, in this order of precedence", func() {
		path := write("node.yaml", goodFile)
		GinkgoT().Setenv("TARRAGONDEAL_DRAIN_WAIT", "15s")
		GinkgoT().Setenv("TARRAGONDEAL_NAME", "node2")
		s, err := parse("-config", path, "-name", "node3")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Name).To(Equal("node3"))
		Expect(s.DrainWait).To(Equal(15 * time.Second))
		Expect(s.ListenCallers).To(Equal("10.0.0.5:8080"))
		Expect(s.ListenPeers).To(Equal("127.0.0.1:8081"))
	})

	files := []struct {
		name, text string
		want       []string
	}{
		{"unknown and wrong ones together", strings.NewReplacer("wait: 12s", "wait: soon\n  wiat: 3s", "callers: 10.0.0.5:8080 # For callers.", "callers: {a: b}").Replace(goodFile),
			[]string{"node.yaml:6: listen.callers.a: no such setting", "node.yaml:8: drain.wait: invalid value soon: ", "node.yaml:9: drain.wiat: no such setting"}},
		{"invalid values", strings.NewReplacer("10.0.0.5:8080", "depot:8080", "http://10.0.0.9:2379", "10.0.0.9", "0123456789abcdef", "short").Replace(goodFile),
			[]string{"node.yaml:4: platform.url: expected a URL", "node.yaml:6: listen.callers: expected an address and port", "node.yaml:10: operator.token: the token of operator is shorter"}},
		{"a list in place of a value", strings.Replace(goodFile, "node1", "[a, b]", 1), []string{"node.yaml:1: name: expected a single value"}},
		{"broken YAML", goodFile + "a: [", []string{"node.yaml:11:"}},
		{"missing ones", "log: {level: loud}", []string{"setting name: required", "setting dataCentre: required", "setting platform.url: required", "node.yaml:1: log.level:", "setting operator.tokenFile: required"}},
	}
	for _, tc := range files {
		It("report all errors at once, with file, line and path: "+tc.name, func() {
			_, err := parse("-config", write("node.yaml", tc.text))
			Expect(err).To(BeAssignableToTypeOf(&tdsettings.SettingsError{}))
			lines := strings.Split(err.Error(), "\n")
			Expect(lines).To(HaveLen(len(tc.want)), err.Error())
			for _, want := range tc.want {
				Expect(err.Error()).To(ContainSubstring(want))
			}
			Expect(err.Error()).NotTo(ContainSubstring("0123456789abcdef"))
		})
	}

	It("reject unknown variables in the environment", func() {
		path := write("node.yaml", goodFile)
		GinkgoT().Setenv("TARRAGONDEAL_LISTEN_CALLER", "10.0.0.5:8080")
		GinkgoT().Setenv("TARRAGONDEAL_TOKENFILE", "anna.token") // Read by the operators' commands.
		_, err := parse("-config", path)
		Expect(err).To(MatchError("setting TARRAGONDEAL_LISTEN_CALLER: no setting has this environment variable"))
	})

	It("read operators' tokens from files, with their names", func() {
		token := write("token", "token-of-all-operators\n")
		named := write("tokens.yaml", "bjorn: token-of-bjorn-1234\nanna: token-of-anna-1234\n")
		s, err := parse("-name", "n", "-dataCentre", "d", "-platform.url", "http://10.0.0.9:1", "-operator.tokenFile", token, "-operator.tokens", named)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Tokens()).To(Equal([]tdsettings.Token{
			{Name: "operator", Text: "token-of-all-operators"}, {Name: "anna", Text: "token-of-anna-1234"}, {Name: "bjorn", Text: "token-of-bjorn-1234"},
		}))
	})

	It("show no token of a file that is not a list of tokens", func() {
		named := write("tokens.yaml", "- secret-token-1234567\n")
		_, err := parse("-name", "n", "-dataCentre", "d", "-platform.url", "http://10.0.0.9:1", "-operator.tokens", named)
		Expect(err).To(MatchError(ContainSubstring("expected lines")))
		Expect(err.Error()).NotTo(ContainSubstring("secret-token"))
	})
})
