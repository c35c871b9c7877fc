package tdset_test

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestSet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Set")
}

// validText is a set without faults or warnings. Its lines are numbered from 1.
const validText = `dataCentres:
  - {name: duluth, region: lakes}
  - {name: erie, region: lakes}
serverPools:
  - {name: narrator, kind: model, model: narrator-7b, slots: 4}
  - {name: records, kind: service, slots: 4, min: 1, max: 2}
requestClasses:
  - {name: bench, tier: 1, firstToken: 330ms, betweenTokens: 30ms, deadline: 10s, objective: 0.95, minShare: 0.5}
  - {name: entry, tier: 2, completion: 1s, deadline: 10s, minShare: 0.5}
workspaces:
  - {name: auditors, dataCentres: [duluth]}
  - {name: benches, weight: 2}
routes:
  - {name: narrate, class: bench, pools: [narrator]}
  - {name: abroad, class: bench, pools: [narrator], dataCentres: [erie], workspaces: [benches]}
  - {name: certificate, class: entry, pools: [records], nonIdempotent: true}
  - {name: status, class: entry, pools: [records], open: true, billedTo: benches, limits: {requestsPerSecond: 5}}
keys:
  - {name: auditor, workspace: auditors, salt: c2FsdHNhbHRzYWx0, digest: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}
`

// edit returns validText with replacements, given as pairs of old and new text.
// It fails if an old text does not occur.
func edit(pairs ...string) string {
	out := validText
	for n := 0; n < len(pairs); n += 2 {
		Expect(out).To(ContainSubstring(pairs[n]))
		out = strings.Replace(out, pairs[n], pairs[n+1], 1)
	}
	return out
}

type faultCase struct {
	name  string
	edits []string
	want  []string // Prefixes of "line: path: text", one for each fault.
}

