package tdsettings

import (
	"flag"
	"time"
)

// PolicyOwner is the default dispatch policy. The other policies are baselines
// for comparison.
const PolicyOwner = "owner"

// Dispatch holds the settings of how requests are assigned to backend servers.
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
	fs.DurationVar(&s.OwnerStartWait, "dispatch.startWait", time.Second, "how long a starting node waits to discover other nodes before it owns backend servers alone")
	fs.Float64Var(&s.RetryPart, "retry.part", 0.1, "retries that each request of this node adds to the retry budget")
	fs.Float64Var(&s.RetryBurst, "retry.burst", 10, "maximum size of the retry budget")
	fs.Float64Var(&s.RetryPerSecond, "retry.perSecond", 0.5, "retries that are added to the retry budget each second")
	fs.BoolVar(&s.NoBudget, "dispatch.noBudget", false, "disable the retry budget; for comparison only")
	fs.BoolVar(&s.NoQuarantine, "dispatch.noQuarantine", false, "disable the quarantine of requests that crash servers; for comparison only")
}
