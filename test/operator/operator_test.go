// Package operator_test runs the operator commands against real nodes, and
// checks the operators' documentation.
package operator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/account/tdburn"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/test/tdtest"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator")
}

var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("tarragondeal/cmd/tarragondeal")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

// Exit codes, as docs/operators/command-line.md states them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitLagging  = 4
)

const setText = `dataCentres:
  - {name: duluth, region: lakes}
  - {name: erie, region: lakes}
serverPools:
  - {name: narrator, kind: model, model: narrator-7b, slots: 4}
requestClasses:
  - {name: bench, tier: 1, firstToken: 330ms, betweenTokens: 30ms, deadline: 10s}
workspaces:
  - {name: auditors, dataCentres: [duluth]}
  - {name: benches}
routes:
  - {name: narrate, class: bench, pools: [narrator]}
`

// command runs an operator command and waits for its exit.
func command(args ...string) *gexec.Session {
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "TARRAGONDEAL_TOKEN="+tdtest.Token)
	s, err := gexec.Start(cmd, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	return s.Wait("60s")
}

func file(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("commands without a node", func() {
	cases := []struct {
		name   string
		args   func() []string
		code   int
		output string
	}{
		{"check a valid set", func() []string { return []string{"config", "check", file("set.yaml", setText)} }, exitOK, "consistent: 2 data centres"},
		{"check a valid set strictly", func() []string { return []string{"config", "check", "-strict", file("set.yaml", setText)} }, exitFailed, "set.yaml:9: warning: workspaces"},
		{"check a set with an error", func() []string {
			return []string{"config", "check", file("set.yaml", strings.Replace(setText, "class: bench", "class: rush", 1))}
		}, exitFailed, `set.yaml:12: routes\[0\].class: no request class is named "rush"`},
		{"check without files", func() []string { return []string{"config", "check"} }, exitUsage, "name the files"},
		{"check a file that does not exist", func() []string { return []string{"config", "check", "/nowhere.yaml"} }, exitFailed, "no such file"},
		{"an unknown command", func() []string { return []string{"config", "aply"} }, exitUsage, `no command "aply"`},
		{"an unknown flag", func() []string { return []string{"status", "-nod", "x"} }, exitUsage, "-nod"},
		{"no command", func() []string { return nil }, exitUsage, "SUBCOMMANDS"},
		{"help", func() []string { return []string{"key", "issue", "-h"} }, exitOK, "EXAMPLE"},
		{"an unknown setting", func() []string {
			return []string{"serve", "-config", file("node.yaml", "name: node1\nlisten:\n  callers: 10.0.0.5\n  pears: x\n")}
		}, exitUsage, "node.yaml:4: listen.pears: no such setting"},
		{"an invalid setting", func() []string {
			return []string{"serve", "-config", file("node.yaml", "name: node1\ndataCentre: duluth\nlisten:\n  callers: 10.0.0.5\n")}
		}, exitUsage, "node.yaml:4: listen.callers: expected an address and port"},
		{"a node that is not running", func() []string { return []string{"status", "-node", tdtest.FreeAddr().String()} }, exitFailed, "refused"},
	}
	for _, tc := range cases {
		It(tc.name, func() {
			s := command(tc.args()...)
			Expect(s.ExitCode()).To(Equal(tc.code))
			Expect(string(s.Out.Contents()) + string(s.Err.Contents())).To(MatchRegexp(tc.output))
		})
	}
})

var _ = Describe("operators of three nodes", Ordered, func() {
	var (
		cluster *tdcluster.Cluster
		nodes   []*tdtest.Node
		specs   []tdtest.NodeSpec
		set     string // Path of the set's file.
		key     string
	)

	at := func(n int, args ...string) *gexec.Session {
		// Flags follow the command and subcommand.
		words := 1
		if args[0] == "config" || args[0] == "key" {
			words = 2
		}
		all := append([]string{}, args[:words]...)
		all = append(all, "-node", nodes[n].Operators.String())
		return command(append(all, args[words:]...)...)
	}

	BeforeAll(func() {
		engine := &tdengine.Options{Slots: 4, PerToken: time.Millisecond}
		var err error
		cluster, err = tdcluster.Start(tdcluster.Spec{Groups: []tdcluster.Group{
			{Pool: "narrator", DataCentre: "duluth", Count: 1, Engine: engine},
		}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(cluster.Close)
		var peers []netip.AddrPort
		for n := range 3 {
			specs = append(specs, tdtest.NodeSpec{
				Name: fmt.Sprintf("node%d", n+1), DataCentre: "duluth", PlatformURL: cluster.PlatformURL, Policy: "roundRobin", Peers: peers,
			})
			node := tdtest.StartNode(binary, specs[n])
			DeferCleanup(node.Kill)
			nodes = append(nodes, node)
			peers = append(peers, node.Peers)
		}
		for n := range nodes {
			Eventually(func() string { return string(at(n, "status").Out.Contents()) }, "30s", "100ms").
				Should(And(ContainSubstring("node1"), ContainSubstring("node2"), ContainSubstring("node3")))
		}
		set = file("set.yaml", setText)
	})

	It("applies a first set, in force at all nodes", func() {
		s := at(0, "config", "apply", "-note", "first", "-update", set)
		Expect(s).To(gexec.Exit(exitOK))
		Expect(s.Out).To(gbytes.Say(`\+ route narrate`))
		for n := range nodes {
			Expect(at(n, "status")).To(gbytes.Say("version 1 is in force at"))
		}
		text, err := os.ReadFile(set)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("# tarragondeal version 1\n" + setText))
	})

	It("issues a key that other nodes accept", func() {
		s := at(1, "key", "issue", "-name", "auditor", "-workspace", "auditors")
		Expect(s).To(gexec.Exit(exitOK))
		key = strings.TrimSpace(string(s.Out.Contents()))
		Expect(key).To(HavePrefix("td_auditor_"))
		Eventually(func() int { return post(nodes[2], key) }, "10s").Should(Equal(http.StatusOK))
		s = at(2, "config", "show")
		Expect(string(s.Out.Contents())).NotTo(ContainSubstring(strings.TrimPrefix(key, "td_auditor_")))
	})

	It("refuses a set made before the key was issued, and keeps the key", func() {
		s := at(0, "config", "apply", set)
		Expect(s).To(gexec.Exit(exitConflict))
		Expect(s.Err).To(gbytes.Say("made from version 1, and version 2 is in force; nothing was changed"))
		Expect(post(nodes[0], key)).To(Equal(http.StatusOK))
	})

	It("keeps the keys when the file has none", func() {
		s := at(0, "config", "apply", "-base", "2", "-update", file("set.yaml", strings.Replace(setText, "{name: benches}", "{name: benches, weight: 3}", 1)))
		Expect(s).To(gexec.Exit(exitOK))
		Expect(s.Out).To(gbytes.Say(`~ workspace benches: weight 0 -> 3`))
		Expect(at(1, "key", "list")).To(gbytes.Say(`auditor +auditors +in use`))
		Expect(post(nodes[0], key)).To(Equal(http.StatusOK))
	})

	It("reports that there is nothing to change", func() {
		shown := file("shown.yaml", string(at(0, "config", "show").Out.Contents()))
		Expect(at(1, "config", "diff", shown)).To(gbytes.Say("no difference"))
		s := at(1, "config", "apply", shown)
		Expect(s).To(gexec.Exit(exitOK))
		Expect(s.Out).To(gbytes.Say("version 3 stays in force"))
	})

	It("accepts one of several concurrent changes and reports a conflict for the others", func() {
		codes := make([]int, 3)
		var wg conc.WaitGroup
		for n := range codes {
			path := file("set.yaml", strings.Replace(setText, "{name: benches}", fmt.Sprintf("{name: benches, weight: %d}", n+10), 1))
			wg.Go(func() {
				defer GinkgoRecover()
				codes[n] = at(n, "config", "apply", "-base", "3", path).ExitCode()
			})
		}
		wg.Wait()
		Expect(codes).To(ConsistOf(exitOK, exitConflict, exitConflict))
	})

	It("keeps all keys that operators issue concurrently", func() {
		var wg conc.WaitGroup
		for n := range nodes {
			wg.Go(func() {
				defer GinkgoRecover()
				for k := range 2 {
					Expect(at(n, "key", "issue", "-name", fmt.Sprintf("racer%d%d", n, k), "-workspace", "benches")).To(gexec.Exit(exitOK))
				}
			})
		}
		wg.Wait()
		Expect(strings.Count(string(at(0, "key", "list", "-workspace", "benches").Out.Contents()), "racer")).To(Equal(6))
	})

	It("refuses a withdrawn key at every node", func() {
		s := at(0, "key", "withdraw", "-note", "lost", "auditor")
		Expect(s).To(gexec.Exit(exitOK))
		for _, n := range nodes {
			Expect(post(n, key)).To(Equal(http.StatusUnauthorized))
		}
		Expect(at(1, "key", "list")).To(gbytes.Say(`auditor +auditors +withdrawn`))
		Expect(at(1, "key", "withdraw", "nobody")).To(gexec.Exit(exitFailed))
	})

	It("returns a report merged over all nodes from each node", func() {
		s := at(0, "key", "issue", "-name", "reader", "-workspace", "auditors")
		Expect(s).To(gexec.Exit(exitOK))
		reader := strings.TrimSpace(string(s.Out.Contents()))
		before := requests(at(0, "report", "-format", "json"))
		const each = 4
		for _, n := range nodes {
			for range each {
				Expect(post(n, reader)).To(Equal(http.StatusOK))
			}
		}
		for n := range nodes {
			Eventually(func() int64 { return requests(at(n, "report", "-format", "json")) }, "10s").Should(Equal(before + int64(each*len(nodes))))
		}
		Expect(at(1, "report")).To(gbytes.Say(`bench \(tier 1\)`))
		Expect(string(at(1, "report", "-format", "html").Out.Contents())).To(ContainSubstring("<svg"))
		Expect(at(1, "report", "-format", "pdf")).To(gexec.Exit(exitUsage))
	})

	It("keeps the figures of a node that stops", func() {
		before := requests(at(0, "report", "-format", "json"))
		nodes[1].Session.Terminate()
		Eventually(nodes[1].Session, "30s").Should(gexec.Exit(0))
		Expect(requests(at(0, "report", "-format", "json"))).To(Equal(before))
		Expect(requests(at(2, "report", "-format", "json"))).To(Equal(before))
		nodes[1].Start(binary, specs[1])
		Eventually(func() string { return string(at(1, "status").Out.Contents()) }, "30s", "100ms").
			Should(And(ContainSubstring("node1"), ContainSubstring("node3")))
	})

	It("refuses a wrong token", func() {
		s := at(0, "status", "-token", "not-the-operators-token")
		Expect(s).To(gexec.Exit(exitFailed))
		Expect(s.Err).To(gbytes.Say("token is missing or wrong"))
	})

	It("names the node that lags", func() {
		shown := strings.Replace(string(at(0, "config", "show").Out.Contents()), "firstToken: 330ms", "firstToken: 400ms", 1)
		path := file("set.yaml", shown)
		nodes[2].Pause()
		DeferCleanup(nodes[2].Resume)
		s := at(0, "config", "apply", "-wait", "1s", path)
		Expect(s).To(gexec.Exit(exitLagging))
		Expect(s.Err).To(gbytes.Say("not yet in force at: node3"))
		var r tdburn.Report
		Expect(json.Unmarshal(at(0, "report", "-format", "json").Out.Contents(), &r)).To(Succeed())
		Expect(r.Nodes).To(Equal([]tarragondeal.NodeID{"node1", "node2"}))
	})
})

// requests returns how many requests of the class bench a report counts.
func requests(s *gexec.Session) int64 {
	Expect(s).To(gexec.Exit(exitOK))
	var r tdburn.Report
	Expect(json.Unmarshal(s.Out.Contents(), &r)).To(Succeed())
	for _, c := range r.Classes {
		if c.Class == "bench" {
			return c.Windows[len(c.Windows)-1].Requests
		}
	}
	return 0
}

func post(n *tdtest.Node, key string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+"/v1/chat/completions", strings.NewReader(`{"model":"narrate","messages":[]}`))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	return res.StatusCode
}
