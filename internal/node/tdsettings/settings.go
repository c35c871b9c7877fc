// Package tdsettings reads the settings of a node from flags, environment
// variables and a YAML file, in this order.
//
// # Usage
//
//	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
//	var s tdsettings.Settings
//	s.Register(fs)
//	err := tdsettings.Parse(fs, args)
//
// A setting named store.timeout is the flag -store.timeout, the variable
// TARRAGONDEAL_STORE_TIMEOUT, and the key timeout below store in the file.
package tdsettings

import (
	"flag"
	"fmt"
	"io"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
)

// Settings are all settings of a node, by the part that reads them.
type Settings struct {
	Node
	Fleet
	Dispatch
	Account
	Capacity
	Entry
}

// Node are the settings that every part reads.
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
}

func (s *Node) register(fs *flag.FlagSet) {
	fs.StringVar(&s.Name, "name", "", "name of this node, unique in the fleet")
	fs.StringVar(&s.DataCentre, "dataCentre", "", "data centre this node runs in")
	fs.StringVar(&s.ListenCallers, "listen.callers", "127.0.0.1:8080", "address for callers")
	fs.StringVar(&s.ListenPeers, "listen.peers", "127.0.0.1:8081", "address for other nodes")
	fs.StringVar(&s.ListenOperators, "listen.operators", "127.0.0.1:8082", "address for operators and metrics")
	fs.StringVar(&s.AdvertisePeers, "advertise.peers", "", "address that other nodes are told; empty for the one listened on")
	fs.StringVar(&s.PlatformURL, "platform.url", "", "URL of the platform")
	fs.StringVar(&s.OperatorToken, "operator.token", "", "token that operators' calls carry")
	fs.StringVar(&s.LogLevel, "log.level", "info", "debug, info, warn or error")
}

// Parse fills the registered settings from args, the environment and the
// file that -config names.
func Parse(fs *flag.FlagSet, args []string) error {
	return ff.Parse(fs, args, Options(fs)...)
}

// Options declares the flag -config and returns how to parse the rest.
func Options(fs *flag.FlagSet) []ff.Option {
	path := fs.String("config", "", "YAML file of settings")
	return []ff.Option{
		ff.WithEnvVarPrefix("TARRAGONDEAL"),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return parseYAML(*path, r, set)
		}),
	}
}

// SettingError is a setting that the file gives wrongly.
type SettingError struct {
	File string
	Line int
	Path string
	Err  error
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

func parseYAML(file string, r io.Reader, set func(name, value string) error) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	doc, err := parser.ParseBytes(text, 0)
	if err != nil {
		return eris.Wrapf(err, "%s", file)
	}
	w := walker{file: file, set: set}
	for _, d := range doc.Docs {
		if d.Body == nil {
			continue
		}
		if err := w.node("", d.Body); err != nil {
			return err
		}
	}
	return nil
}

// walker flattens nested maps into settings with dotted names.
type walker struct {
	file string
	set  func(name, value string) error
}

func (w walker) node(path string, n ast.Node) error {
	m, ok := n.(ast.MapNode)
	if !ok {
		return w.value(path, n)
	}
	it := m.MapRange()
	for it.Next() {
		name := it.Key().String()
		if path != "" {
			name = path + "." + name
		}
		if err := w.node(name, it.Value()); err != nil {
			return err
		}
	}
	return nil
}

func (w walker) value(path string, n ast.Node) error {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		return w.wrong(path, n, eris.New("expected a single value"))
	}
	if err := w.set(path, fmt.Sprint(s.GetValue())); err != nil {
		return w.wrong(path, n, err)
	}
	return nil
}

func (w walker) wrong(path string, n ast.Node, err error) error {
	return &SettingError{File: w.file, Line: n.GetToken().Position.Line, Path: path, Err: err}
}
