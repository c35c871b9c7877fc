package tdsettings

import (
	"flag"
	"time"
)

// Dispatch are the settings of how requests find backend servers.
type Dispatch struct {
	DispatchPolicy string
	ListEvery      time.Duration
}

func (s *Dispatch) register(fs *flag.FlagSet) {
	fs.StringVar(&s.DispatchPolicy, "dispatch.policy", "owner", "owner, or a baseline: roundRobin, leastOutstanding, powerOfTwo")
	fs.DurationVar(&s.ListEvery, "platform.listEvery", time.Second, "how often the list of VMs is read")
}
