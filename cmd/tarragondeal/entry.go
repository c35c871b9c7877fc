package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdoperator"
)

const defaultEntry = "127.0.0.1:8080"

// maxEntryBytes is the maximum size of the answer of /entry.
const maxEntryBytes = 1 << 20

func (t *tool) entry() *ffcli.Command {
	fs := t.flags("entry")
	node := fs.String("node", "", "callers' address of any node; default: TARRAGONDEAL_ENTRY, or "+defaultEntry)
	ca := fs.String("ca", "", "certificate file of the authority that signed the nodes' certificates; plain HTTP if empty")
	name := fs.String("certName", "tarragondeal", "server name in the nodes' certificates")
	dataCentre := fs.String("dataCentre", "", "data centre of the caller")
	return &ffcli.Command{
		Name: "entry", ShortUsage: "tarragondeal entry [flags]",
		ShortHelp: "Show the addresses of nodes that callers should use. No token is required.",
		LongHelp:  example("tarragondeal entry -node 10.0.0.5:8080 -dataCentre duluth"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			client, scheme := http.DefaultClient, "http"
			if *ca != "" {
				var err error
				if client, err = tdoperator.NewHTTPSClient(*ca, *name); err != nil {
					return usagef("-ca: %v", err)
				}
				scheme = "https"
			}
			a, err := fetchEntry(ctx, client, scheme+"://"+cmp.Or(*node, t.env("ENTRY"), defaultEntry), *dataCentre)
			if err != nil {
				return err
			}
			for _, addr := range a.Addresses {
				t.printf("%s\n", addr)
			}
			t.warnf("good for %s\n", a.TimeToLive)
			return nil
		},
	}
}

// fetchEntry asks a node for the addresses that callers in a data centre should
// use.
func fetchEntry(ctx context.Context, client *http.Client, node, dataCentre string) (out tdaddress.Answer, err error) {
	target := node + "/entry?dataCentre=" + url.QueryEscape(dataCentre)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return out, eris.Wrapf(err, "node %s", node)
	}
	res, err := client.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return out, fmt.Errorf("node %s answered with status %d", node, res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxEntryBytes)).Decode(&out)
	return out, err
}
