package tdoperator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/object/tdset"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator API")
}

// members is the member list of a fleet with one node.
type members struct{}

func (members) Self() tarragondeal.Member {
	return tarragondeal.Member{Node: "node1", DataCentre: "duluth", Config: 1}
}
func (m members) Members() []tarragondeal.Member { return []tarragondeal.Member{m.Self()} }
func (members) Changed() <-chan struct{}         { return nil }

const setText = `dataCentres: [{name: duluth, region: lakes}]
serverPools: [{name: narrator, kind: model, model: narrator-7b, slots: 4}]
requestClasses: [{name: bench, tier: 1, firstToken: 330ms, deadline: 10s}]
workspaces: [{name: auditors}, {name: benches}]
routes: [{name: narrate, class: bench, pools: [narrator]}]
`

const (
	anna  = "anna-0123456789abcdef"
	bjorn = "bjorn-0123456789abcdef"
)

var _ = Describe("the operator API", func() {
	var (
		ctx    context.Context
		pub    *publisher
		server *httptest.Server
		client *tdoperator.Client
		logged *gbytes.Buffer
	)

	BeforeEach(func() {
		ctx, pub, logged = context.Background(), newPublisher(), gbytes.NewBuffer()
		api := tdoperator.New(tdoperator.Deps{
			Config: pub, Members: members{}, Clock: tdclock.New(), Metrics: http.NotFoundHandler(),
			Log: zerolog.New(logged), Tokens: []tdoperator.Token{{Name: "anna", Text: anna}, {Name: "bjorn", Text: bjorn}, {Name: "nobody"}},
			Servers: func() []tarragondeal.Server {
				return []tarragondeal.Server{{Pool: "narrator", DataCentre: "duluth"}, {Pool: "narrator", DataCentre: "duluth", State: tarragondeal.VMLeaving}}
			},
			Duties: func(context.Context) ([]tdoperator.Duty, error) { return nil, errors.New("store unavailable") },
		})
		server = httptest.NewServer(api.Handler())
		DeferCleanup(server.Close)
		client = tdoperator.NewClient(strings.TrimPrefix(server.URL, "http://"), anna)
	})

	publish := func() {
		_, err := client.Publish(ctx, tdoperator.Published{Text: setText, Note: "first"})
		Expect(err).NotTo(HaveOccurred())
	}
	codeOf := func(err error) tdoperator.Code {
		var e *tdoperator.Error
		Expect(errors.As(err, &e)).To(BeTrue(), fmt.Sprint(err))
		return e.Code
	}
	newKey := func(name, workspace string) tdoperator.NewKey {
		_, key, err := tdkey.Issue(name, workspace)
		Expect(err).NotTo(HaveOccurred())
		return tdoperator.NewKey{Key: key}
	}

	for _, token := range []string{"", "wrong", anna + "x", anna[:len(anna)-1], "anna"} {
		It(fmt.Sprintf("rejects the token %q and does not disclose the valid one", token), func() {
			_, err := tdoperator.NewClient(strings.TrimPrefix(server.URL, "http://"), token).Set(ctx)
			Expect(codeOf(err)).To(Equal(tdoperator.CodeUnauthorised))
			Expect(err.Error() + string(logged.Contents())).NotTo(ContainSubstring(anna))
		})
	}

	It("publishes a set under the operator's name and returns its warnings", func() {
		res, err := client.Publish(ctx, tdoperator.Published{Text: setText, Note: "first"})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Version).To(BeEquivalentTo(1))
		Expect(res.Warnings).To(HaveLen(2)) // Neither workspace has a key.
		list, err := client.History(ctx, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(1))
		Expect(list[0].By).To(Equal("anna"))
		Expect(list[0].Note).To(Equal("first"))
		Expect(list[0].At.IsZero()).To(BeFalse())
	})

	It("checks and publishes a set given as an object", func() {
		set, err := tdset.Parse("set", []byte(setText))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Publish(ctx, tdoperator.Published{Set: set})
		Expect(err).NotTo(HaveOccurred())
		set.Routes[0].Class = "rush"
		_, err = client.Publish(ctx, tdoperator.Published{Version: 1, Set: set})
		Expect(err).To(MatchError(ContainSubstring(`routes[0].class: no request class is named "rush"`)))
	})

	It("refuses a set based on an older version and returns the version in force", func() {
		publish()
		_, err := client.Publish(ctx, tdoperator.Published{Text: setText})
		var e *tdoperator.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Code).To(Equal(tdoperator.CodeConflict))
		Expect(e.Status).To(Equal(http.StatusConflict))
		Expect(e.Version).To(BeEquivalentTo(1))
	})

	It("refuses an inconsistent set with all its faults", func() {
		_, err := client.Publish(ctx, tdoperator.Published{Text: strings.NewReplacer("class: bench", "class: rush", "[narrator]}]", "[nobody]}]").Replace(setText)})
		var e *tdoperator.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Code).To(Equal(tdoperator.CodeFaults))
		Expect(e.Faults).To(HaveLen(2))
		Expect(e.Faults[0].Line).To(Equal(5))
		Expect(pub.View()).To(BeNil())
	})

	It("names the nodes that lag", func() {
		pub.lagging = []tarragondeal.NodeID{"node7"}
		res, err := client.Publish(ctx, tdoperator.Published{Text: setText})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Lagging).To(ConsistOf(tarragondeal.NodeID("node7")))
	})

	It("reports that nothing was changed if the store is unavailable", func() {
		pub.unavailable = true
		_, err := client.Publish(ctx, tdoperator.Published{Text: setText})
		Expect(codeOf(err)).To(Equal(tdoperator.CodeStoreUnavailable))
	})

	It("reports an unknown outcome if the answer of the store was lost", func() {
		pub.loseAnswers = 1
		_, err := client.Publish(ctx, tdoperator.Published{Text: setText})
		Expect(codeOf(err)).To(Equal(tdoperator.CodeUnsettled))
	})

	It("keeps all keys that operators issue concurrently", func() {
		publish()
		const each = 5
		var wg conc.WaitGroup
		for _, token := range []string{anna, bjorn} {
			c := tdoperator.NewClient(strings.TrimPrefix(server.URL, "http://"), token)
			wg.Go(func() {
				defer GinkgoRecover()
				for n := range each {
					_, err := c.Issue(ctx, newKey(fmt.Sprintf("%s%d", token[:4], n), "auditors"))
					Expect(err).NotTo(HaveOccurred())
				}
			})
		}
		wg.Wait()
		keys, err := client.Keys(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys.Keys).To(HaveLen(2 * each))
		Expect(keys.Version).To(BeEquivalentTo(1 + 2*each))
	})

	It("issues a key only once if the answer of the store is lost", func() {
		publish()
		pub.loseAnswers = 1
		res, err := client.Issue(ctx, newKey("depot", "auditors"))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Changed).To(BeTrue())
		Expect(res.Version).To(BeEquivalentTo(2))
		Expect(pub.View().Set.Keys).To(HaveLen(1))
	})

	It("refuses invalid keys and names that are taken", func() {
		publish()
		_, err := client.Issue(ctx, newKey("depot", "nobody"))
		Expect(codeOf(err)).To(Equal(tdoperator.CodeFaults))
		_, err = client.Issue(ctx, newKey("de_pot", "auditors"))
		Expect(codeOf(err)).To(Equal(tdoperator.CodeFaults))
		_, err = client.Issue(ctx, newKey("depot", "auditors"))
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Issue(ctx, newKey("depot", "benches"))
		Expect(codeOf(err)).To(Equal(tdoperator.CodeNameTaken))
	})

	It("withdraws a key once and does not disclose its digest", func() {
		publish()
		key := newKey("depot", "auditors")
		_, err := client.Issue(ctx, key)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Withdraw(ctx, "nokey", "", 0)
		Expect(codeOf(err)).To(Equal(tdoperator.CodeNotFound))
		res, err := client.Withdraw(ctx, "depot", "lost", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Changed).To(BeTrue())
		res, err = client.Withdraw(ctx, "depot", "lost again", time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Changed).To(BeFalse())
		Expect(res.Version).To(BeEquivalentTo(3))
		keys, err := client.Keys(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(keys.Keys).To(ConsistOf(tdoperator.KeyInfo{Name: "depot", Workspace: "auditors", Withdrawn: true}))
		Expect(pub.history[0].Note).To(Equal("lost"))
	})

	It("refuses a set that reactivates a withdrawn key", func() {
		publish()
		_, err := client.Issue(ctx, newKey("depot", "auditors"))
		Expect(err).NotTo(HaveOccurred())
		before, err := client.Set(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Withdraw(ctx, "depot", "", 0)
		Expect(err).NotTo(HaveOccurred())
		text, err := tdset.Format(before.Set)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Publish(ctx, tdoperator.Published{Version: 3, Text: string(text)})
		Expect(codeOf(err)).To(Equal(tdoperator.CodeFaults))
		Expect(err).To(MatchError(ContainSubstring(`keys[0].withdrawn: key "depot" has been withdrawn`)))
		Expect(pub.View().Version).To(BeEquivalentTo(3))
	})

	It("returns nodes and servers even if the duties can't be read", func() {
		s, err := client.Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Nodes).To(HaveLen(1))
		Expect(s.Nodes[0].State).To(Equal("alive"))
		Expect(s.Servers).To(ConsistOf(tdoperator.ServerGroup{Pool: "narrator", DataCentre: "duluth", Live: 1, Leaving: 1}))
		Expect(s.DutiesError).To(Equal("store unavailable"))
	})

	bad := []struct{ name, method, path, body string }{
		{"truncated JSON", "PUT", "/operator/set", `{"version": 1, "te`},
		{"a wrong type", "PUT", "/operator/set", `{"version": "one"}`},
		{"an unknown field", "PUT", "/operator/set", `{"version": 0, "set": {"routes": [{"title": "x"}]}}`},
		{"a set given both as object and as text", "PUT", "/operator/set", `{"version": 0, "set": {}, "text": "keys: []"}`},
		{"data after the JSON value", "PUT", "/operator/set", `{"version": 0} {}`},
		{"a long note", "PUT", "/operator/set", fmt.Sprintf(`{"note": %q}`, strings.Repeat("n", 501))},
		{"a version that is not a number", "GET", "/operator/set?version=x", ""},
		{"a limit out of bounds", "GET", "/operator/history?limit=0", ""},
		{"a body that is not an object", "POST", "/operator/keys", `[]`},
	}
	for _, tc := range bad {
		It("responds with a JSON error to "+tc.name, func() {
			req, err := http.NewRequest(tc.method, server.URL+tc.path, strings.NewReader(tc.body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+anna)
			res, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			Expect(res.StatusCode).To(Equal(http.StatusBadRequest))
			body, err := io.ReadAll(res.Body)
			Expect(err).NotTo(HaveOccurred())
			var out struct{ Error tdoperator.Error }
			Expect(json.Unmarshal(body, &out)).To(Succeed())
			Expect(out.Error.Code).To(Equal(tdoperator.CodeBadRequest))
		})
	}
})
