package tdsettings

import (
	"flag"
	"time"

	"github.com/rotisserie/eris"
)

// Entry holds the settings of the entry point for callers.
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
	fs.DurationVar(&s.DrainWait, "drain.wait", 10*time.Second, "how long a stopping node still accepts requests; at least entry.ttl")
	fs.DurationVar(&s.DrainMax, "drain.max", 10*time.Minute, "how long a stopping node waits for its open requests")
	fs.DurationVar(&s.EntryTTL, "entry.ttl", 10*time.Second, "how long callers may cache the addresses of nodes")
	fs.StringVar(&s.AdvertiseCallers, "advertise.callers", "", "address announced to callers; empty for listen.callers")
	fs.Int64Var(&s.CallersMaxBody, "callers.maxBody", defaultMaxBody, "maximum size of a request's body, in bytes")
	fs.DurationVar(&s.CallersBody, "callers.bodyTimeout", 30*time.Second, "time limit for reading a request's body")
	fs.DurationVar(&s.CallersWrite, "callers.writeTimeout", 30*time.Second, "how long a write to a caller may block")
	fs.IntVar(&s.CallersPerKey, "callers.perKey", defaultPerKey, "maximum number of open requests of one key at one node; 0 for no limit")
	fs.IntVar(&s.CallersCapacity, "callers.capacity", defaultCapacity, "requests that one node can serve at once; used to distribute callers over nodes")
	fs.StringVar(&s.CallersCert, "callers.cert", "", "certificate file for the callers' address; plain HTTP if empty")
	fs.StringVar(&s.CallersKey, "callers.key", "", "key file for the callers' address")
	fs.IntVar(&s.Attempts, "callers.attempts", defaultAttempts, "maximum number of attempts of one request, including the first")
}

// check passes every invalid setting to addError.
func (s *Entry) check(addError func(path string, err error)) {
	positive := func(path string, d time.Duration) {
		if d <= 0 {
			addError(path, eris.New("must be positive"))
		}
	}
	positive("entry.ttl", s.EntryTTL)
	positive("drain.max", s.DrainMax)
	positive("callers.bodyTimeout", s.CallersBody)
	positive("callers.writeTimeout", s.CallersWrite)
	if s.DrainWait < s.EntryTTL {
		addError("drain.wait", eris.Errorf("must be at least entry.ttl (%s), since callers use an address for that long", s.EntryTTL))
	}
	if s.CallersMaxBody <= 0 {
		addError("callers.maxBody", eris.New("must be positive"))
	}
	if s.CallersPerKey < 0 {
		addError("callers.perKey", eris.New("must not be negative"))
	}
	if s.CallersCapacity < 1 {
		addError("callers.capacity", eris.New("must be at least 1"))
	}
	if s.Attempts < 1 {
		addError("callers.attempts", eris.New("must be at least 1"))
	}
	if (s.CallersCert == "") != (s.CallersKey == "") {
		addError("callers.cert", eris.New("must be set together with callers.key"))
	}
	if s.AdvertiseCallers != "" {
		addError("advertise.callers", checkAddr(s.AdvertiseCallers))
	}
}
