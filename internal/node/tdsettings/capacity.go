package tdsettings

import "flag"

// Capacity are the settings of the duty that orders backend servers.
type Capacity struct{}

func (s *Capacity) register(*flag.FlagSet) {}
