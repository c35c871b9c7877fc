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
	fs.IntVar(&s.ClaimsMaxAnswer, "claims.maxAnswer", 16<<10, "largest answer that a claim keeps for repeats, in bytes")
	fs.DurationVar(&s.ClaimsWait, "claims.wait", 2*time.Second, "how long a request waits for its claim")
	fs.IntVar(&s.ClaimsPending, "claims.pending", 1024, "claims that may wait for the store to come back")
	fs.DurationVar(&s.ClaimsRetention, "claims.retention", 24*time.Hour, "how long a claim is kept after its last change, at least")
	fs.Float64Var(&s.ClaimsDeletes, "claims.deletesPerSecond", 20, "how fast old claims are deleted in the whole fleet")
}

func (s *Account) registerUsage(fs *flag.FlagSet) {
	fs.DurationVar(&s.UsageWindow, "usage.window", time.Hour, "length of a usage window, the same at every node")
	fs.DurationVar(&s.UsageGather, "usage.gather", 2*time.Millisecond, "how long usage is gathered before it is copied to a peer")
	fs.DurationVar(&s.UsageStoreEvery, "usage.storeEvery", 200*time.Millisecond, "least time between copies to the store while there is no peer")
	fs.DurationVar(&s.UsageFlushEvery, "usage.flushEvery", 30*time.Second, "how often usage is flushed to the store")
	fs.DurationVar(&s.UsageAckWait, "usage.ackWait", time.Second, "how long usage waits for its second copy")
	fs.DurationVar(&s.UsageTakeOver, "usage.takeOver", 15*time.Second, "after how long a silent node's usage is flushed by its peer")
	fs.DurationVar(&s.UsageGrace, "usage.grace", 2*time.Minute, "how long after its end a usage window is closed")
	fs.DurationVar(&s.UsageEvery, "usage.every", 10*time.Second, "how often the node with the duty looks for windows to close and report")
	fs.DurationVar(&s.UsageSendTimeout, "usage.sendTimeout", 3*time.Second, "how long one usage report may take, well below lease.ttl")
	fs.BoolVar(&s.UsageSinkFencing, "usage.sinkChecksFencing", false, "whether the usage sink refuses old fencing tokens")
	fs.IntVar(&s.UsageKeep, "usage.keepWindows", 24, "how many windows the store keeps after they were reported")
}

func (s *Account) registerGate(fs *flag.FlagSet) {
	fs.DurationVar(&s.GateSettle, "duty.settle", 5*time.Second, "how long an order or report that was given up may still take effect")
	fs.DurationVar(&s.GateListLag, "duty.listLag", 30*time.Second, "how far the platform's list of VMs may be behind")
	fs.DurationVar(&s.GateHoldOff, "duty.holdOff", 0, "after how long a lost holder of a duty counts as ended without any sign; 0 for never")
}
