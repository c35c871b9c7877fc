// Package tdscenario parses and generates the scenarios of measured runs: the
// length, the load and the injected faults.
//
// # Usage
//
//	s, err := tdscenario.Parse(file, text)
//	for _, f := range s.Faults {
//		// f.At, f.For, f.Kind
//	}
package tdscenario

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"tarragondeal"
)

// Kind is the type of a fault.
type Kind string

// The kinds of faults.
const (
	Burst        Kind = "burst"        // The demand of Route, or of all routes, is multiplied by Factor.
	Straggle     Kind = "straggle"     // Count engines run slower by Factor.
	CrashEngines Kind = "crashEngines" // Count engines crash and restart.
	Poison       Kind = "poison"       // A caller repeats a request that crashes engines.
	Reclaim      Kind = "reclaim"      // The platform reclaims the reclaimable servers of a data centre, with Notice.
	KillNode     Kind = "killNode"     // An entry VM is killed and restarted after For.
	PauseNode    Kind = "pauseNode"    // An entry VM's process is suspended for For.
	StopNode     Kind = "stopNode"     // An entry VM is shut down gracefully and restarted after For.
	CutNode      Kind = "cutNode"      // An entry VM can be reached by its callers, not by its peers.
	StoreAway    Kind = "storeAway"    // The key-value service refuses every call.
	StoreSlow    Kind = "storeSlow"    // Each call of the key-value service takes 300 ms longer.
	LoseAnswers  Kind = "loseAnswers"  // The answer to every third write is lost.
	CutAnswers   Kind = "cutAnswers"   // Each service runs Count calls and breaks the connection before it answers.
	Withdraw     Kind = "withdraw"     // A workspace's key is withdrawn.
	Race         Kind = "race"         // Operators publish at all nodes at once.
)

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return []Kind{
		Burst, Straggle, CrashEngines, Poison, Reclaim, KillNode, PauseNode, StopNode, CutNode,
		StoreAway, StoreSlow, LoseAnswers, CutAnswers, Withdraw, Race,
	}
}

// Fault is one fault of a scenario. The kind determines which fields apply.
type Fault struct {
	Kind   Kind                  `yaml:"kind"`
	At     tarragondeal.Duration `yaml:"at"`
	For    tarragondeal.Duration `yaml:"for"`
	Factor float64               `yaml:"factor"`
	Count  int                   `yaml:"count"`
	Route  string                `yaml:"route"`
	Notice tarragondeal.Duration `yaml:"notice"`
}

// Scenario describes one run.
type Scenario struct {
	Name       string                `yaml:"name"`
	Deployment string                `yaml:"deployment"`
	Length     tarragondeal.Duration `yaml:"length"`
	// Load is the request rate as a fraction of the deployment's capacity.
	Load   float64 `yaml:"load"`
	Faults []Fault `yaml:"faults"`
}

// InvalidError reports a scenario that can't be run.
type InvalidError struct {
	File string
	Text string
}

func (e *InvalidError) Error() string { return e.File + ": " + e.Text }

// Parse parses a scenario from YAML. Its errors are of type *InvalidError; file
// is used only in their messages.
func Parse(file string, text []byte) (*Scenario, error) {
	var s Scenario
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := dec.Decode(&s); err != nil {
		return nil, &InvalidError{File: file, Text: err.Error()}
	}
	if s.Length <= 0 || s.Load <= 0 {
		return nil, &InvalidError{File: file, Text: "length and load must be positive"}
	}
	for n, f := range s.Faults {
		if !slices.Contains(Kinds(), f.Kind) {
			return nil, &InvalidError{File: file, Text: fmt.Sprintf("faults[%d].kind: %q is not known", n, f.Kind)}
		}
		if f.At < 0 || f.At > s.Length {
			return nil, &InvalidError{File: file, Text: fmt.Sprintf("faults[%d].at: outside the run", n)}
		}
	}
	return &s, nil
}

// Random returns a scenario of mixed faults. The same seed gives the same
// scenario.
func Random(seed uint64, deployment string, length time.Duration) *Scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	s := &Scenario{
		Name: fmt.Sprintf("soak%d", seed), Deployment: deployment, Length: tarragondeal.Duration(length),
		Load: 0.4 + 0.5*r.Float64(),
	}
	kinds := Kinds()
	for range 3 + r.IntN(3) {
		at := time.Duration((0.1 + 0.6*r.Float64()) * float64(length))
		s.Faults = append(s.Faults, Fault{
			Kind: kinds[r.IntN(len(kinds))], At: tarragondeal.Duration(at),
			For:    tarragondeal.Duration(time.Duration((0.1 + 0.2*r.Float64()) * float64(length))),
			Factor: 2 + 2*r.Float64(), Count: 1 + r.IntN(3), Notice: tarragondeal.Duration(2 * time.Second),
		})
	}
	return s
}
