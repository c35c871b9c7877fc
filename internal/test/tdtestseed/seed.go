// Package tdtestseed fixes the seeds of property tests where the same verdict
// is wanted every time.
//
// # Usage
//
// A test file imports it for its effect:
//
//	import _ "tarragondeal/internal/test/tdtestseed"
//
// With TARRAGONDEAL_TEST_SEED set, property tests draw from that seed. Without
// it each run explores other cases. The flag -rapid.seed goes before both.
package tdtestseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // It registers the flag that is set here.
)

// variable names the seed.
const variable = "TARRAGONDEAL_TEST_SEED"

func init() {
	seed := os.Getenv(variable)
	if seed == "" {
		return
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("tdtestseed: " + variable + ": " + err.Error())
	}
}
