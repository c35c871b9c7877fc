package tdsettings

import (
	"flag"
	"time"
)

// Capacity holds the settings of the duty that orders backend servers.
type Capacity struct {
	OrdersEvery           time.Duration
	OrdersRefresh         time.Duration
	OrdersSendTimeout     time.Duration
	OrdersPlatformFencing bool
	OrdersUse             float64
	OrdersFirmUse         float64
	OrdersStartUp         time.Duration
	OrdersDownAfter       time.Duration
	OrdersDownEvery       time.Duration
	OrdersUpEvery         time.Duration
	OrdersStartsPerMinute float64
}

func (s *Capacity) register(fs *flag.FlagSet) {
	fs.DurationVar(&s.OrdersEvery, "orders.every", 15*time.Second, "how often the node that holds the duty plans backend servers")
	fs.DurationVar(&s.OrdersRefresh, "orders.refresh", 5*time.Minute, "how often an unchanged order is sent again")
	fs.DurationVar(&s.OrdersSendTimeout, "orders.sendTimeout", 2*time.Second, "time limit of one order; well below lease.ttl")
	fs.BoolVar(&s.OrdersPlatformFencing, "orders.platformChecksFencing", false, "whether the platform rejects orders with stale fencing tokens")
	fs.Float64Var(&s.OrdersUse, "orders.use", 0.7, "target share of the slots of all servers in use")
	fs.Float64Var(&s.OrdersFirmUse, "orders.firmUse", 0.95, "maximum share of the slots of servers that are not reclaimable in use for classes with a target")
	fs.DurationVar(&s.OrdersStartUp, "orders.startUp", 2*time.Minute, "how long a server takes from its order to its first request")
	fs.DurationVar(&s.OrdersDownAfter, "orders.downAfter", 15*time.Minute, "how long the demand must be lower before servers are released")
	fs.DurationVar(&s.OrdersDownEvery, "orders.downEvery", 5*time.Minute, "time between releasing two servers of a pool in a data centre")
	fs.DurationVar(&s.OrdersUpEvery, "orders.upEvery", 30*time.Second, "time between two scale-ups of a pool in a data centre")
	fs.Float64Var(&s.OrdersStartsPerMinute, "orders.startsPerMinute", 12, "new model servers a minute that the weight store can supply; 0 for no limit")
}