var faultCases = []faultCase{
	{"unknown fields at every depth", []string{"weight: 2", "wieght: 2", "requestsPerSecond: 5", "perSecond: 5", "keys:", "kees:"}, []string{
		"12: workspaces[1].wieght: no such field", "17: routes[3].limits.perSecond: no such field", "18: kees: no such field",
	}},
	{"wrong types", []string{"slots: 4}", "slots: many}", "tier: 1", "tier: 1.5", "weight: 2", "weight: [2]", "330ms", "fast", "open: true", "open: maybe", "pools: [records], non", "pools: records, non"}, []string{
		"5: serverPools[0].slots: expected a whole number, found the text \"many\"", "8: requestClasses[0].tier: expected a whole number, found the number 1.5",
		"8: requestClasses[0].firstToken: expected a duration", "12: workspaces[1].weight: expected a number, found a list",
		"16: routes[2].pools: expected a list", "17: routes[3].open: expected true or false",
		"5: serverPools[0].slots: a pool's servers need", "8: requestClasses[0].tier: tiers start at 1",
		"16: routes[2].pools: a route needs a server pool", "17: routes[3].billedTo: only an open route",
	}},
	{"unknown names in all references", []string{"[duluth]", "[toledo]", "class: bench, pools: [narrator]}", "class: rush, pools: [narator]}", "[erie], workspaces: [benches]", "[eerie], workspaces: [bench]", "billedTo: benches", "billedTo: nobody", "workspace: auditors", "workspace: audit"}, []string{
		`11: workspaces[0].dataCentres[0]: no data centre is named "toledo"`, `14: routes[0].class: no request class is named "rush"`,
		`14: routes[0].pools[0]: no server pool is named "narator"`, `15: routes[1].dataCentres[0]: no data centre is named "eerie"`,
		`15: routes[1].workspaces[0]: no workspace is named "bench"`, `17: routes[3].billedTo: an open route needs`, `19: keys[0].workspace: no workspace is named "audit"`,
	}},
	{"duplicate, missing and malformed names", []string{"name: erie", "name: duluth", "dataCentres: [erie]", "dataCentres: [duluth]", "name: records, kind", "name: rec_ords, kind", "{name: benches, w", "{w"}, []string{
		`3: dataCentres[1].name: dataCentres[0] has the name "duluth" already`, `6: serverPools[1].name: "rec_ords" is no name`, "12: workspaces[1].name: a name is missing",
		`15: routes[1].workspaces[0]: no workspace is named "benches"`, `16: routes[2].pools[0]: no server pool is named "records"`,
		`17: routes[3].pools[0]: no server pool`, `17: routes[3].billedTo: an open route needs`,
	}},
	{"a duplicate name in a list", []string{"[duluth]", "[duluth, duluth]"}, []string{`11: workspaces[0].dataCentres[1]: "duluth" is named twice`}},
	{"a duplicate field", []string{"tier: 2,", "tier: 2, tier: 3,"}, []string{"9: requestClasses[1].tier: the field is given twice"}},
	{"invalid pools", []string{"model: narrator-7b, slots: 4", "slots: 0", "kind: service, slots: 4, min: 1, max: 2", "kind: servant, slots: 4, min: 3, max: 2, costPerHour: -1"}, []string{
		"5: serverPools[0].model: a model pool needs", "5: serverPools[0].slots: a pool's servers need at least one slot",
		`6: serverPools[1].kind: expected model or service, found "servant"`, "6: serverPools[1].costPerHour: expected zero or more", "6: serverPools[1].min: min 3 is above max 2",
	}},
	{"invalid classes", []string{"tier: 1, firstToken: 330ms", "tier: 0, firstToken: 11s", "objective: 0.95, minShare: 0.5", "objective: 1, minShare: 0.6", "completion: 1s, deadline: 10s", "completion: -1s"}, []string{
		"8: requestClasses[0].tier: tiers start at 1, not 0", "8: requestClasses[0].firstToken: the target lies after the deadline", "8: requestClasses[0].objective: expected a share between 0 and 1",
		"9: requestClasses[1].deadline: a class needs a deadline", "9: requestClasses[1].completion: expected zero or more", "9: requestClasses[1].minShare: the shares add up to 1.1",
	}},
	{"negative weights, limits and shares", []string{"weight: 2", "weight: -2, limits: {concurrent: -1, tokensPerSecond: -.5}", "minShare: 0.5}\n  - {name: entry", "minShare: -0.5}\n  - {name: entry"}, []string{
		"8: requestClasses[0].minShare: expected zero or more", "12: workspaces[1].weight: expected zero", "12: workspaces[1].limits.tokensPerSecond", "12: workspaces[1].limits.concurrent",
	}},
	{"a route with no permitted data centre", []string{"[erie], workspaces: [benches]", "[erie], workspaces: [auditors]"}, []string{`15: routes[1].dataCentres: route "abroad" has no permitted data centre`}},
	{"an open route billed to a workspace that is not permitted in its data centres", []string{"billedTo: benches", "billedTo: auditors, dataCentres: [erie]"}, []string{`17: routes[3].dataCentres: route "status" has no permitted`}},
	{"a non-idempotent route with a model pool", []string{"pools: [records], nonIdempotent", "pools: [records, narrator], nonIdempotent"}, []string{
		"16: routes[2].pools[1]: pool \"narrator\" is of kind model", "16: routes[2].pools[1]: a non-idempotent route needs service pools",
	}},
	{"duplicate and malformed keys", []string{"digest: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}\n", "digest: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}\n" +
		"  - {name: second, workspace: auditors, salt: c2FsdHNhbHRzYWx0, digest: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=}\n  - {name: third, workspace: auditors, salt: '?', digest: td_third_secret}\n"}, []string{
		"20: keys[1].digest: keys[0] is the same key", "21: keys[2].salt: expected base64", "21: keys[2].digest: expected base64 of 32 bytes",
	}},
	{"malformed YAML", []string{"[duluth]", "[duluth"}, []string{"11: : "}},
	{"an anchor", []string{"[duluth]", "&a [duluth]"}, []string{"11: : anchors and aliases are not allowed"}},
	{"a second document", []string{"keys:", "---\nkeys:"}, []string{"19: : a second document"}},
}

