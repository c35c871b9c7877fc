package tdsettings

import (
	"flag"
	"time"

	"github.com/rotisserie/eris"
)

// Entry are the settings of the callers' side.
type Entry struct {
	DrainWait      time.Duration
	DrainMax       time.Duration
	EntryTTL       time.Duration
	CallersMaxBody int64
	CallersBody    time.Duration
	CallersWrite   time.Duration
	CallersPerKey  int
	Attempts       int
}

const (
	defaultMaxBody  = 8 << 20
	defaultPerKey   = 1024
	defaultAttempts = 4
)

func (s *Entry) register(fs *flag.FlagSet) {
	fs.DurationVar(&s.DrainWait, "drain.wait", 10*time.Second, "how long a stopping node goes on taking requests; at least entry.ttl")
	fs.DurationVar(&s.DrainMax, "drain.max", 10*time.Minute, "how long a stopping node waits for its requests")
	fs.DurationVar(&s.EntryTTL, "entry.ttl", 10*time.Second, "how long callers may keep the addresses they were told")
	fs.Int64Var(&s.CallersMaxBody, "callers.maxBody", defaultMaxBody, "largest body of a request, in bytes")
	fs.DurationVar(&s.CallersBody, "callers.bodyTimeout", 30*time.Second, "how long a request's body may take to come")
	fs.DurationVar(&s.CallersWrite, "callers.writeTimeout", 30*time.Second, "how long a caller may take to accept more of an answer")
	fs.IntVar(&s.CallersPerKey, "callers.perKey", defaultPerKey, "requests of one key open at one node; 0 for no bound")
	fs.IntVar(&s.Attempts, "callers.attempts", defaultAttempts, "attempts of one request, the first included")
}

// Check returns an error that names a setting which can't be.
func (s *Entry) Check() error {
	switch {
	case s.EntryTTL <= 0:
		return eris.New("setting entry.ttl must be above zero")
	case s.DrainWait < s.EntryTTL:
		return eris.Errorf("setting drain.wait (%s) must be at least entry.ttl (%s): callers use an address that long", s.DrainWait, s.EntryTTL)
	case s.DrainMax <= 0:
		return eris.New("setting drain.max must be above zero")
	case s.CallersMaxBody <= 0:
		return eris.New("setting callers.maxBody must be above zero")
	case s.CallersBody <= 0, s.CallersWrite <= 0:
		return eris.New("settings callers.bodyTimeout and callers.writeTimeout must be above zero")
	case s.CallersPerKey < 0:
		return eris.New("setting callers.perKey must not be negative")
	case s.Attempts < 1:
		return eris.New("setting callers.attempts must be at least 1")
	}
	return nil
}
