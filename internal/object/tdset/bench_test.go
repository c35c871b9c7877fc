package tdset_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

// setText returns the text of a set with the given number of workspaces that have
// one key each.
func setText(workspaces int) []byte {
	var b strings.Builder
	head, _, _ := strings.Cut(validText, "workspaces:\n")
	_, tail, _ := strings.Cut(validText, "routes:\n")
	routes, _, _ := strings.Cut(tail, "keys:\n")
	b.WriteString(head + "workspaces:\n  - {name: auditors, dataCentres: [duluth]}\n  - {name: benches, weight: 2}\n")
	for n := range workspaces {
		fmt.Fprintf(&b, "  - {name: workspace%d, dataCentres: [duluth, erie], limits: {concurrent: 40}}\n", n)
	}
	b.WriteString("routes:\n" + routes + "keys:\n")
	for n := range workspaces {
		digest := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf("%032d", n)))
		fmt.Fprintf(&b, "  - {name: key%d, workspace: workspace%d, salt: c2FsdHNhbHRzYWx0, digest: %s}\n", n, n, digest)
	}
	return []byte(b.String())
}

// BenchmarkRead reads and checks sets of several sizes.
func BenchmarkRead(b *testing.B) {
	for _, workspaces := range []int{10, 1650, 3300, 6600} {
		text := setText(workspaces)
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "B/text")
			for b.Loop() {
				if _, err := tdset.Parse("set", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkObject decodes a set from JSON and checks it.
func BenchmarkObject(b *testing.B) {
	set, err := tdset.Parse("set", setText(6600))
	if err != nil {
		b.Fatal(err)
	}
	text, err := json.Marshal(set)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ReportMetric(float64(len(text)), "B/text")
	for b.Loop() {
		var set tarragondeal.Set
		if err := json.Unmarshal(text, &set); err != nil {
			b.Fatal(err)
		}
		if len(tdset.Check(&set)) > 0 {
			b.Fatal("faults")
		}
	}
}

// BenchmarkCheck checks a decoded set, as each change of a key does.
func BenchmarkCheck(b *testing.B) {
	set, err := tdset.Parse("set", setText(6600))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		tdset.Check(set)
	}
}
