package tdsettings

import (
	"flag"
	"time"
)

// PolicyOwner is the product's own dispatch policy. The others are baselines
// to measure it against.
const PolicyOwner = "owner"

// Dispatch are the settings of how requests find backend servers.
type Dispatch struct {
	DispatchPolicy string
	ListEvery      time.Duration
	LoadEvery      time.Duration
	OwnerStartWait time.Duration
	RetryPart      float64
	RetryBurst     float64
	RetryPerSecond float64
	NoBudget       bool
	NoQuarantine   bool
}

func (s *Dispatch) register(fs *flag.FlagSet) {
	fs.StringVar(&s.DispatchPolicy, "dispatch.policy", PolicyOwner, "owner, or a baseline: roundRobin, leastOutstanding, powerOfTwo")
	fs.DurationVar(&s.ListEvery, "platform.listEvery", time.Second, "how often the list of VMs is read")
	fs.DurationVar(&s.LoadEvery, "dispatch.loadEvery", time.Second, "how often a backend server's load is read")
	fs.DurationVar(&s.OwnerStartWait, "dispatch.startWait", time.Second, "how long a starting node waits to hear of other nodes before it owns backend servers alone")
	fs.Float64Var(&s.RetryPart, "retry.part", 0.1, "retries for each request of this node")
	fs.Float64Var(&s.RetryBurst, "retry.burst", 10, "retries that are saved up at most")
	fs.Float64Var(&s.RetryPerSecond, "retry.perSecond", 0.5, "retries that are added each second")
	fs.BoolVar(&s.NoBudget, "dispatch.noBudget", false, "bound no retries, for comparison only")
	fs.BoolVar(&s.NoQuarantine, "dispatch.noQuarantine", false, "refuse no request that crashes servers, for comparison only")
}
