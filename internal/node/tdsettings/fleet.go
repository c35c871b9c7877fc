package tdsettings

import (
	"flag"
	"time"
)

// Fleet holds the settings of the connections between nodes, the shared store,
// membership and leases.
type Fleet struct {
	Peers   string // Comma-separated addresses of other nodes.
	TLSCert string
	TLSKey  string
	TLSCA   string
	TLSName string

	StoreReads   float64
	StoreWrites  float64
	StoreTimeout time.Duration

	ConfigWatchers int
	ConfigKeep     int
	ConfigStaleMax time.Duration

	MemberEvery time.Duration
	LeaseTTL    time.Duration
	LeaseMargin time.Duration
}

func (s *Fleet) register(fs *flag.FlagSet) {
	fs.StringVar(&s.Peers, "peers", "", "addresses of some other nodes to join, separated by commas")
	fs.StringVar(&s.TLSCert, "tls.cert", "", "certificate file for connections between nodes")
	fs.StringVar(&s.TLSKey, "tls.key", "", "key file for connections between nodes")
	fs.StringVar(&s.TLSCA, "tls.ca", "", "certificate file of the authority that signs the nodes' certificates")
	fs.StringVar(&s.TLSName, "tls.name", "tarragondeal", "server name in the certificates of all nodes")
	fs.Float64Var(&s.StoreReads, "store.reads", 1800, "maximum rate of reads from the key-value service, in reads per second for all nodes together")
	fs.Float64Var(&s.StoreWrites, "store.writes", 300, "maximum rate of writes to the key-value service, in writes per second for all nodes together")
	fs.DurationVar(&s.StoreTimeout, "store.timeout", time.Second, "time limit of one call to the key-value service")
	fs.IntVar(&s.ConfigWatchers, "config.watchers", 2, "nodes of each data centre that watch the store for published sets")
	fs.IntVar(&s.ConfigKeep, "config.keep", 100, "superseded sets that are kept")
	fs.DurationVar(&s.ConfigStaleMax, "config.staleMax", time.Minute, "how long a node that reaches neither the store nor another node keeps accepting keys")
	fs.DurationVar(&s.MemberEvery, "member.every", 500*time.Millisecond, "interval of heartbeats between two neighbouring nodes; a node is suspected after 3 intervals of silence and declared dead 6 intervals later")
	fs.DurationVar(&s.LeaseTTL, "lease.ttl", 10*time.Second, "lifetime of a lease that is not renewed")
	fs.DurationVar(&s.LeaseMargin, "lease.margin", 500*time.Millisecond, "how long before its end a lease is no longer used")
}
