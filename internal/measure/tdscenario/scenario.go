// Package tdscenario reads what a measured run does: for how long, at what
// load, and what goes wrong when.
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

// Kind names a fault.
type Kind string

// The faults.
const (
	Burst        Kind = "burst"        // One route's demand times Factor.
	Straggle     Kind = "straggle"     // Count engines slower by Factor.
	CrashEngines Kind = "crashEngines" // Count engines crash and restart.
	Poison       Kind = "poison"       // A request that crashes engines, repeated by its caller.
	Reclaim      Kind = "reclaim"      // The reclaimable servers of a data centre go, with Notice.
	KillNode     Kind = "killNode"     // An entry VM ends at once and is replaced after For.
	PauseNode    Kind = "pauseNode"    // An entry VM's process stands still.
	StopNode     Kind = "stopNode"     // An entry VM is stopped as planned, and replaced after For.
	CutNode      Kind = "cutNode"      // An entry VM loses its peers, not its callers.
	StoreAway    Kind = "storeAway"    // The key-value service refuses every call.
	StoreSlow    Kind = "storeSlow"    // Each of its calls takes 300 ms longer.
	LoseAnswers  Kind = "loseAnswers"  // Every third write's answer is lost.
	CutAnswers   Kind = "cutAnswers"   // Services run Count calls and break the connection.
	Withdraw     Kind = "withdraw"     // A workspace's key is withdrawn.
	Race         Kind = "race"         // Operators publish at several nodes at once.
)

// Kinds returns all faults.
func Kinds() []Kind {
	return []Kind{
		Burst, Straggle, CrashEngines, Poison, Reclaim, KillNode, PauseNode, StopNode, CutNode,
		StoreAway, StoreSlow, LoseAnswers, CutAnswers, Withdraw, Race,
	}
}

// Fault is something that goes wrong.
type Fault struct {
	Kind   Kind                  `yaml:"kind"`
	At     tarragondeal.Duration `yaml:"at"`
	For    tarragondeal.Duration `yaml:"for"`
	Factor float64               `yaml:"factor"`
	Count  int                   `yaml:"count"`
	Route  string                `yaml:"route"`
	Notice tarragondeal.Duration `yaml:"notice"`
}

// Scenario is one run.
type Scenario struct {
	Name       string                `yaml:"name"`
	Deployment string                `yaml:"deployment"`
	Length     tarragondeal.Duration `yaml:"length"`
	// Load is a part of what the servers can just carry.
	Load   float64 `yaml:"load"`
	Faults []Fault `yaml:"faults"`
}

// WrongError is a scenario that can't be run.
type WrongError struct {
	File string
	Text string
}

func (e *WrongError) Error() string { return e.File + ": " + e.Text }

// Parse reads a scenario from YAML. The error is a *WrongError.
func Parse(file string, text []byte) (*Scenario, error) {
	var s Scenario
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := dec.Decode(&s); err != nil {
		return nil, &WrongError{File: file, Text: err.Error()}
	}
	if s.Length <= 0 || s.Load <= 0 {
		return nil, &WrongError{File: file, Text: "length and load must be positive"}
	}
	for n, f := range s.Faults {
		if !slices.Contains(Kinds(), f.Kind) {
			return nil, &WrongError{File: file, Text: fmt.Sprintf("faults[%d].kind: %q is not known", n, f.Kind)}
		}
		if f.At < 0 || f.At > s.Length {
			return nil, &WrongError{File: file, Text: fmt.Sprintf("faults[%d].at: outside the run", n)}
		}
	}
	return &s, nil
}

// Random returns a scenario of mixed faults that follows from the seed.
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