var _ = Describe("the check", func() {
	It("reports nothing for a valid set", func() {
		d := tdset.Read("set.yaml", []byte(validText))
		Expect(d.Faults).To(BeEmpty())
		Expect(d.Warnings).To(BeEmpty())
		Expect(d.Err()).NotTo(HaveOccurred())
		Expect(d.Set.Routes).To(HaveLen(4))
	})

	for _, tc := range faultCases {
		It("reports all faults at once: "+tc.name, func() {
			d := tdset.Read("set.yaml", []byte(edit(tc.edits...)))
			found := make([]string, 0, len(d.Faults))
			for _, f := range d.Faults {
				found = append(found, fmt.Sprintf("%d: %s: %s", f.Line, f.Path, f.Text))
			}
			for _, want := range tc.want {
				Expect(found).To(ContainElement(HavePrefix(want)))
			}
			for _, f := range found {
				Expect(tc.want).To(ContainElement(WithTransform(func(w string) bool { return strings.HasPrefix(f, w) }, BeTrue())), f)
				Expect(f).NotTo(ContainSubstring("secret"))
			}
			var err *tdset.FaultsError
			Expect(errors.As(d.Err(), &err)).To(BeTrue())
			Expect(err.Error()).To(HavePrefix("set.yaml:"))
		})
	}

	It("warns about unused objects and open routes without limits", func() {
		d := tdset.Read("set.yaml", []byte(edit("routes:", "  - {name: idle, dataCentres: [erie]}\nroutes:",
			"narrate, class: bench, pools: [narrator]", "narrate, class: bench, pools: [narrator], dataCentres: [duluth]",
			"{name: certificate,", "{name: certificate, workspaces: [auditors],", "[erie], workspaces: [benches]", "[duluth]",
			", limits: {requestsPerSecond: 5}", "", "minShare: 0.5}\nwork", "minShare: 0.5}\n  - {name: rare, tier: 3, deadline: 1m}\nwork")))
		Expect(d.Faults).To(BeEmpty())
		Expect(fmt.Sprint(d.Warnings)).To(And(
			ContainSubstring(`workspace "idle" has no route with a permitted data centre`), ContainSubstring(`no route uses request class "rare"`),
			ContainSubstring(`workspace "idle" has neither a key nor an open route`), ContainSubstring("an open route without limits")))
	})

	excessive := []struct{ name, text string }{
		{"nested lists in one line", strings.Repeat("- ", 1<<20)},
		{"flow lists", strings.Repeat("[", 1<<20)},
		{"flow objects", strings.Repeat("{a: ", 1<<18)},
		{"explicit keys", strings.Repeat("? ", 1<<20)},
		{"indentation", func() string {
			var b strings.Builder
			for n := range 1500 {
				b.WriteString(strings.Repeat(" ", n) + "a:\n")
			}
			return b.String()
		}()},
		{"too large", strings.Repeat("# a comment\n", tdset.MaxTextBytes/12+1)},
	}
	for _, tc := range excessive {
		It("refuses excessive input: "+tc.name, func() {
			d := tdset.Read("set.yaml", []byte(tc.text))
			Expect(d.Faults).To(HaveLen(1))
			Expect(d.Faults[0].Text).To(Or(ContainSubstring("deep"), ContainSubstring("above the limit")))
		})
	}

	It("parses a set of more than a megabyte", func() {
		var b strings.Builder
		b.WriteString(validText)
		for n := range 10000 {
			digest := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("%032d", n)))
			fmt.Fprintf(&b, "  - {name: key%d, workspace: auditors, salt: c2FsdHNhbHRzYWx0, digest: %s}\n", n, digest)
		}
		Expect(b.Len()).To(BeNumerically(">", 1<<20))
		set, err := tdset.Parse("set.yaml", []byte(b.String()))
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Keys).To(HaveLen(10001))
	})

	It("parses what it formats", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			set := drawSet(t)
			text, err := tdset.Format(set)
			Expect(err).NotTo(HaveOccurred())
			d := tdset.Read("set", text)
			Expect(tdset.Diff(set, d.Set)).To(BeEmpty(), string(text))
			Expect(tdset.Diff(d.Set, set)).To(BeEmpty())
		})
	})
})

