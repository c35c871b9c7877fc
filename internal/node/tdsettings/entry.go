package tdsettings

import (
	"flag"
	"time"
)

// Entry are the settings of the callers' side.
type Entry struct {
	DrainWait time.Duration
	DrainMax  time.Duration
}

func (s *Entry) register(fs *flag.FlagSet) {
	fs.DurationVar(&s.DrainWait, "drain.wait", 10*time.Second, "how long a stopping node goes on taking requests")
	fs.DurationVar(&s.DrainMax, "drain.max", 10*time.Minute, "how long a stopping node waits for its requests")
}
