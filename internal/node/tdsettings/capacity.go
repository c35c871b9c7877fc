package tdsettings

import (
	"flag"
	"time"
)

// Capacity are the settings of the duty that orders backend servers.
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
	fs.DurationVar(&s.OrdersEvery, "orders.every", 15*time.Second, "how often the node with the duty plans backend servers")
	fs.DurationVar(&s.OrdersRefresh, "orders.refresh", 5*time.Minute, "after how long an order is sent again unchanged")
	fs.DurationVar(&s.OrdersSendTimeout, "orders.sendTimeout", 2*time.Second, "how long one order may take, well below lease.ttl")
	fs.BoolVar(&s.OrdersPlatformFencing, "orders.platformChecksFencing", false, "whether the platform refuses orders with old fencing tokens")
	fs.Float64Var(&s.OrdersUse, "orders.use", 0.7, "share of slots that all servers should have in use")
	fs.Float64Var(&s.OrdersFirmUse, "orders.firmUse", 0.95, "share of slots that servers which are not reclaimable may have in use for classes with a target")
	fs.DurationVar(&s.OrdersStartUp, "orders.startUp", 2*time.Minute, "how long a server takes from its order to its first request")
	fs.DurationVar(&s.OrdersDownAfter, "orders.downAfter", 15*time.Minute, "how long the need must be lower before servers are given up")
	fs.DurationVar(&s.OrdersDownEvery, "orders.downEvery", 5*time.Minute, "time between giving up two servers of a pool in a data centre")
	fs.DurationVar(&s.OrdersUpEvery, "orders.upEvery", 30*time.Second, "time between two rises of a pool in a data centre")
	fs.Float64Var(&s.OrdersStartsPerMinute, "orders.startsPerMinute", 12, "new model servers a minute that the weight store has room for; 0 for no bound")
}
