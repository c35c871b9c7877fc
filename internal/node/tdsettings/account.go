package tdsettings

import (
	"flag"
	"time"
)

// Account are the settings of what is counted and what runs at most once.
type Account struct {
	ClaimsMaxRun    time.Duration
	ClaimsMaxAnswer int
	ClaimsWait      time.Duration
	ClaimsPending   int
	ClaimsRetention time.Duration
	ClaimsDeletes   float64
	UsageWindow     time.Duration
}

func (s *Account) register(fs *flag.FlagSet) {
	fs.DurationVar(&s.ClaimsMaxRun, "claims.maxRun", 15*time.Minute, "how long a non-idempotent request may run before its outcome counts as unknown")
	fs.IntVar(&s.ClaimsMaxAnswer, "claims.maxAnswer", 16<<10, "largest answer that a claim keeps for repeats, in bytes")
	fs.DurationVar(&s.ClaimsWait, "claims.wait", 2*time.Second, "how long a request waits for its claim")
	fs.IntVar(&s.ClaimsPending, "claims.pending", 1024, "claims that may wait for the store to come back")
	fs.DurationVar(&s.ClaimsRetention, "claims.retention", 24*time.Hour, "how long a claim is kept after its last change, at least")
	fs.Float64Var(&s.ClaimsDeletes, "claims.deletesPerSecond", 20, "how fast old claims are deleted in the whole fleet")
	fs.DurationVar(&s.UsageWindow, "usage.window", time.Hour, "length of a usage window")
}
