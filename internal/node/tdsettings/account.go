package tdsettings

import (
	"flag"
	"time"
)

// Account holds the settings of claims, usage metering and the duties that
// may run at one node at a time.
type Account struct {
	ClaimsMaxRun    time.Duration
	ClaimsMaxAnswer int
	ClaimsWait      time.Duration
	ClaimsPending   int
	ClaimsRetention time.Duration
	ClaimsDeletes   float64

	UsageWindow      time.Duration
	UsageGather      time.Duration
	UsageStoreEvery  time.Duration
	UsageFlushEvery  time.Duration
	UsageAckWait     time.Duration
	UsageTakeOver    time.Duration
	UsageGrace       time.Duration
	UsageEvery       time.Duration
	UsageSendTimeout time.Duration
	UsageSinkFencing bool
	UsageKeep        int

	GateSettle  time.Duration
	GateListLag time.Duration
	GateHoldOff time.Duration
}

func (s *Account) register(fs *flag.FlagSet) {
	s.registerClaims(fs)
	s.registerUsage(fs)
	s.registerGate(fs)
}

func (s *Account) registerClaims(fs *flag.FlagSet) {
	fs.DurationVar(&s.ClaimsMaxRun, "claims.maxRun", 15*time.Minute, "how long a non-idempotent request may run before its outcome counts as unknown")
	fs.IntVar(&s.ClaimsMaxAnswer, "claims.maxAnswer", 16<<10, "largest answer that a claim keeps for repeated requests, in bytes")
	fs.DurationVar(&s.ClaimsWait, "claims.wait", 2*time.Second, "how long a request waits for its claim")
	fs.IntVar(&s.ClaimsPending, "claims.pending", 1024, "claims that may wait while the store is unavailable")
	fs.DurationVar(&s.ClaimsRetention, "claims.retention", 24*time.Hour, "minimum time that a claim is kept after its last change")
	fs.Float64Var(&s.ClaimsDeletes, "claims.deletesPerSecond", 20, "old claims that the whole fleet deletes in a second")
}

func (s *Account) registerUsage(fs *flag.FlagSet) {
	fs.DurationVar(&s.UsageWindow, "usage.window", time.Hour, "length of a usage window; must be the same at every node")
	fs.DurationVar(&s.UsageGather, "usage.gather", 2*time.Millisecond, "how long usage is batched before it is copied to a peer")
	fs.DurationVar(&s.UsageStoreEvery, "usage.storeEvery", 200*time.Millisecond, "minimum time between copies to the store while there is no peer")
	fs.DurationVar(&s.UsageFlushEvery, "usage.flushEvery", 30*time.Second, "how often usage is flushed to the store")
	fs.DurationVar(&s.UsageAckWait, "usage.ackWait", time.Second, "how long usage waits for its second copy")
	fs.DurationVar(&s.UsageTakeOver, "usage.takeOver", 15*time.Second, "how long a node must be silent before its peer flushes its usage")
	fs.DurationVar(&s.UsageGrace, "usage.grace", 2*time.Minute, "time between the end of a usage window and its closing")
	fs.DurationVar(&s.UsageEvery, "usage.every", 10*time.Second, "how often the node that holds the duty looks for windows to close and report")
	fs.DurationVar(&s.UsageSendTimeout, "usage.sendTimeout", 3*time.Second, "time limit of one usage report; well below lease.ttl")
	fs.BoolVar(&s.UsageSinkFencing, "usage.sinkChecksFencing", false, "whether the usage sink rejects stale fencing tokens")
	fs.IntVar(&s.UsageKeep, "usage.keepWindows", 24, "reported windows that the store keeps")
}

func (s *Account) registerGate(fs *flag.FlagSet) {
	fs.DurationVar(&s.GateSettle, "duty.settle", 5*time.Second, "how long an abandoned order or report may still take effect")
	fs.DurationVar(&s.GateListLag, "duty.listLag", 30*time.Second, "maximum age of the platform's list of VMs")
	fs.DurationVar(&s.GateHoldOff, "duty.holdOff", 0, "time after which a former holder of a duty counts as stopped without any sign of it; 0 for never")
}
