// Package tdsettings reads the settings of a node from flags, environment
// variables and a YAML file, in this order of precedence.
//
// # Usage
//
//	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
//	var s tdsettings.Settings
//	s.Register(fs)
//	err := s.Parse(fs, args)
//	err = s.Check()
//
// A setting named store.timeout is the flag -store.timeout, the variable
// TARRAGONDEAL_STORE_TIMEOUT, and the key timeout below store in the file.
// Errors in the file and errors from Check are returned all at once, as a
// *SettingsError.
package tdsettings

import "flag"

// EnvPrefix is the prefix of all environment variables of the settings.
const EnvPrefix = "TARRAGONDEAL"

// Settings holds all settings of a node, grouped by the component that uses
// them.
type Settings struct {
	Node
	Fleet
	Dispatch
	Account
	Capacity
	Entry
	Operator

	source source
}

// Node holds the settings of the node itself.
type Node struct {
	Name            string
	DataCentre      string
	ListenCallers   string
	ListenPeers     string
	ListenOperators string
	AdvertisePeers  string
	PlatformURL     string
	OperatorToken   string
	LogLevel        string
}

// Register declares the settings as flags.
func (s *Settings) Register(fs *flag.FlagSet) {
	s.Node.register(fs)
	s.Fleet.register(fs)
	s.Dispatch.register(fs)
	s.Account.register(fs)
	s.Capacity.register(fs)
	s.Entry.register(fs)
	s.Operator.register(fs)
}

func (s *Node) register(fs *flag.FlagSet) {
	fs.StringVar(&s.Name, "name", "", "name of this node, unique in the fleet")
	fs.StringVar(&s.DataCentre, "dataCentre", "", "data centre this node runs in")
	fs.StringVar(&s.ListenCallers, "listen.callers", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&s.ListenPeers, "listen.peers", "127.0.0.1:8081", "address for other nodes")
	fs.StringVar(&s.ListenOperators, "listen.operators", "127.0.0.1:8082", "address for operators and metrics")
	fs.StringVar(&s.AdvertisePeers, "advertise.peers", "", "address announced to other nodes; empty for listen.peers")
	fs.StringVar(&s.PlatformURL, "platform.url", "", "URL of the platform")
	fs.StringVar(&s.OperatorToken, "operator.token", "", "operators' shared token; prefer operator.tokenFile")
	fs.StringVar(&s.LogLevel, "log.level", "info", "debug, info, warn or error")
}
