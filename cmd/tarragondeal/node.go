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
	defaultNode = "127.0.0.1:8082"
	// callTimeout bounds a call of a node, without the time that a change
	// may wait until it is in force.
	callTimeout = 30 * time.Second
)

// nodeFlags say which node a command talks to, and as whom.
type nodeFlags struct {
	node, token, tokenFile string
	ca, name               string
}

func (f *nodeFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.node, "node", "", "operators' address of any node; else TARRAGONDEAL_NODE, else "+defaultNode)
	fs.StringVar(&f.token, "token", "", "operator's token; else TARRAGONDEAL_TOKEN; rather use -tokenFile")
	fs.StringVar(&f.ca, "ca", "", "file of the authority that signed the nodes' certificates; else TARRAGONDEAL_CA; without one plain HTTP is spoken")
	fs.StringVar(&f.name, "certName", "tarragondeal", "name that the nodes' certificates are for")
	fs.StringVar(&f.tokenFile, "tokenFile", "", "file that holds the operator's token; else TARRAGONDEAL_TOKENFILE")
}

// client returns a client of the node, and a context that bounds its calls.
func (t *tool) client(ctx context.Context, f *nodeFlags, wait time.Duration) (*tdoperator.Client, context.Context, context.CancelFunc, error) {
	token, err := t.token(f)
	if err != nil {
		return nil, nil, nil, err
	}
	node := cmp.Or(f.node, t.env("NODE"), defaultNode)
	c := tdoperator.NewClient(node, token)
	if ca := cmp.Or(f.ca, t.env("CA")); ca != "" {
		if err := c.Trust(ca, f.name); err != nil {
			return nil, nil, nil, usagef("-ca: %v", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	return c, ctx, cancel, nil
}

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
		return "", usagef("give the operator's token: -tokenFile FILE, or set %s_TOKENFILE", tdsettings.EnvPrefix)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", usagef("the operator's token: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

func (t *tool) env(name string) string { return t.getenv(tdsettings.EnvPrefix + "_" + name) }

// changeFlags say how a change is published.
type changeFlags struct {
	nodeFlags
	note string
	wait time.Duration
}

func (f *changeFlags) register(fs *flag.FlagSet) {
	f.nodeFlags.register(fs)
	fs.StringVar(&f.note, "note", "", "why, for the history")
	fs.DurationVar(&f.wait, "wait", tdoperator.DefaultWait, "how long to wait until it is in force at all nodes")
}

// inForce prints what became of a change and returns an error when it is not
// in force everywhere.
func (t *tool) inForce(r tdoperator.Result) error {
	if len(r.Lagging) > 0 {
		return &laggingError{version: r.Version, nodes: r.Lagging}
	}
	t.printf("version %d is in force at all nodes\n", r.Version)
	return nil
}

// readFile reads a file, or the standard input for "-", up to the largest
// set and a little more, so that the check can say that it is too large.
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
