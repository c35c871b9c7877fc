package tdsettings

import (
	"flag"
	"time"

	"github.com/rotisserie/eris"
)

// Entry are the settings of the callers' side.
type Entry struct {
	DrainWait        time.Duration
	DrainMax         time.Duration
	EntryTTL         time.Duration
	AdvertiseCallers string
	CallersMaxBody   int64
	CallersBody      time.Duration
	CallersWrite     time.Duration
	CallersPerKey    int
	CallersCapacity  int
	Attempts         int
	CallersCert      string
	CallersKey       string
}

const (
	defaultMaxBody  = 8 << 20
	defaultPerKey   = 1024
	defaultCapacity = 1024
	defaultAttempts = 4
)

func (s *Entry) register(fs *flag.FlagSet) {
	fs.DurationVar(&s.DrainWait, "drain.wait", 10*time.Second, "how long a stopping node goes on taking requests; at least entry.ttl")
	fs.DurationVar(&s.DrainMax, "drain.max", 10*time.Minute, "how long a stopping node waits for its requests")
	fs.DurationVar(&s.EntryTTL, "entry.ttl", 10*time.Second, "how long callers may keep the addresses they were told")
	fs.StringVar(&s.AdvertiseCallers, "advertise.callers", "", "address that callers are told, if it is not listen.callers")
	fs.Int64Var(&s.CallersMaxBody, "callers.maxBody", defaultMaxBody, "largest body of a request, in bytes")
	fs.DurationVar(&s.CallersBody, "callers.bodyTimeout", 30*time.Second, "how long a request's body may take to come")
	fs.DurationVar(&s.CallersWrite, "callers.writeTimeout", 30*time.Second, "how long a caller may take to accept more of an answer")
	fs.IntVar(&s.CallersPerKey, "callers.perKey", defaultPerKey, "requests of one key open at one node; 0 for no bound")
	fs.IntVar(&s.CallersCapacity, "callers.capacity", defaultCapacity, "requests that one node is meant to carry at once; callers are spread by it")
	fs.StringVar(&s.CallersCert, "callers.cert", "", "certificate file for the callers' address; without one it speaks plain HTTP")
	fs.StringVar(&s.CallersKey, "callers.key", "", "key file for the callers' address")
	fs.IntVar(&s.Attempts, "callers.attempts", defaultAttempts, "attempts of one request, the first included")
}

// check tells which settings can't be.
func (s *Entry) check(wrong func(path string, err error)) {
	positive := func(path string, d time.Duration) {
		if d <= 0 {
			wrong(path, eris.New("it must be above zero"))
		}
	}
	positive("entry.ttl", s.EntryTTL)
	positive("drain.max", s.DrainMax)
	positive("callers.bodyTimeout", s.CallersBody)
	positive("callers.writeTimeout", s.CallersWrite)
	if s.DrainWait < s.EntryTTL {
		wrong("drain.wait", eris.Errorf("it must be at least entry.ttl, %s: callers use an address that long", s.EntryTTL))
	}
	if s.CallersMaxBody <= 0 {
		wrong("callers.maxBody", eris.New("it must be above zero"))
	}
	if s.CallersPerKey < 0 {
		wrong("callers.perKey", eris.New("it must not be negative"))
	}
	if s.CallersCapacity < 1 {
		wrong("callers.capacity", eris.New("it must be at least 1"))
	}
	if s.Attempts < 1 {
		wrong("callers.attempts", eris.New("it must be at least 1"))
	}
	if (s.CallersCert == "") != (s.CallersKey == "") {
		wrong("callers.cert", eris.New("it and callers.key must be given together"))
	}
	if s.AdvertiseCallers != "" {
		wrong("advertise.callers", checkAddr(s.AdvertiseCallers))
	}
}
