package main

import (
	"cmp"
	"context"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/node/tdsettings"
	"tarragondeal/internal/object/tdset"
)

const (
	defaultNodeAddr = "127.0.0.1:8082"
	// callTimeout is the time limit of a call to a node. Commands that wait
	// until a change is in force add that wait to it.
	callTimeout = 30 * time.Second
)

// nodeFlags are the flags for the connection to a node and its credentials.
type nodeFlags struct {
	node, token, tokenFile string
	ca, certName           string
}

func (f *nodeFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.node, "node", "", "operators' address of any node; default: TARRAGONDEAL_NODE, or "+defaultNodeAddr)
	fs.StringVar(&f.token, "token", "", "operator's token; default: TARRAGONDEAL_TOKEN; prefer -tokenFile")
	fs.StringVar(&f.ca, "ca", "", "certificate file of the authority that signed the nodes' certificates; default: TARRAGONDEAL_CA; plain HTTP if empty")
	fs.StringVar(&f.certName, "certName", "tarragondeal", "server name in the nodes' certificates")
	fs.StringVar(&f.tokenFile, "tokenFile", "", "file that holds the operator's token; default: TARRAGONDEAL_TOKENFILE")
}

// client returns a client of the node and a context with the timeout of its
// calls, callTimeout plus wait.
func (t *tool) client(ctx context.Context, f *nodeFlags, wait time.Duration) (*tdoperator.Client, context.Context, context.CancelFunc, error) {
	token, err := t.token(f)
	if err != nil {
		return nil, nil, nil, err
	}
	node := cmp.Or(f.node, t.env("NODE"), defaultNodeAddr)
	c := tdoperator.NewClient(node, token)
	if ca := cmp.Or(f.ca, t.env("CA")); ca != "" {
		if err := c.Trust(ca, f.certName); err != nil {
			return nil, nil, nil, usagef("certificate file of the authority (-ca or %s_CA): %v", tdsettings.EnvPrefix, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	return c, ctx, cancel, nil
}

// token returns the operator's token. It uses the first of these that is set:
// -token, -tokenFile, TARRAGONDEAL_TOKEN and TARRAGONDEAL_TOKENFILE.
func (t *tool) token(f *nodeFlags) (string, error) {
	if f.token != "" {
		return f.token, nil
	}
	file := f.tokenFile
	if file == "" {
		if token := t.env("TOKEN"); token != "" {
			return token, nil
		}
		file = t.env("TOKENFILE")
	}
	if file == "" {
		return "", usagef("the operator's token is required: give -tokenFile FILE, or set %s_TOKENFILE", tdsettings.EnvPrefix)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", usagef("operator's token: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

func (t *tool) env(name string) string { return t.getenv(tdsettings.EnvPrefix + "_" + name) }

// changeFlags are the flags of commands that publish a change.
type changeFlags struct {
	nodeFlags
	note string
	wait time.Duration
}

func (f *changeFlags) register(fs *flag.FlagSet) {
	f.nodeFlags.register(fs)
	fs.StringVar(&f.note, "note", "", "reason of the change, for the history")
	fs.DurationVar(&f.wait, "wait", tdoperator.DefaultWait, "how long to wait until the change is in force at all nodes")
}

// printResult prints the version of a change that is in force at all nodes.
// Otherwise it prints nothing and returns a laggingError.
func (t *tool) printResult(r tdoperator.Result) error {
	if len(r.Lagging) > 0 {
		return &laggingError{version: r.Version, nodes: r.Lagging}
	}
	t.printf("version %d is in force at all nodes\n", r.Version)
	return nil
}

// readFile reads a file, or the standard input for "-". It reads one byte more
// than the maximum size of a set, so that tdset.Read reports a larger file
// as a fault.
func (t *tool) readFile(name string) ([]byte, error) {
	in := t.in
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, eris.New(err.Error())
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	return io.ReadAll(io.LimitReader(in, tdset.MaxTextBytes+1))
}
