package tdsettings

import "flag"

// Fleet are the settings of what the nodes agree on and how they talk.
type Fleet struct {
	Peers   string // Comma-separated addresses of other nodes.
	TLSCert string
	TLSKey  string
	TLSCA   string
}

func (s *Fleet) register(fs *flag.FlagSet) {
	fs.StringVar(&s.Peers, "peers", "", "addresses of some other nodes, separated by commas")
	fs.StringVar(&s.TLSCert, "tls.cert", "", "certificate file for links between nodes")
	fs.StringVar(&s.TLSKey, "tls.key", "", "key file for links between nodes")
	fs.StringVar(&s.TLSCA, "tls.ca", "", "file of the authority that signs nodes' certificates")
}
