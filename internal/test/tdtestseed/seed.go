// Package tdtestseed fixes the seed of property tests where runs must be
// reproducible.
//
// # Usage
//
// A test file imports it for its side effect:
//
//	import _ "tarragondeal/internal/test/tdtestseed"
//
// With TARRAGONDEAL_TEST_SEED set, property tests use that seed. Without it
// each run uses another one. The flag -rapid.seed takes precedence.
package tdtestseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // Registers the flag rapid.seed.
)

// variable is the environment variable of the seed.
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
