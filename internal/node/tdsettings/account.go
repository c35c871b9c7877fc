package tdsettings

import (
	"flag"
	"time"
)

// Account are the settings of what is counted and what runs at most once.
type Account struct {
	UsageWindow time.Duration
}

func (s *Account) register(fs *flag.FlagSet) {
	fs.DurationVar(&s.UsageWindow, "usage.window", time.Hour, "length of a usage window")
}
