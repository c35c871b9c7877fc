package tdset_test

import (
	"fmt"

	"tarragondeal/internal/object/tdset"
)

func ExampleParse() {
	_, err := tdset.Parse("set.yaml", []byte(`dataCentres:
  - {name: duluth, region: lakes}
requestClasses:
  - {name: bench, tier: 0, deadline: 10s}
routes:
  - {name: narrate, class: rush, pools: [narrator]}
`))
	fmt.Println(err)
	// Output:
	// set.yaml:4: requestClasses[0].tier: tiers start at 1, not 0
	// set.yaml:6: routes[0].class: no request class is named "rush"
	// set.yaml:6: routes[0].pools[0]: no server pool is named "narrator"
	// set.yaml:6: routes[0].dataCentres: route "narrate" has no permitted data centre for any workspace that may use it
}

func ExampleDiff() {
	before := tdset.Read("before", []byte(`workspaces: [{name: auditors, weight: 1}, {name: old}]`))
	after := tdset.Read("after", []byte(`workspaces: [{name: auditors, weight: 2}, {name: benches}]`))
	for _, c := range tdset.Diff(before.Set, after.Set) {
		fmt.Println(c)
	}
	// Output:
	// ~ workspace auditors: weight 1 -> 2
	// + workspace benches
	// - workspace old
}
