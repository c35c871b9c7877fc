package tdsettings

import (
	"flag"
	"time"
)

// Fleet are the settings of what the nodes agree on and how they talk.
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
	fs.StringVar(&s.Peers, "peers", "", "addresses of some other nodes, separated by commas")
	fs.StringVar(&s.TLSCert, "tls.cert", "", "certificate file for links between nodes")
	fs.StringVar(&s.TLSKey, "tls.key", "", "key file for links between nodes")
	fs.StringVar(&s.TLSCA, "tls.ca", "", "file of the authority that signs nodes' certificates")
	fs.StringVar(&s.TLSName, "tls.name", "tarragondeal", "name that all nodes' certificates are for")
	fs.Float64Var(&s.StoreReads, "store.reads", 1800, "reads a second of the key-value service that all nodes may make together")
	fs.Float64Var(&s.StoreWrites, "store.writes", 300, "writes a second of the key-value service that all nodes may make together")
	fs.DurationVar(&s.StoreTimeout, "store.timeout", time.Second, "time limit of one call of the key-value service")
	fs.IntVar(&s.ConfigWatchers, "config.watchers", 2, "nodes of each data centre that watch the store for published sets")
	fs.IntVar(&s.ConfigKeep, "config.keep", 100, "superseded sets that are kept")
	fs.DurationVar(&s.ConfigStaleMax, "config.staleMax", time.Minute, "how long a node that reaches neither the store nor another node goes on admitting keys")
	fs.DurationVar(&s.MemberEvery, "member.every", 500*time.Millisecond, "time between two heartbeats along an edge; a node is suspected after 3 and taken for dead 6 later")
	fs.DurationVar(&s.LeaseTTL, "lease.ttl", 10*time.Second, "how long a lease lasts unless it is renewed")
	fs.DurationVar(&s.LeaseMargin, "lease.margin", 500*time.Millisecond, "time kept free before a lease's end")
}