// drawSet draws a set that can be formatted but is not necessarily consistent.
func drawSet(t *rapid.T) *tarragondeal.Set {
	name := rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9.:# '"-]{0,12}[a-z]`)
	names := rapid.SliceOfNDistinct(name, 0, 4, rapid.ID)
	millis := rapid.Map(rapid.Int64Range(0, 1e6), func(n int64) tarragondeal.Duration { return tarragondeal.Duration(n * 1e6) })
	share := rapid.Float64Range(0, 1)
	count := rapid.IntRange(0, 1000)
	set := &tarragondeal.Set{}
	for _, n := range names.Draw(t, "pools") {
		set.ServerPools = append(set.ServerPools, tarragondeal.ServerPool{Name: n, Kind: tarragondeal.PoolModel, Model: name.Draw(t, "model"), Slots: count.Draw(t, "slots"), CostPerHour: share.Draw(t, "cost"), Reclaimable: rapid.Bool().Draw(t, "reclaimable")})
	}
	for _, n := range names.Draw(t, "classes") {
		set.RequestClasses = append(set.RequestClasses, tarragondeal.RequestClass{Name: n, Tier: count.Draw(t, "tier"), FirstToken: millis.Draw(t, "first"), Deadline: millis.Draw(t, "deadline"), MinShare: share.Draw(t, "share"), Objective: share.Draw(t, "objective")})
	}
	for _, n := range names.Draw(t, "workspaces") {
		set.Workspaces = append(set.Workspaces, tarragondeal.Workspace{Name: n, DataCentres: names.Draw(t, "places"), Weight: share.Draw(t, "weight"), Limits: tarragondeal.Limits{Concurrent: count.Draw(t, "concurrent")}})
	}
	for _, n := range names.Draw(t, "routes") {
		set.Routes = append(set.Routes, tarragondeal.Route{Name: n, Class: name.Draw(t, "class"), Pools: names.Draw(t, "pools of"), Open: rapid.Bool().Draw(t, "open"), BilledTo: name.Draw(t, "billed")})
	}
	return set
}

var _ = Describe("the difference", func() {
	It("names objects and fields and hides digests", func() {
		from, err := tdset.Parse("a", []byte(validText))
		Expect(err).NotTo(HaveOccurred())
		to, err := tdset.Parse("b", []byte(edit("weight: 2", "weight: 3, limits: {concurrent: 7}", "firstToken: 330ms", "firstToken: 500ms",
			"{name: abroad,", "{name: away,", "AAAAAA=", "AAAAAB=", "min: 1, ", "")))
		Expect(err).NotTo(HaveOccurred())
		lines := make([]string, 0, 8)
		for _, c := range tdset.Diff(from, to) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal([]string{
			"~ server pool records: min 1 -> 0",
			"~ request class bench: firstToken 330ms -> 500ms",
			"~ workspace benches: weight 2 -> 3, limits.concurrent 0 -> 7",
			"+ route away",
			"- route abroad",
			"~ key auditor: digest ... -> ...",
		}))
	})
})

// FuzzParse checks that a set without faults is the same after it was formatted
// and parsed again.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{validText, "", "a: &a [*a]", "- - - x", "{a: {b: [1, 2", "routes:\n- \n", "keys: ~", "? a\n: b", "\x00", "a: !!binary x", "routes: [{name: 1e400}]", "%YAML 1.2\n---\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := tdset.Read("set", text)
		if d.Err() != nil {
			return
		}
		out, err := tdset.Format(d.Set)
		if err != nil {
			t.Fatal(err)
		}
		again, err := tdset.Parse("set", out)
		if err != nil {
			t.Fatalf("formatted set has faults: %v\n%s", err, out)
		}
		if changes := tdset.Diff(d.Set, again); len(changes) > 0 {
			t.Fatalf("formatted set differs: %v", changes)
		}
	})
}
